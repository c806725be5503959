//! One attempt at a task: a request with a unique label, and the record of its outcome.

#![expect(clippy::disallowed_types, reason = "the records of two processes are compared by wall-clock time")]

use crate::tally::Attempt;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::timeout;

/// Maximum time to wait for the whole response.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);

/// HTTP client shared by all attempts.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Request of an attempt, and the properties of its task that are recorded.
pub struct AttemptSpec<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub class: &'a str,
    pub service: &'a str,
    pub task: &'a str,
    pub number: u32,
    pub target: &'a str,
}

/// Returns a client with a connection pool.
pub fn build_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(64)
        .pool_idle_timeout(Duration::from_secs(30))
        .build_http()
}

/// Sends a request and returns the record of its outcome.
pub async fn send_attempt(http: &HttpClient, spec: AttemptSpec<'_>) -> Attempt {
    let label = format!("{}#{}", spec.task, spec.number);
    let mut attempt = Attempt {
        task: spec.task.to_owned(),
        label: label.clone(),
        class: spec.class.to_owned(),
        service: spec.service.to_owned(),
        path: spec.path.to_owned(),
        target: spec.target.to_owned(),
        at: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64),
        ..Attempt::default()
    };
    let url = format!("http://{}{}", spec.target, spec.path);
    let mut request = Request::builder().method(spec.method).uri(url).header("x-task", &label);
    for (name, value) in &spec.headers {
        request = request.header(name, value);
    }
    let Ok(request) = request.body(Full::new(Bytes::from(spec.body))) else { return attempt };
    let started = Instant::now();
    let work = async {
        let response = http.request(request).await.map_err(|error| format!("{error:?}"))?;
        let status = response.status().as_u16();
        let text =
            |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let (outcome, retry_after) = (text("heronlink-outcome"), !text("retry-after").is_empty());
        let body = Limited::new(response.into_body(), 1 << 20).collect().await.map_err(|error| error.to_string())?;
        Ok::<_, String>((status, outcome, retry_after, body.to_bytes()))
    };
    match timeout(ATTEMPT_TIMEOUT, work).await {
        Ok(Ok((status, outcome, retry_after, body))) => {
            attempt.status = status;
            attempt.outcome = outcome;
            attempt.retry_after = retry_after;
            attempt.body = String::from_utf8_lossy(&body).into_owned();
        }
        Ok(Err(error)) => attempt.body = error,
        Err(_) => attempt.body = "no answer in time".into(),
    }
    attempt.took = started.elapsed().as_millis() as u64;
    attempt
}
