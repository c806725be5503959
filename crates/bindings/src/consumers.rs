//! Consumers: whoever calls with one of its API keys, within a rate that holds for all routers together.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A consumer as it is declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Consumer {
    /// The API keys by which its requests are known.
    pub keys: Vec<String>,
    /// Requests a second that it may make through all routers together; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that it may make at once beyond that rate.
    pub burst: f64,
    /// Goes before the rank of the binding; 0 is before all others.
    pub rank: Option<u32>,
    /// What the operator keeps beside it; given back as declared.
    pub notes: Map<String, Value>,
}

impl Consumer {
    /// Whether its rate is limited.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}
