//! Dispatcher loop: sends each order over a pooled or a new connection and reports its outcome. It does
//! not choose instances, and never resends a request of which any byte may have been sent.

use crate::answer_memory::AnswerMemory;
use crate::connection::{Connection, ExchangeError, Response};
use crate::instance_request::InstanceRequest;
use crate::open_count::OpenCount;
use crate::pool::{Checkout, InstanceAddress, Pool};
use crate::response::ResponseHead;
use crate::{DispatchOrder, DispatchOutcome, DispatchReport, DispatcherMessage, HttpDialect};
use bytes::Bytes;
use kernel::Inbox;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum time to open a connection to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Extra time after the deadline, so that an instance that stops at its deadline can still report that itself.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);
/// Interval between checks for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// First pause between two attempts of a probe.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause between two attempts of a probe.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(120);

/// Callback that receives the reports of the dispatcher.
pub type ReportHandler = Rc<dyn Fn(DispatchReport)>;

/// Sends requests to instances. Clones share the connection pool.
#[derive(Clone)]
pub struct Dispatcher {
    dialect: Rc<HttpDialect>,
    pool: Rc<Pool>,
    memory: AnswerMemory,
}

/// Runs a dispatcher on the current thread until its inbox is closed.
pub async fn run(
    dialect: HttpDialect,
    memory: AnswerMemory,
    mut messages: Inbox<DispatcherMessage>,
    report: ReportHandler,
) {
    let dispatcher = Dispatcher::with_memory(dialect, memory);
    let (mut last_sweep, mut keeps_connections) = (Instant::now(), false);
    loop {
        let next = match keeps_connections {
            true => timeout(SWEEP_INTERVAL, messages.next()).await.ok(),
            false => Some(messages.next().await),
        };
        if last_sweep.elapsed() >= SWEEP_INTERVAL {
            last_sweep = Instant::now();
            keeps_connections = dispatcher.pool.sweep(last_sweep);
        }
        match next {
            Some(Some(message)) => keeps_connections |= dispatcher.handle(message, &report),
            Some(None) => return,
            None => {}
        }
    }
}

/// Sends one order over a connection of its own, in the product's own dialect.
pub async fn send_to_instance(order: DispatchOrder) -> DispatchOutcome {
    Dispatcher::new(HttpDialect::default()).send(order).await
}

impl Dispatcher {
    /// Creates a dispatcher for a dialect, with an empty pool and without a limit on the memory for responses.
    pub fn new(dialect: HttpDialect) -> Dispatcher {
        Dispatcher::with_memory(dialect, AnswerMemory::unlimited())
    }

    /// Creates a dispatcher for a dialect, with an empty pool.
    pub fn with_memory(dialect: HttpDialect, memory: AnswerMemory) -> Dispatcher {
        Dispatcher { dialect: Rc::new(dialect), pool: Rc::default(), memory }
    }

    /// Handles a message. Returns whether this may add connections to the pool.
    fn handle(&self, message: DispatcherMessage, report: &ReportHandler) -> bool {
        let (dispatcher, report) = (self.clone(), report.clone());
        match message {
            DispatcherMessage::Send(order) => drop(spawn_local(async move {
                let number = order.number;
                let outcome = dispatcher.send(order).await;
                report(DispatchReport::Dispatched { number, outcome });
            })),
            DispatcherMessage::Probe { id, address, delay, timeout } => drop(spawn_local(async move {
                let ready = dispatcher.probe(&id, &address, delay, timeout).await;
                report(DispatchReport::Probed { id, ready });
            })),
            DispatcherMessage::Forget { id } => {
                self.pool.forget(&id);
                return false;
            }
        }
        true
    }

    /// Sends one request and returns its outcome, at the latest shortly after the time left for the order.
    pub async fn send(&self, order: DispatchOrder) -> DispatchOutcome {
        let Some(request) = InstanceRequest::new(&order, &self.dialect) else {
            return DispatchOutcome::Complete { status: 400, head: Vec::new(), body: Bytes::new(), turned_away: false };
        };
        match timeout(order.time_left + DEADLINE_GRACE, self.exchange(&order, &request)).await {
            Ok(outcome) => outcome,
            Err(_) => DispatchOutcome::InDoubt { detail: "no complete response in time".into(), timed_out: true },
        }
    }

    async fn exchange(&self, order: &DispatchOrder, request: &InstanceRequest) -> DispatchOutcome {
        let instance =
            InstanceAddress { id: &order.instance_id, address: &order.address, max_connections: order.max_connections };
        loop {
            let checkout = match &request.request_id {
                Some(id) => self.pool.check_out(Instant::now(), &instance, Some(id)),
                None => Checkout::MayOpen(self.pool.open_unpooled()),
            };
            let (mut connection, was_pooled) = match checkout {
                Checkout::Full => return DispatchOutcome::NoConnection,
                Checkout::Idle(connection) => (connection, true),
                Checkout::MayOpen(open_count) => match connect(&order.address, open_count, order.time_left).await {
                    Ok(connection) => (connection, false),
                    Err(error) if is_unreachable(&error) => return DispatchOutcome::Unreachable,
                    Err(_) => return DispatchOutcome::NoConnection,
                },
            };
            match connection.exchange(request, &self.dialect, &self.memory).await {
                Err(ExchangeError::NotSent) if was_pooled => {}
                Err(ExchangeError::NotSent) => return DispatchOutcome::NoConnection,
                Err(ExchangeError::InDoubt(detail)) => return DispatchOutcome::InDoubt { detail, timed_out: false },
                Ok(Response { head, body, reusable }) => {
                    if reusable {
                        self.pool.check_in(Instant::now(), &order.instance_id, connection, Some(head.keep_alive));
                    }
                    return self.classify(head, body);
                }
            }
        }
    }

    /// Derives the outcome of a request from its response.
    fn classify(&self, response: ResponseHead, body: Bytes) -> DispatchOutcome {
        let dialect = &self.dialect;
        let is_rejection = matches!(response.status, 408 | 429 | 503);
        match response.status {
            421 if dialect.pinned_instance.is_some() => return DispatchOutcome::NotRun { wrong_instance: true },
            408 | 429 | 500..600 if response.not_run => return DispatchOutcome::NotRun { wrong_instance: false },
            100..400 if response.not_run => {
                return DispatchOutcome::InDoubt {
                    detail: "response status contradicts the header for requests that were not run".into(),
                    timed_out: false,
                };
            }
            // If passed on, the status would promise that the request did not run, which the instance did not state.
            status if dialect.not_run.is_some() && !response.not_run && is_rejection => {
                return DispatchOutcome::InDoubt {
                    detail: format!("status {status} without the header for requests that were not run"),
                    timed_out: false,
                };
            }
            _ => {}
        }
        let turned_away = dialect.not_run.is_none() && matches!(response.status, 429 | 503);
        DispatchOutcome::Complete { status: response.status, head: response.encoded_headers, body, turned_away }
    }

    /// Returns whether the instance accepts a connection within the timeout, and pools that connection.
    pub async fn probe(&self, id: &str, address: &str, delay: Duration, timeout: Duration) -> bool {
        sleep(delay).await;
        let started = Instant::now();
        let instance = InstanceAddress { id, address, max_connections: u32::MAX };
        let mut pause = MIN_PROBE_PAUSE;
        loop {
            let time_left = timeout.saturating_sub(started.elapsed());
            if time_left.is_zero() {
                return false;
            }
            match self.pool.check_out(Instant::now(), &instance, None) {
                Checkout::Full => return false,
                Checkout::Idle(connection) => {
                    self.pool.check_in(Instant::now(), id, connection, None);
                    return true;
                }
                Checkout::MayOpen(open_count) => {
                    if let Ok(connection) = connect(address, open_count, time_left).await {
                        self.pool.check_in(Instant::now(), id, connection, None);
                        return true;
                    }
                }
            }
            sleep(pause.min(time_left)).await;
            pause = pause.mul_f64(1.3).min(MAX_PROBE_PAUSE);
        }
    }

    /// Closes the pooled connections to an instance.
    pub fn forget(&self, id: &str) {
        self.pool.forget(id);
    }
}

async fn connect(address: &str, open_count: OpenCount, time_left: Duration) -> io::Result<Connection> {
    timeout(CONNECT_TIMEOUT.min(time_left), Connection::open(address, open_count))
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

/// Whether the error means that no instance can be reached at the address.
fn is_unreachable(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, InvalidInput, NetworkUnreachable};
    matches!(error.kind(), ConnectionRefused | HostUnreachable | NetworkUnreachable | InvalidInput)
}
