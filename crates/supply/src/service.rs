//! The service around a supplier: start and stop orders side by side within a bound, each within a
//! time limit, and the list and the workers read at intervals, the workers oftener while starts come.

use crate::port::{Listing, StartOrder, StartReceipt, StopReceipt, Supplier, WorkerLine};
use kernel::Inbox;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const CALLS: usize = 16;
const LIMIT: Duration = Duration::from_secs(1);
const STARTS_LAST: Duration = Duration::from_secs(4);
const WORKERS_SOON: Duration = Duration::from_millis(1900);
const WORKERS_SELDOM: Duration = Duration::from_secs(6);

#[derive(Clone, Debug)]
pub enum SupplyOrder {
    Start(StartOrder),
    Stop { id: String, fence: u64 },
}

#[derive(Clone, Debug)]
pub enum SupplyReport {
    Started { nonce: String, receipt: StartReceipt },
    Stopped { id: String, receipt: StopReceipt },
    Listed { listing: Listing, asked: Instant },
    Workers { lines: Vec<WorkerLine>, asked: Instant },
    ListFault,
}

pub type Report = Rc<dyn Fn(SupplyReport)>;

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub list_every: Duration,
}

pub async fn run(supplier: Rc<dyn Supplier>, mut orders: Inbox<SupplyOrder>, report: Report, settings: Settings) {
    let wanted = Rc::new(Cell::new(None));
    spawn_local(look(supplier.clone(), report.clone(), settings.list_every, wanted.clone()));
    let room = Rc::new(Semaphore::new(CALLS));
    while let Some(order) = orders.next().await {
        if let SupplyOrder::Start(_) = &order {
            wanted.set(Some(Instant::now()));
        }
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
            }
        });
    }
}

async fn look(supplier: Rc<dyn Supplier>, report: Report, every: Duration, wanted: Rc<Cell<Option<Instant>>>) {
    let mut looked: Option<Instant> = None;
    loop {
        let asked = Instant::now();
        let starts = wanted.get().is_some_and(|at| at.elapsed() < STARTS_LAST);
        let pause = if starts { WORKERS_SOON } else { WORKERS_SELDOM };
        if looked.is_none_or(|at| at.elapsed() >= pause)
            && let Ok(Some(lines)) = timeout(LIMIT, supplier.workers()).await
        {
            looked = Some(asked);
            report(SupplyReport::Workers { lines, asked });
        }
        let asked = Instant::now();
        match timeout(LIMIT, supplier.list()).await {
            Ok(Some(listing)) => report(SupplyReport::Listed { listing, asked }),
            _ => report(SupplyReport::ListFault),
        }
        sleep(every).await;
    }
}
