//! Declarations of functions, separate from the bindings that send requests to them, and limits on the size and
//! duration of callers' requests and on idle connections.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Function that is declared as a separate resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FunctionDeclaration {
    /// Memory of an instance, in MB.
    pub memory_mb: u32,
    /// Average start time of an instance, in milliseconds.
    pub boot_ms: Option<u32>,
    /// Maximum number of concurrent requests per instance.
    pub instance_limit: u32,
    /// Maximum number of connections per instance from all routers together.
    pub connections: Option<u32>,
    /// Minimum number of instances.
    pub min: u32,
    /// Maximum number of instances.
    pub max: u32,
    /// Whether the instances deduplicate requests by idempotency key themselves, so that a request with an unknown
    /// outcome may be sent to them again.
    pub deduplicates: bool,
    /// Free-form notes of the operator, returned as declared.
    pub notes: Map<String, Value>,
}

impl Default for FunctionDeclaration {
    fn default() -> Self {
        FunctionDeclaration {
            memory_mb: 256,
            boot_ms: None,
            instance_limit: 1,
            connections: None,
            min: 0,
            max: 1000,
            deduplicates: false,
            notes: Map::new(),
        }
    }
}

/// Limits on callers. A limit that is left out does not apply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: u32,
    /// Maximum time in which a request's head must arrive, in milliseconds.
    pub head_ms: u32,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u32,
    /// Whether requests need an API key even if no consumer is declared.
    pub keys_required: bool,
    /// Free-form notes of the operator, returned as declared.
    pub notes: Map<String, Value>,
}

impl Default for CallerBounds {
    fn default() -> Self {
        let unlimited = u32::MAX;
        CallerBounds {
            head_bytes: unlimited,
            body_bytes: unlimited,
            head_ms: unlimited,
            idle_ms: unlimited,
            keys_required: false,
            notes: Map::new(),
        }
    }
}

impl CallerBounds {
    /// Combines the limits of several tenants by taking the strictest value of each.
    pub fn strictest(&self, other: &CallerBounds) -> CallerBounds {
        CallerBounds {
            head_bytes: self.head_bytes.min(other.head_bytes),
            body_bytes: self.body_bytes.min(other.body_bytes),
            head_ms: self.head_ms.min(other.head_ms),
            idle_ms: self.idle_ms.min(other.idle_ms),
            keys_required: self.keys_required || other.keys_required,
            notes: Map::new(),
        }
    }
}
