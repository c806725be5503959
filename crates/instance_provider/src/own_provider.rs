//! Instance provider that uses heronlink's own HTTP API.

use crate::http_caller::HttpCaller;
use crate::port::{Call, InstanceProvider, Listing, StartOrder, StartReply, StopReply, WorkerLine};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

/// Client of a platform that implements heronlink's own API: JSON under `/v1/instances` and `/v1/workers`.
pub struct OwnInstanceProvider {
    caller: HttpCaller,
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

impl OwnInstanceProvider {
    /// Creates a client of the platform at `IP:port`.
    pub fn new(address: &str) -> OwnInstanceProvider {
        OwnInstanceProvider { caller: HttpCaller::new(address) }
    }
}

impl InstanceProvider for OwnInstanceProvider {
    fn start(&self, order: StartOrder) -> Call<'_, StartReply> {
        Box::pin(async move {
            let StartOrder { nonce, service, worker, memory_mb, fence } = order;
            let body =
                json!({"nonce": nonce, "service": service, "worker": worker, "memory_mb": memory_mb, "fence": fence});
            match self.caller.call(Method::POST, "/v1/instances", &[], body.to_string().into_bytes()).await {
                Some((StatusCode::ACCEPTED, body)) => match serde_json::from_slice::<Started>(&body) {
                    Ok(started) => StartReply::Accepted { id: started.id, address: started.address },
                    Err(_) => StartReply::Unanswered,
                },
                Some((StatusCode::INSUFFICIENT_STORAGE, _)) => StartReply::InsufficientMemory,
                Some((StatusCode::TOO_MANY_REQUESTS, _)) => StartReply::RateLimited,
                Some((StatusCode::BAD_REQUEST, _)) => StartReply::Refused,
                _ => StartReply::Unanswered,
            }
        })
    }

    fn stop(&self, id: String, _fence: u64) -> Call<'_, StopReply> {
        Box::pin(async move {
            match self.caller.call(Method::DELETE, &format!("/v1/instances/{id}"), &[], Vec::new()).await {
                Some((StatusCode::ACCEPTED, _)) => StopReply::Accepted,
                Some((StatusCode::NOT_FOUND, _)) => StopReply::Unknown,
                Some((StatusCode::TOO_MANY_REQUESTS, _)) => StopReply::RateLimited,
                _ => StopReply::Unanswered,
            }
        })
    }

    fn list(&self) -> Call<'_, Option<Listing>> {
        Box::pin(self.caller.get_json("/v1/instances"))
    }

    fn workers(&self) -> Call<'_, Option<Vec<WorkerLine>>> {
        Box::pin(async { self.caller.get_json::<Workers>("/v1/workers").await.map(|list| list.workers) })
    }
}
