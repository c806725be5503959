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

#[derive(Clone, Debug)]
pub enum SupplyOrder {
    Start(StartOrder),
    Stop { id: String, fence: u64 },
    List,
    Workers,
}

#[derive(Clone, Debug)]
pub enum SupplyReport {
    Started { nonce: String, receipt: StartReceipt },
    Stopped { id: String, receipt: StopReceipt },
    Listed { listing: Listing, asked: Instant },
    Workers { lines: Vec<WorkerLine>, asked: Instant },
    ListFault,
    WorkersFault,
}

pub type Report = Rc<dyn Fn(SupplyReport)>;

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
