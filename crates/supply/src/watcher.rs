//! The adapter's service: carries out start and stop orders side by side within a bound, lists
//! now and then, and probes a started instance until it takes connections.

use crate::client::{Client, Listing, StartReceipt};
use kernel::Inbox;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const CALLS: usize = 32;
const PROBE_EVERY: Duration = Duration::from_millis(40);
const PROBE_TRY: Duration = Duration::from_millis(500);
const PROBE_FOR: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
pub enum SupplyOrder {
    Start { id: String, service: String, memory_mb: u32 },
    Stop { id: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    Ready,
    Silent,
}

#[derive(Clone, Debug)]
pub enum SupplyReport {
    Started { id: String, receipt: StartReceipt },
    Probed { id: String, probe: Probe },
    Stopped { id: String, taken: bool },
    Listed { listing: Listing, asked: Instant },
    ListFault,
}

pub type Report = Rc<dyn Fn(SupplyReport)>;

pub async fn run(client: Client, mut orders: Inbox<SupplyOrder>, report: Report, list_every: Duration) {
    spawn_local(list(client.clone(), report.clone(), list_every));
    let room = Rc::new(Semaphore::new(CALLS));
    while let Some(order) = orders.next().await {
        let (client, report, room) = (client.clone(), report.clone(), room.clone());
        spawn_local(async move {
            let Ok(_permit) = room.acquire().await else { return };
            match order {
                SupplyOrder::Start { id, service, memory_mb } => {
                    let receipt = client.start(&id, &service, memory_mb).await;
                    if let StartReceipt::Accepted { address } = &receipt {
                        spawn_local(probe(id.clone(), address.clone(), report.clone()));
                    }
                    report(SupplyReport::Started { id, receipt });
                }
                SupplyOrder::Stop { id } => {
                    let taken = client.stop(&id).await;
                    report(SupplyReport::Stopped { id, taken });
                }
            }
        });
    }
}

async fn list(client: Client, report: Report, every: Duration) {
    loop {
        let asked = Instant::now();
        match client.list().await {
            Some(listing) => report(SupplyReport::Listed { listing, asked }),
            None => report(SupplyReport::ListFault),
        }
        sleep(every).await;
    }
}

async fn probe(id: String, address: String, report: Report) {
    let begun = Instant::now();
    while begun.elapsed() < PROBE_FOR {
        if let Ok(Ok(_stream)) = timeout(PROBE_TRY, TcpStream::connect(&address)).await {
            return report(SupplyReport::Probed { id, probe: Probe::Ready });
        }
        sleep(PROBE_EVERY).await;
    }
    report(SupplyReport::Probed { id, probe: Probe::Silent });
}
