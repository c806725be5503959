//! HTTP/1.1 client for JSON bodies that reuses connections and limits the size of a response. Timeouts are up
//! to the caller.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of idle connections kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// HTTP client for one address. Clones share its connection pool.
#[derive(Clone)]
pub struct HttpCaller {
    base_url: String,
    client: HttpClient<HttpConnector, Full<Bytes>>,
}

impl HttpCaller {
    /// Creates a client for `IP:port` without connecting yet.
    pub fn new(address: &str) -> HttpCaller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            HttpClient::builder(TokioExecutor::new()).pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build(connector);
        HttpCaller { base_url: format!("http://{address}"), client }
    }

    /// Sends a request and reads the whole response. Returns `None` if no complete response arrived; whether the
    /// request took effect is then unknown.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let mut request = Request::builder().method(method).uri(format!("{}{path}", self.base_url));
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let response = self.client.request(request.body(Full::new(Bytes::from(body))).ok()?).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
        Some((status, body))
    }

    /// Gets a JSON document; returns `None` unless the status is 200 and the body has the expected form.
    pub async fn get_json<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let (status, body) = self.call(Method::GET, path, &[], Vec::new()).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())?
    }
}
