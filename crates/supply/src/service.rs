//! The service around a supplier: orders side by side within a bound, each within a time limit.

use crate::port::{Listing, StartOrder, StartReceipt, StopReceipt, Supplier, WorkerLine};
use kernel::Inbox;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

const CALLS: usize = 16;
const LIMIT: Duration = Duration::from_secs(1);

/// What the service can be asked for.
#[derive(Clone, Debug)]
pub enum SupplyOrder {
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
pub enum SupplyReport {
    /// Of a start.
    Started {
        /// The wish it was ordered under.
        nonce: String,
        /// The platform's reply.
        receipt: StartReceipt,
    },
    /// Of a stop.
    Stopped {
        /// The instance.
        id: String,
        /// The platform's reply.
        receipt: StopReceipt,
    },
    /// The list of instances.
    Listed {
        /// As the platform told it.
        listing: Listing,
        /// When it was asked for: it is not newer than this.
        asked: Instant,
    },
    /// The list of workers.
    Workers {
        /// As the platform told it.
        lines: Vec<WorkerLine>,
        /// When it was asked for: it is not newer than this.
        asked: Instant,
    },
    /// The list of instances could not be read.
    ListFault,
    /// The list of workers could not be read.
    WorkersFault,
}

/// Takes what came of an order.
pub type Report = Rc<dyn Fn(SupplyReport)>;

/// Runs the service on the current thread until its inbox of orders is closed.
pub async fn run(supplier: Rc<dyn Supplier>, mut orders: Inbox<SupplyOrder>, report: Report) {
    let room = Rc::new(Semaphore::new(CALLS));
    while let Some(order) = orders.next().await {
        let (supplier, report, room) = (supplier.clone(), report.clone(), room.clone());
        spawn_local(async move {
            let Ok(_permit) = room.acquire().await else { return };
            match order {
                SupplyOrder::Start(order) => {
                    let nonce = order.nonce.clone();
                    let receipt = timeout(LIMIT, supplier.start(order)).await.unwrap_or(StartReceipt::Unanswered);
                    report(SupplyReport::Started { nonce, receipt });
                }
                SupplyOrder::Stop { id, fence } => {
                    let told = timeout(LIMIT, supplier.stop(id.clone(), fence)).await;
                    report(SupplyReport::Stopped { id, receipt: told.unwrap_or(StopReceipt::Unanswered) });
                }
                SupplyOrder::List => {
                    let asked = Instant::now();
                    let told = timeout(LIMIT, supplier.list()).await.ok().flatten();
                    report(told.map_or(SupplyReport::ListFault, |listing| SupplyReport::Listed { listing, asked }));
                }
                SupplyOrder::Workers => {
                    let asked = Instant::now();
                    let told = timeout(LIMIT, supplier.workers()).await.ok().flatten();
                    report(told.map_or(SupplyReport::WorkersFault, |lines| SupplyReport::Workers { lines, asked }));
                }
            }
        });
    }
}
