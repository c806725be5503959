//! Consumers: callers that are identified by API keys and share a rate limit over all routers.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Declared consumer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Consumer {
    /// API keys that identify the consumer's requests.
    pub keys: Vec<String>,
    /// Maximum rate of requests per second over all routers; 0 for no limit.
    pub rate_per_s: f64,
    /// Number of requests that may exceed that rate at once.
    pub burst: f64,
    /// Rank that takes precedence over the binding's rank; 0 is served first.
    pub rank: Option<u32>,
    /// Free-form notes of the operator, returned as declared.
    pub notes: Map<String, Value>,
}

impl Consumer {
    /// Returns whether the consumer's rate is limited.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}
