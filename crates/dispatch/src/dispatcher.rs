//! The dispatcher's thread: it sends each order over a kept connection or a new one, and tells what
//! came of it. It chooses no instance and tries nothing twice that may have left.

use crate::answer::Start;
use crate::connection::{Answer, Broken, Connection, Open};
use crate::instance_request::InstanceRequest;
use crate::pool::{Pool, Taken};
use crate::{DispatchOrder, DispatchOutcome, DispatchReport, DispatcherMessage, Words};
use kernel::Inbox;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a connection to an instance may take.
const CONNECT: Duration = Duration::from_millis(600);
/// An instance that stops at the deadline it was handed may say so itself.
const LAST_WORD: Duration = Duration::from_millis(20);
/// The time between two looks for connections that have been idle too long.
const SWEEP: Duration = Duration::from_millis(500);
/// The first pause between two tries of a probe.
const PROBE_AGAIN: Duration = Duration::from_millis(25);
/// The longest pause between two tries of a probe.
const PROBE_AGAIN_MOST: Duration = Duration::from_millis(120);

/// Takes what came of a message to the dispatcher.
pub type Report = Rc<dyn Fn(DispatchReport)>;

/// Sends requests to instances. Clones share the pool of kept connections.
#[derive(Clone)]
pub struct Dispatcher {
    words: Rc<Words>,
    pool: Rc<Pool>,
}

/// Runs a dispatcher on the current thread until its inbox is closed.
pub async fn run(words: Words, mut orders: Inbox<DispatcherMessage>, report: Report) {
    let dispatcher = Dispatcher::new(words);
    let (mut swept, mut any_kept) = (Instant::now(), false);
    loop {
        let next = match any_kept {
            true => timeout(SWEEP, orders.next()).await.ok(),
            false => Some(orders.next().await),
        };
        if swept.elapsed() >= SWEEP {
            swept = Instant::now();
            any_kept = dispatcher.pool.sweep(swept);
        }
        match next {
            Some(Some(message)) => any_kept |= dispatcher.take(message, &report),
            Some(None) => return,
            None => {}
        }
    }
}

/// One order on a connection of its own, in the product's own dialect.
pub async fn send_to_instance(order: DispatchOrder) -> DispatchOutcome {
    Dispatcher::new(Words::default()).send(order).await
}

impl Dispatcher {
    /// A dispatcher for a dialect, with an empty pool.
    pub fn new(words: Words) -> Dispatcher {
        Dispatcher { words: Rc::new(words), pool: Rc::default() }
    }

    /// Takes a message; whether it may lead to connections that are kept.
    fn take(&self, message: DispatcherMessage, report: &Report) -> bool {
        let (dispatcher, report) = (self.clone(), report.clone());
        match message {
            DispatcherMessage::Send(order) => drop(spawn_local(async move {
                let number = order.number;
                let outcome = dispatcher.send(order).await;
                report(DispatchReport::Dispatched { number, outcome });
            })),
            DispatcherMessage::Probe { id, address, after, limit } => drop(spawn_local(async move {
                let ready = dispatcher.probe(&id, &address, after, limit).await;
                report(DispatchReport::Probed { id, ready });
            })),
            DispatcherMessage::Forget { id } => {
                self.pool.forget(&id);
                return false;
            }
        }
        true
    }

    /// Sends one request and tells what its answer may be believed to say, soon after the order's limit at the
    /// latest.
    pub async fn send(&self, order: DispatchOrder) -> DispatchOutcome {
        let Some(request) = InstanceRequest::new(&order, &self.words) else {
            return DispatchOutcome::Complete { status: 400, head: Vec::new(), body: Vec::new(), turned_away: false };
        };
        match timeout(order.limit + LAST_WORD, self.exchange(&order, &request)).await {
            Ok(outcome) => outcome,
            Err(_) => DispatchOutcome::InDoubt { detail: "no whole answer in time".into(), late: true },
        }
    }

    async fn exchange(&self, order: &DispatchOrder, request: &InstanceRequest) -> DispatchOutcome {
        loop {
            let taken = match request.id {
                Some(_) => self.pool.take(Instant::now(), &order.instance, &order.address, order.connections),
                None => Taken::ToOpen(self.pool.open_apart()),
            };
            let (mut connection, kept) = match taken {
                Taken::Full => return DispatchOutcome::Crowded,
                Taken::Kept(connection) => (connection, true),
                Taken::ToOpen(open) => match connect(&order.address, open, order.limit).await {
                    Ok(connection) => (connection, false),
                    Err(error) if is_absent(&error) => return DispatchOutcome::NotSent,
                    Err(_) => return DispatchOutcome::Crowded,
                },
            };
            match connection.exchange(request, &self.words).await {
                Err(Broken::Unsent) if kept => {}
                Err(Broken::Unsent) => return DispatchOutcome::Crowded,
                Err(Broken::Doubt(detail)) => return DispatchOutcome::InDoubt { detail, late: false },
                Ok(Answer { start, body, reusable }) => {
                    if reusable {
                        self.pool.put(Instant::now(), &order.instance, connection, Some(start.keep));
                    }
                    return self.judge(start, body);
                }
            }
        }
    }

    fn judge(&self, start: Start, body: Vec<u8>) -> DispatchOutcome {
        let words = &self.words;
        let refuses = matches!(start.status, 408 | 429 | 503);
        match start.status {
            421 if words.pinned.is_some() => return DispatchOutcome::NotRun { wrong_instance: true },
            408 | 429 | 500..600 if start.not_run => return DispatchOutcome::NotRun { wrong_instance: false },
            100..400 if start.not_run => {
                return DispatchOutcome::InDoubt { detail: "not run and yet answered".into(), late: false };
            }
            // Passed on, it would be a promise that the instance did not give.
            status if words.not_run.is_some() && !start.not_run && refuses => {
                return DispatchOutcome::InDoubt {
                    detail: format!("{status} without a word that it was not run"),
                    late: false,
                };
            }
            _ => {}
        }
        let turned_away = words.not_run.is_none() && matches!(start.status, 429 | 503);
        DispatchOutcome::Complete { status: start.status, head: start.head, body, turned_away }
    }

    /// Whether the instance took a connection within the limit; one that it took is kept.
    pub async fn probe(&self, id: &str, address: &str, after: Duration, limit: Duration) -> bool {
        sleep(after).await;
        let begun = Instant::now();
        let mut pause = PROBE_AGAIN;
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            if left.is_zero() {
                return false;
            }
            match self.pool.take(Instant::now(), id, address, u32::MAX) {
                Taken::Full => return false,
                Taken::Kept(connection) => {
                    self.pool.put(Instant::now(), id, connection, None);
                    return true;
                }
                Taken::ToOpen(open) => {
                    if let Ok(connection) = connect(address, open, left).await {
                        self.pool.put(Instant::now(), id, connection, None);
                        return true;
                    }
                }
            }
            sleep(pause.min(left)).await;
            pause = pause.mul_f64(1.3).min(PROBE_AGAIN_MOST);
        }
    }

    /// Closes the kept connections to an instance.
    pub fn forget(&self, id: &str) {
        self.pool.forget(id);
    }
}

async fn connect(address: &str, open: Open, left: Duration) -> io::Result<Connection> {
    timeout(CONNECT.min(left), Connection::open(address, open)).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

fn is_absent(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, InvalidInput, NetworkUnreachable};
    matches!(error.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable | InvalidInput)
}
