//! Division of a router's memory among what it holds for others: connections, bodies and heads of requests, and answers.
//! The rest is for the router's own tables, buffers of links and the allocator. Large bodies have a budget of their own,
//! so that they cannot take the memory of ordinary requests.

use crate::settings::RouterSettings;
use memory::{MemoryBudget, Reservation};
use serde_json::{Value, json};

/// Bytes in a megabyte, as in the settings of memory.
const BYTES_PER_MB: usize = 1_000_000;
/// Memory of a connection with an unfinished head or a small body: buffers, task and timers.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Memory of a request's record, beside its head and its body.
const RECORD_BYTES: usize = 2 * 1024;
/// Size of a request, with its record, from which on it counts as large.
const LARGE_REQUEST_BYTES: usize = 8 * 1024;
/// Parts into which the memory is divided.
const PARTS: usize = 80;
const CONNECTION_PARTS: usize = 14;
const SMALL_REQUEST_PARTS: usize = 3;
const LARGE_REQUEST_PARTS: usize = 4;
const ANSWER_PARTS: usize = 4;

/// Budgets for requests of one origin: this router's callers, or other routers.
#[derive(Clone, Debug)]
pub struct RequestMemory {
    small: MemoryBudget,
    large: MemoryBudget,
}

/// Memory that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryNeed {
    pub bytes: usize,
    pub is_large: bool,
}

impl Default for RequestMemory {
    fn default() -> Self {
        RequestMemory { small: MemoryBudget::unlimited(), large: MemoryBudget::unlimited() }
    }
}

impl RequestMemory {
    /// Returns memory of these sizes for small and for large requests.
    pub fn new(small_bytes: usize, large_bytes: usize) -> RequestMemory {
        RequestMemory { small: MemoryBudget::new(small_bytes), large: MemoryBudget::new(large_bytes) }
    }

    /// Returns the memory that a request with a head and a body of these sizes takes, and whether it counts as large.
    pub fn need(head_bytes: usize, body_bytes: usize) -> MemoryNeed {
        let bytes = RECORD_BYTES + head_bytes + body_bytes;
        MemoryNeed { bytes, is_large: bytes >= LARGE_REQUEST_BYTES }
    }

    /// Reserves memory if it is free.
    pub fn try_reserve(&self, need: MemoryNeed) -> Option<Reservation> {
        let budget = if need.is_large { &self.large } else { &self.small };
        budget.try_reserve(need.bytes)
    }

    /// Returns the budget for large requests, and for bodies that are not complete.
    pub fn large(&self) -> &MemoryBudget {
        &self.large
    }
}

/// Limits that follow from a router's memory and descriptors.
#[derive(Clone, Debug)]
pub struct MemoryPlan {
    /// Maximum number of connections from callers.
    pub connections: usize,
    /// Memory for requests of this router's callers.
    pub requests: RequestMemory,
    /// Memory for requests that other routers forward to this owner.
    pub forwarded: RequestMemory,
    /// Memory for large answers of instances, until they are written to a link or to the caller.
    pub instance_answers: MemoryBudget,
    /// Memory for large answers from other routers, until they are written to the caller.
    pub arriving_answers: MemoryBudget,
}

impl MemoryPlan {
    /// Divides the memory and the descriptors of the settings.
    pub fn new(settings: &RouterSettings) -> MemoryPlan {
        let part_bytes = settings.memory_mb * BYTES_PER_MB / PARTS;
        let descriptors = match settings.file_descriptors {
            0 => kernel::descriptor_limit().unwrap_or(usize::MAX),
            descriptors => descriptors,
        };
        let connections = (CONNECTION_PARTS * part_bytes / CONNECTION_BYTES).min(descriptors / 2);
        let max_request_bytes = RECORD_BYTES + settings.head_bytes + settings.body;
        let requests = || RequestMemory {
            small: MemoryBudget::new(SMALL_REQUEST_PARTS * part_bytes),
            large: MemoryBudget::new((LARGE_REQUEST_PARTS * part_bytes).max(max_request_bytes)),
        };
        let answers = || MemoryBudget::new((ANSWER_PARTS * part_bytes).max(dispatch::MAX_ANSWER_BYTES));
        MemoryPlan {
            connections: settings.connections.min(connections.max(1)),
            requests: requests(),
            forwarded: requests(),
            instance_answers: answers(),
            arriving_answers: answers(),
        }
    }

    /// Returns a plan that limits nothing.
    #[cfg(test)]
    pub fn unlimited() -> MemoryPlan {
        MemoryPlan {
            connections: usize::MAX,
            requests: RequestMemory::default(),
            forwarded: RequestMemory::default(),
            instance_answers: MemoryBudget::unlimited(),
            arriving_answers: MemoryBudget::unlimited(),
        }
    }

    /// Returns how often any budget had too little.
    pub fn shortages(&self) -> u64 {
        self.budgets().iter().map(|(_, budget)| budget.shortages()).sum()
    }

    /// Returns what is reserved of each budget, and how often one had too little.
    pub fn status(&self) -> Value {
        let entry = |budget: &MemoryBudget| {
            json!({"capacity_bytes": budget.capacity_bytes(), "reserved_bytes": budget.reserved_bytes(),
                "shortages": budget.shortages()})
        };
        Value::Object(self.budgets().into_iter().map(|(kind, budget)| (kind.to_owned(), entry(budget))).collect())
    }

    /// Returns each budget with the value of the metric label `kind`.
    fn budgets(&self) -> [(&'static str, &MemoryBudget); 6] {
        [
            ("caller_requests", &self.requests.small),
            ("caller_large_requests", &self.requests.large),
            ("forwarded_requests", &self.forwarded.small),
            ("forwarded_large_requests", &self.forwarded.large),
            ("instance_answers", &self.instance_answers),
            ("arriving_answers", &self.arriving_answers),
        ]
    }
}

#[cfg(test)]
#[path = "memory_plan_tests.rs"]
mod tests;
