//! The supplier of the product's own dialect.

use crate::caller::Caller;
use crate::port::{Call, Listing, StartOrder, StartReceipt, StopReceipt, Supplier, WorkerLine};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

/// Talks to a platform in heronlink's own dialect: JSON under `/v1/instances` and `/v1/workers`.
pub struct OwnSupplier {
    caller: Caller,
}

#[derive(Deserialize)]
struct Started {
    id: String,
    address: String,
}

#[derive(Deserialize)]
struct Workers {
    workers: Vec<WorkerLine>,
}

impl OwnSupplier {
    /// A client of the platform at `IP:port`.
    pub fn new(address: &str) -> OwnSupplier {
        OwnSupplier { caller: Caller::new(address) }
    }
}

impl Supplier for OwnSupplier {
    fn start(&self, order: StartOrder) -> Call<'_, StartReceipt> {
        Box::pin(async move {
            let StartOrder { nonce, service, worker, memory_mb, fence } = order;
            let body =
                json!({"nonce": nonce, "service": service, "worker": worker, "memory_mb": memory_mb, "fence": fence});
            match self.caller.call(Method::POST, "/v1/instances", &[], body.to_string().into_bytes()).await {
                Some((StatusCode::ACCEPTED, body)) => match serde_json::from_slice::<Started>(&body) {
                    Ok(started) => StartReceipt::Accepted { id: started.id, address: started.address },
                    Err(_) => StartReceipt::Unanswered,
                },
                Some((StatusCode::INSUFFICIENT_STORAGE, _)) => StartReceipt::NoRoom,
                Some((StatusCode::TOO_MANY_REQUESTS, _)) => StartReceipt::Limited,
                Some((StatusCode::BAD_REQUEST, _)) => StartReceipt::Refused,
                _ => StartReceipt::Unanswered,
            }
        })
    }

    fn stop(&self, id: String, _fence: u64) -> Call<'_, StopReceipt> {
        Box::pin(async move {
            match self.caller.call(Method::DELETE, &format!("/v1/instances/{id}"), &[], Vec::new()).await {
                Some((StatusCode::ACCEPTED, _)) => StopReceipt::Taken,
                Some((StatusCode::NOT_FOUND, _)) => StopReceipt::Unknown,
                Some((StatusCode::TOO_MANY_REQUESTS, _)) => StopReceipt::Limited,
                _ => StopReceipt::Unanswered,
            }
        })
    }

    fn list(&self) -> Call<'_, Option<Listing>> {
        Box::pin(self.caller.page("/v1/instances"))
    }

    fn workers(&self) -> Call<'_, Option<Vec<WorkerLine>>> {
        Box::pin(async { self.caller.page::<Workers>("/v1/workers").await.map(|told| told.workers) })
    }
}
