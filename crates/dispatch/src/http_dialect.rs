//! Names of headers and paths that differ between the HTTP dialects that a router can speak. The
//! default is the product's own dialect. A header without a name is neither read nor written.

use hyper::header::HeaderName;

/// Header names, task path and number format of one HTTP dialect.
#[derive(Clone, Debug)]
pub struct HttpDialect {
    /// Request id set by the caller; instances echo it in the response.
    pub request_id: Option<HeaderName>,
    /// Time limit in milliseconds: how long the caller waits, and how much of that is left for the instance.
    pub deadline: Option<HeaderName>,
    /// Id of the instance that a request is meant for; any other instance answers 421.
    pub pinned_instance: Option<HeaderName>,
    /// Set by an instance on a response to a request that it did not run.
    pub not_run: Option<HeaderName>,
    /// Set by a router to tell the caller the outcome of a task.
    pub outcome: Option<HeaderName>,
    /// Idempotency key of a run-once or deferred task, set by the caller.
    pub idempotency_key: Option<HeaderName>,
    /// API key of the caller; never forwarded to instances.
    pub api_key: Option<HeaderName>,
    /// Name of the consumer whose request an instance runs; replaces whatever the caller sent.
    pub consumer: Option<HeaderName>,
    /// Converts the name of a consumer to the form that is sent to instances.
    pub format_consumer_name: fn(&str) -> String,
    /// Path prefix under which the state of deferred tasks can be queried.
    pub task_path: Option<&'static str>,
    /// Whether `Retry-After` is sent with fractions of a second.
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
