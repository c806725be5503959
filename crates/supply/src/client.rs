//! The calls themselves, each with a time limit and a bound on the answer's size.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(3);
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct InstanceLine {
    pub id: String,
    pub service: String,
    pub address: String,
    pub state: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    pub instances: Vec<InstanceLine>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReceipt {
    Accepted { address: String },
    NoMemory,
    Limited,
    Unanswered,
}

#[derive(Clone)]
pub struct Client {
    base: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(address: &str) -> Client {
        let http = HttpClient::builder(TokioExecutor::new()).pool_max_idle_per_host(8).build_http();
        Client { base: format!("http://{address}"), http }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let work = async {
            let answer = self.http.request(request).await.ok()?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_BYTES).collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        tokio::time::timeout(LIMIT, work).await.ok().flatten()
    }

    pub async fn start(&self, id: &str, service: &str, memory_mb: u32) -> StartReceipt {
        #[derive(Deserialize)]
        struct Started {
            address: String,
        }
        let body = json!({"id": id, "service": service, "memory_mb": memory_mb}).to_string().into_bytes();
        match self.call(Method::POST, "/v1/instances", body).await {
            Some((StatusCode::ACCEPTED, body)) => match serde_json::from_slice::<Started>(&body) {
                Ok(started) => StartReceipt::Accepted { address: started.address },
                Err(_) => StartReceipt::Unanswered,
            },
            Some((StatusCode::INSUFFICIENT_STORAGE, _)) => StartReceipt::NoMemory,
            Some((StatusCode::TOO_MANY_REQUESTS, _)) => StartReceipt::Limited,
            _ => StartReceipt::Unanswered,
        }
    }

    /// True when the platform has taken the order or knows no such instance any longer.
    pub async fn stop(&self, id: &str) -> bool {
        let told = self.call(Method::DELETE, &format!("/v1/instances/{id}"), Vec::new()).await;
        matches!(told, Some((StatusCode::ACCEPTED | StatusCode::NOT_FOUND, _)))
    }

    pub async fn list(&self) -> Option<Listing> {
        let (status, body) = self.call(Method::GET, "/v1/instances", Vec::new()).await?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }
}
