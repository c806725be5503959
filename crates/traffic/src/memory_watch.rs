//! Logs the beginning and the end of a shortage of memory or of connections for callers.

use crate::memory_plan::MemoryPlan;
use events::event;

/// Counts at the last look, and whether a shortage was logged whose end was not.
#[derive(Default)]
pub struct MemoryWatch {
    shortages: u64,
    shed_connections: u64,
    is_short: bool,
}

impl MemoryWatch {
    /// Logs a shortage that has begun or ended since the last call.
    pub fn log_changes(&mut self, memory: &MemoryPlan, shed_connections: u64) {
        let shortages = memory.shortages();
        let is_short = (shortages, shed_connections) != (self.shortages, self.shed_connections);
        (self.shortages, self.shed_connections) = (shortages, shed_connections);
        if is_short == self.is_short {
            return;
        }
        self.is_short = is_short;
        let counts = format!("{shortages} times too little memory, {shed_connections} connections gave way so far");
        match is_short {
            true => event!(memory_short, "{counts}: {}", memory.status()),
            false => event!(memory_sufficient, "{counts}"),
        }
    }
}
