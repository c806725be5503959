//! HTTP/1.1 calls with JSON bodies over kept connections, with a bound on the answer's size. How long
//! one may take is for whoever calls to say.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The largest answer read.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// The most idle connections kept.
const KEPT: usize = 4;

/// An HTTP client towards one address. Clones share its kept connections.
#[derive(Clone)]
pub struct HttpCaller {
    base: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl HttpCaller {
    /// A client towards `IP:port`; nothing is dialled yet.
    pub fn new(address: &str) -> HttpCaller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new()).pool_max_idle_per_host(KEPT).build(connector);
        HttpCaller { base: format!("http://{address}"), http }
    }

    /// Sends a request and reads the answer whole. None if no whole answer came: whether the request took effect is
    /// then not known.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let mut request = Request::builder().method(method).uri(format!("{}{path}", self.base));
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let answer = self.http.request(request.body(Full::new(Bytes::from(body))).ok()?).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), ANSWER_BYTES).collect().await.ok()?.to_bytes();
        Some((status, body))
    }

    /// A page read whole, if it came with a 200 and is what it should be.
    pub async fn page<T: serde::de::DeserializeOwned>(&self, path: &str) -> Option<T> {
        let (status, body) = self.call(Method::GET, path, &[], Vec::new()).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())?
    }
}
