//! The names of headers and paths that differ from one dialect to another. The default is the
//! product's own dialect; a header that is not named is neither read nor written.

use hyper::header::HeaderName;

/// The header names, the path and the number format of one dialect.
#[derive(Clone, Debug)]
pub struct HttpDialect {
    /// The caller's id of a request, which instances echo.
    pub request_id: Option<HeaderName>,
    /// Milliseconds: what a caller will wait, and what an instance is left.
    pub deadline: Option<HeaderName>,
    /// The instance a request is meant for; every other one answers 421.
    pub pinned_instance: Option<HeaderName>,
    /// With it an instance says that it did not run the request.
    pub not_run: Option<HeaderName>,
    /// With it a router tells what became of a task.
    pub outcome: Option<HeaderName>,
    /// The caller's key of a run-once or deferred task.
    pub idempotency_key: Option<HeaderName>,
    /// The caller's API key; instances never see it.
    pub api_key: Option<HeaderName>,
    /// With it an instance is told whose request it runs, whatever the caller sent.
    pub consumer: Option<HeaderName>,
    /// The name of a consumer as instances are told it.
    pub format_consumer_name: fn(&str) -> String,
    /// The path below which the state of deferred tasks can be asked.
    pub task_path: Option<&'static str>,
    /// Whether callers read `Retry-After` in fractional_retry_after of a second.
    pub fractional_retry_after: bool,
}

impl Default for HttpDialect {
    fn default() -> Self {
        HttpDialect {
            request_id: None,
            deadline: None,
            pinned_instance: None,
            not_run: None,
            outcome: Some(HeaderName::from_static("heronlink-outcome")),
            idempotency_key: Some(HeaderName::from_static("idempotency-key")),
            api_key: Some(HeaderName::from_static("heronlink-key")),
            consumer: Some(HeaderName::from_static("heronlink-consumer")),
            format_consumer_name: str::to_owned,
            task_path: Some("/.heron/tasks/"),
            fractional_retry_after: false,
        }
    }
}
