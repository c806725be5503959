//! Limits on callers' requests in size and time: the router's settings, tightened by the bounds of the route table in
//! force. The HTTP server reads them at each connection and each request.

use axum::http::HeaderValue;
use bindings::CallerBounds;
use http_server::ServerLimits;
use std::time::Duration;

/// Limits for callers.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    pub server: ServerLimits,
    pub body_bytes: usize,
    pub body_time: Duration,
    /// Value of the `Keep-Alive` header: how long a connection may be idle.
    pub keep_alive: Option<HeaderValue>,
}

impl CallerLimits {
    /// Returns these limits, tightened by a route table's bounds. One time limit covers both the request head and the
    /// idle time before it.
    pub fn within(&self, bounds: Option<&CallerBounds>) -> CallerLimits {
        let Some(bounds) = bounds else { return self.clone() };
        let time = |ms: u32| Duration::from_millis(ms.into());
        let idle_time = time(bounds.idle_ms.max(bounds.head_ms)).min(self.server.head_time);
        let announced = idle_time.as_secs().saturating_sub(1);
        CallerLimits {
            server: ServerLimits {
                head_bytes: self.server.head_bytes.min(bounds.head_bytes as usize),
                head_time: idle_time,
                ..self.server
            },
            body_bytes: self.body_bytes.min(bounds.body_bytes as usize),
            body_time: self.body_time,
            keep_alive: (announced > 0).then(|| HeaderValue::try_from(format!("timeout={announced}")).ok()).flatten(),
        }
    }
}
