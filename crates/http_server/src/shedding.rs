//! Load shedding: which connections give way when connections or memory run short. A connection that waits for the
//! application is not chosen, so that no request that may run is cut off, unless its client has left an earlier answer
//! unread.

use crate::connection::{ConnectionHandle, Phase};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time without progress after which an incomplete body may give way to others.
const STALLED_BODY_TIME: Duration = Duration::from_millis(250);
/// Time after which an incomplete body may give way to others, whatever its progress.
const SLOW_BODY_TIME: Duration = Duration::from_secs(2);
/// Maximum number of queued reports. Those who wait for memory repeat theirs.
const REPORT_QUEUE_CAPACITY: usize = 64;

/// What runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// So many bytes for callers' bodies.
    BodyBytes(usize),
    /// Bytes for answers.
    AnswerBytes {
        /// Number of bytes that are missing.
        bytes: usize,
        /// Minimum age of an answer that gives way.
        min_age: Duration,
    },
}

/// Reports shortages to a server, and tells how often its connections gave way.
#[derive(Clone, Debug)]
pub struct ShortageReporter {
    reports: mpsc::Sender<Shortage>,
    shed_connections: Arc<AtomicU64>,
}

/// Receiving end of a server's shortages.
#[derive(Debug)]
pub struct Shortages {
    reports: mpsc::Receiver<Shortage>,
    /// Number of connections that were asked to give way.
    pub(crate) shed_connections: Arc<AtomicU64>,
}

/// Returns the two ends of a queue of shortages.
pub fn shortages() -> (ShortageReporter, Shortages) {
    let (sender, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let shed_connections = Arc::<AtomicU64>::default();
    let reporter = ShortageReporter { reports: sender, shed_connections: shed_connections.clone() };
    (reporter, Shortages { reports: receiver, shed_connections })
}

impl ShortageReporter {
    /// Reports a shortage. The report is lost if too many are queued.
    pub fn report(&self, shortage: Shortage) {
        let _ = self.reports.try_send(shortage);
    }

    /// Returns the number of connections that were asked to give way so far.
    pub fn shed_connections(&self) -> u64 {
        self.shed_connections.load(Ordering::Relaxed)
    }
}

impl Shortages {
    /// Waits for the next report; forever, if nobody can report.
    pub(crate) async fn next(&mut self) -> Shortage {
        match self.reports.recv().await {
            Some(shortage) => shortage,
            None => std::future::pending().await,
        }
    }
}

/// The open connections of a server.
pub(crate) struct ConnectionTable {
    connections: Vec<ConnectionHandle>,
    shed_connections: Arc<AtomicU64>,
}

impl ConnectionTable {
    /// Returns a table without connections that counts those which it asks to give way.
    pub fn new(shed_connections: Arc<AtomicU64>) -> ConnectionTable {
        ConnectionTable { connections: Vec::new(), shed_connections }
    }

    pub fn add(&mut self, connection: ConnectionHandle) {
        self.connections.push(connection);
    }

    pub fn remove(&mut self, connection: &ConnectionHandle) {
        if let Some(index) = self.connections.iter().position(|known| known.is_same(connection)) {
            self.connections.swap_remove(index);
        }
    }

    /// Asks the connection whose client has been idle for longest to give way to a new one.
    pub fn shed_connection(&self) {
        let waiting = self.sheddable().filter(|connection| connection.phase() != Phase::Application);
        if let Some(connection) = waiting.min_by_key(|connection| connection.progressed_at()) {
            self.shed_connections.fetch_add(1, Ordering::Relaxed);
            connection.ask_to_give_way();
        }
    }

    /// Asks connections to give way until the bytes they hold cover the shortage.
    pub fn shed(&self, shortage: Shortage) {
        let now = Instant::now();
        match shortage {
            Shortage::BodyBytes(bytes) => {
                let may_give_way = |connection: &&ConnectionHandle| {
                    let has_stalled = connection.progressed_at() + STALLED_BODY_TIME <= now;
                    let is_slow = connection.phase_began_at() + SLOW_BODY_TIME <= now;
                    connection.phase() == Phase::Body && (has_stalled || is_slow)
                };
                let held_bytes = ConnectionHandle::body_bytes;
                self.shed_bytes(bytes, may_give_way, held_bytes, ConnectionHandle::ask_to_give_way);
            }
            Shortage::AnswerBytes { bytes, min_age } => {
                // Whatever the client has sent meanwhile, no further answer would reach it.
                let is_old = |connection: &&ConnectionHandle| connection.phase_began_at() + min_age <= now;
                self.shed_bytes(bytes, is_old, ConnectionHandle::unread_bytes, ConnectionHandle::ask_to_close);
            }
        }
    }

    fn shed_bytes(
        &self,
        wanted_bytes: usize,
        may_give_way: impl Fn(&&ConnectionHandle) -> bool,
        held_bytes: impl Fn(&ConnectionHandle) -> usize,
        ask: impl Fn(&ConnectionHandle),
    ) {
        let leaving = self.connections.iter().filter(|connection| connection.must_give_way());
        let mut freed_bytes: usize = leaving.map(&held_bytes).sum();
        let candidates = self.sheddable().filter(may_give_way).filter(|connection| held_bytes(connection) > 0);
        let mut candidates: Vec<&ConnectionHandle> = candidates.collect();
        candidates.sort_by_key(|connection| connection.phase_began_at());
        for connection in candidates {
            if freed_bytes >= wanted_bytes {
                return;
            }
            freed_bytes += held_bytes(connection);
            self.shed_connections.fetch_add(1, Ordering::Relaxed);
            ask(connection);
        }
    }

    fn sheddable(&self) -> impl Iterator<Item = &ConnectionHandle> {
        self.connections.iter().filter(|connection| !connection.must_give_way())
    }
}

#[cfg(test)]
#[path = "shedding_tests.rs"]
mod tests;
