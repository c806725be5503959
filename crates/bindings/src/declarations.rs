//! Functions declared on their own, apart from the bindings that send to them, and the bounds on what
//! a caller may send and how long it may take or stay idle.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A function declared as a resource of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FunctionDeclaration {
    /// The memory an instance needs.
    pub memory_mb: u32,
    /// How long an instance takes to start, on average.
    pub boot_ms: Option<u32>,
    /// The most tasks that one instance may have at once.
    pub instance_limit: u32,
    /// The most connections that one instance takes from all routers together.
    pub connections: Option<u32>,
    /// The fewest instances.
    pub min: u32,
    /// The most instances.
    pub max: u32,
    /// Whether its instances keep a record of idempotency keys themselves, so that a request whose outcome is in
    /// doubt may be sent to them again.
    pub deduplicates: bool,
    /// What the operator keeps beside it; given back as declared.
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

/// Bounds on what callers may send. A bound that is left out is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// The largest head of a request.
    pub head_bytes: u32,
    /// The largest body of a request.
    pub body_bytes: u32,
    /// How long a head may take to arrive.
    pub head_ms: u32,
    /// How long a connection may stay idle.
    pub idle_ms: u32,
    /// Whether requests need an API key even if no consumer is declared.
    pub keys_required: bool,
    /// What the operator keeps beside it; given back as declared.
    pub notes: Map<String, Value>,
}

impl Default for CallerBounds {
    fn default() -> Self {
        let none = u32::MAX;
        CallerBounds {
            head_bytes: none,
            body_bytes: none,
            head_ms: none,
            idle_ms: none,
            keys_required: false,
            notes: Map::new(),
        }
    }
}

impl CallerBounds {
    /// The strictest of each bound, where several tenants declare their own.
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
