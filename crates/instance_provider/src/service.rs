//! The service around a provider: orders side by side within a bound, each within a time limit.

use crate::port::{InstanceProvider, Listing, StartOrder, StartReply, StopReply, WorkerLine};
use kernel::Inbox;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The most calls under way at a time.
const CALLS: usize = 16;
/// How long a call may take.
const LIMIT: Duration = Duration::from_secs(1);

/// What the service can be asked for.
#[derive(Clone, Debug)]
pub enum ProviderOrder {
    /// Start one instance.
    Start(StartOrder),
    /// Stop an instance.
    Stop {
        /// The platform's id of it.
        id: String,
        /// The number of the membership under which it is ordered.
        fence: u64,
    },
    /// Read the list of instances.
    List,
    /// Read the list of workers.
    Workers,
}

/// What came of an order.
#[derive(Clone, Debug)]
pub enum ProviderReport {
    /// Of a start.
    Started {
        /// The wish it was ordered under.
        nonce: String,
        /// The platform's reply.
        reply: StartReply,
    },
    /// Of a stop.
    Stopped {
        /// The instance.
        id: String,
        /// The platform's reply.
        reply: StopReply,
    },
    /// The list of instances.
    Listed {
        /// As the platform told it.
        listing: Listing,
        /// When it was asked for: it is not newer than this.
        requested_at: Instant,
    },
    /// The list of workers.
    Workers {
        /// As the platform told it.
        lines: Vec<WorkerLine>,
        /// When it was asked for: it is not newer than this.
        requested_at: Instant,
    },
    /// The list of instances could not be read.
    ListError,
    /// The list of workers could not be read.
    WorkersError,
}

/// Takes what came of an order.
pub type ReportCallback = Rc<dyn Fn(ProviderReport)>;

/// Runs the service on the current thread until its inbox of orders is closed.
pub async fn run(provider: Rc<dyn InstanceProvider>, mut orders: Inbox<ProviderOrder>, report: ReportCallback) {
    let room = Rc::new(Semaphore::new(CALLS));
    while let Some(order) = orders.next().await {
        let (provider, report, room) = (provider.clone(), report.clone(), room.clone());
        spawn_local(async move {
            let Ok(_permit) = room.acquire().await else { return };
            match order {
                ProviderOrder::Start(order) => {
                    let nonce = order.nonce.clone();
                    let reply = timeout(LIMIT, provider.start(order)).await.unwrap_or(StartReply::Unanswered);
                    report(ProviderReport::Started { nonce, reply });
                }
                ProviderOrder::Stop { id, fence } => {
                    let told = timeout(LIMIT, provider.stop(id.clone(), fence)).await;
                    report(ProviderReport::Stopped { id, reply: told.unwrap_or(StopReply::Unanswered) });
                }
                ProviderOrder::List => {
                    let requested_at = Instant::now();
                    let told = timeout(LIMIT, provider.list()).await.ok().flatten();
                    report(
                        told.map_or(ProviderReport::ListError, |listing| ProviderReport::Listed {
                            listing,
                            requested_at,
                        }),
                    );
                }
                ProviderOrder::Workers => {
                    let requested_at = Instant::now();
                    let told = timeout(LIMIT, provider.workers()).await.ok().flatten();
                    report(
                        told.map_or(ProviderReport::WorkersError, |lines| ProviderReport::Workers {
                            lines,
                            requested_at,
                        }),
                    );
                }
            }
        });
    }
}
