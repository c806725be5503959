//! State of one connection, shared by the task that serves it, the handlers of its requests and the table of connections,
//! which may ask it to give way.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// For its client: to send a request head, or to read an answer.
    Client,
    /// For the rest of a request's body.
    Body,
    /// For the application's answer.
    Application,
}

/// Handle of a connection. Each request carries one as an extension.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    state: Arc<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    opened_at: Instant,
    phase: AtomicU8,
    /// Time from the opening until the phase began, in milliseconds.
    phase_began_ms: AtomicU64,
    /// Time from the opening until the client last sent something or a phase began, in milliseconds.
    progressed_ms: AtomicU64,
    body_bytes: AtomicUsize,
    unread_bytes: AtomicUsize,
    must_give_way: AtomicBool,
    give_up_body: Notify,
    close: Notify,
}

impl ConnectionState {
    fn opened_at(opened_at: Instant) -> ConnectionState {
        ConnectionState {
            opened_at,
            phase: AtomicU8::new(Phase::Client as u8),
            phase_began_ms: AtomicU64::new(0),
            progressed_ms: AtomicU64::new(0),
            body_bytes: AtomicUsize::new(0),
            unread_bytes: AtomicUsize::new(0),
            must_give_way: AtomicBool::new(false),
            give_up_body: Notify::new(),
            close: Notify::new(),
        }
    }
}

impl Default for ConnectionHandle {
    fn default() -> Self {
        ConnectionHandle { state: Arc::new(ConnectionState::opened_at(Instant::now())) }
    }
}

impl ConnectionHandle {
    /// Records what the connection waits for from now on.
    pub fn enter(&self, phase: Phase) {
        let now_ms = self.age_ms();
        self.state.phase.store(phase as u8, Ordering::Relaxed);
        self.state.phase_began_ms.store(now_ms, Ordering::Relaxed);
        self.state.progressed_ms.store(now_ms, Ordering::Relaxed);
        self.state.body_bytes.store(0, Ordering::Relaxed);
        self.state.must_give_way.store(false, Ordering::Relaxed);
    }

    /// Records that more of a body has arrived, and how many bytes are held for it.
    pub fn body_progressed(&self, held_bytes: usize) {
        self.state.progressed_ms.store(self.age_ms(), Ordering::Relaxed);
        self.state.body_bytes.store(held_bytes, Ordering::Relaxed);
    }

    /// Returns an answer's bytes such that they count as unread by the client until they are written.
    pub fn track_answer(&self, answer: Bytes) -> Bytes {
        self.state.unread_bytes.fetch_add(answer.len(), Ordering::Relaxed);
        Bytes::from_owner(UnreadAnswer { answer, connection: self.clone() })
    }

    /// Waits until the connection is asked to give up the body that it waits for.
    pub async fn asked_to_give_up_body(&self) {
        self.state.give_up_body.notified().await;
    }

    /// Waits until the connection is asked to close.
    pub(crate) async fn asked_to_close(&self) {
        self.state.close.notified().await;
    }

    /// Asks the connection to give way: to refuse the request whose body it waits for, or else to close.
    pub(crate) fn ask_to_give_way(&self) {
        match self.phase() {
            Phase::Body => {
                self.state.must_give_way.store(true, Ordering::Relaxed);
                self.state.give_up_body.notify_one();
            }
            Phase::Client | Phase::Application => self.ask_to_close(),
        }
    }

    /// Asks the connection to close, whatever it waits for.
    pub(crate) fn ask_to_close(&self) {
        self.state.must_give_way.store(true, Ordering::Relaxed);
        self.state.close.notify_one();
    }

    /// Whether the connection was asked to give way in its present phase.
    pub(crate) fn must_give_way(&self) -> bool {
        self.state.must_give_way.load(Ordering::Relaxed)
    }

    pub(crate) fn phase(&self) -> Phase {
        match self.state.phase.load(Ordering::Relaxed) {
            phase if phase == Phase::Body as u8 => Phase::Body,
            phase if phase == Phase::Application as u8 => Phase::Application,
            _ => Phase::Client,
        }
    }

    /// Returns the bytes of a body that is not complete.
    pub(crate) fn body_bytes(&self) -> usize {
        self.state.body_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of answers that were not written yet.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.state.unread_bytes.load(Ordering::Relaxed)
    }

    /// Returns when the present phase began.
    pub(crate) fn phase_began_at(&self) -> Instant {
        self.state.opened_at + Duration::from_millis(self.state.phase_began_ms.load(Ordering::Relaxed))
    }

    /// Returns when the client last sent something or a phase began.
    pub(crate) fn progressed_at(&self) -> Instant {
        self.state.opened_at + Duration::from_millis(self.state.progressed_ms.load(Ordering::Relaxed))
    }

    /// Whether both are handles of one connection.
    pub(crate) fn is_same(&self, other: &ConnectionHandle) -> bool {
        Arc::ptr_eq(&self.state, &other.state)
    }

    /// Returns a handle of a connection that was opened so long ago.
    #[cfg(test)]
    pub(crate) fn opened_before(age: Duration) -> ConnectionHandle {
        let opened_at = Instant::now().checked_sub(age).expect("a time after the machine's start");
        ConnectionHandle { state: Arc::new(ConnectionState::opened_at(opened_at)) }
    }

    /// Lets the connection wait for a body, of which so many bytes are held, since it was opened.
    #[cfg(test)]
    pub(crate) fn hold_body_since_opening(&self, held_bytes: usize) {
        self.state.phase.store(Phase::Body as u8, Ordering::Relaxed);
        self.state.body_bytes.store(held_bytes, Ordering::Relaxed);
    }

    fn age_ms(&self) -> u64 {
        self.state.opened_at.elapsed().as_millis() as u64
    }
}

/// An answer that its client has not read completely.
struct UnreadAnswer {
    answer: Bytes,
    connection: ConnectionHandle,
}

impl AsRef<[u8]> for UnreadAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.answer
    }
}

impl Drop for UnreadAnswer {
    fn drop(&mut self) {
        self.connection.state.unread_bytes.fetch_sub(self.answer.len(), Ordering::Relaxed);
    }
}
