//! Service that executes orders through a provider: concurrently up to a limit, each with a timeout.

use crate::port::{InstanceProvider, Listing, StartOrder, StartReply, StopReply, WorkerLine};
use kernel::Inbox;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Maximum time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An order to the service.
#[derive(Clone, Debug)]
pub enum ProviderOrder {
    /// Start one instance.
    Start(StartOrder),
    /// Stop an instance.
    Stop {
        /// Id assigned by the platform.
        id: String,
        /// Number of the membership under which it is ordered.
        fence: u64,
    },
    /// Read the list of instances.
    List,
    /// Read the list of workers.
    Workers,
}

/// The result of an order.
#[derive(Clone, Debug)]
pub enum ProviderReport {
    /// Result of a start order.
    Started {
        /// Nonce of the order.
        nonce: String,
        /// The platform's reply.
        reply: StartReply,
    },
    /// Result of a stop order.
    Stopped {
        /// Id of the instance.
        id: String,
        /// The platform's reply.
        reply: StopReply,
    },
    /// The list of instances.
    Listed {
        /// The list as reported by the platform.
        listing: Listing,
        /// Time at which the list was requested; the list must not be taken as newer than this.
        requested_at: Instant,
    },
    /// The list of workers.
    Workers {
        /// The workers as reported by the platform.
        lines: Vec<WorkerLine>,
        /// Time at which the list was requested; the list must not be taken as newer than this.
        requested_at: Instant,
    },
    /// The list of instances could not be read.
    ListError,
    /// The list of workers could not be read.
    WorkersError,
}

/// Callback that receives the result of an order.
pub type ReportCallback = Rc<dyn Fn(ProviderReport)>;

/// Runs the service on the current thread until its inbox of orders is closed.
pub async fn run(provider: Rc<dyn InstanceProvider>, mut orders: Inbox<ProviderOrder>, report: ReportCallback) {
    let permits = Rc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    while let Some(order) = orders.next().await {
        let (provider, report, permits) = (provider.clone(), report.clone(), permits.clone());
        spawn_local(async move {
            let Ok(_permit) = permits.acquire().await else { return };
            match order {
                ProviderOrder::Start(order) => {
                    let nonce = order.nonce.clone();
                    let reply = timeout(CALL_TIMEOUT, provider.start(order)).await.unwrap_or(StartReply::Unanswered);
                    report(ProviderReport::Started { nonce, reply });
                }
                ProviderOrder::Stop { id, fence } => {
                    let result = timeout(CALL_TIMEOUT, provider.stop(id.clone(), fence)).await;
                    report(ProviderReport::Stopped { id, reply: result.unwrap_or(StopReply::Unanswered) });
                }
                ProviderOrder::List => {
                    let requested_at = Instant::now();
                    let result = timeout(CALL_TIMEOUT, provider.list()).await.ok().flatten();
                    report(
                        result.map_or(ProviderReport::ListError, |listing| ProviderReport::Listed {
                            listing,
                            requested_at,
                        }),
                    );
                }
                ProviderOrder::Workers => {
                    let requested_at = Instant::now();
                    let result = timeout(CALL_TIMEOUT, provider.workers()).await.ok().flatten();
                    report(
                        result.map_or(ProviderReport::WorkersError, |lines| ProviderReport::Workers {
                            lines,
                            requested_at,
                        }),
                    );
                }
            }
        });
    }
}
