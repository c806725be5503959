//! Writes to the disk, and the restart of the replica from its disk after a failure.

use super::ChainReplica;
use crate::types::StoredReplica;

impl ChainReplica {
    pub(super) fn maybe_start_write(&mut self) {
        let last = self.log.positions().last;
        let known_committed = self.log.known_committed();
        self.outputs.extend(self.writes.start_next(self.clock.now, last, self.log.state(), known_committed));
    }

    pub(super) fn handle_written(&mut self, ticket: u64) {
        let Some(write) = self.writes.finish(ticket) else { return };
        self.log.mark_synced(write.last, write.state);
        self.outputs.extend(write.on_synced);
        if write.completes_catch_up {
            self.finish_catch_up();
        }
        self.after_progress();
    }

    /// Returns whether this replica's disk fails or stalls.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.writes.has_failed() || self.writes.is_stalled(self.clock.now, self.timing.stall_after)
    }

    /// Restarts from the contents of the disk as a new process would, which drops everything that was not synced.
    /// The numbers of rounds, proposals and writes continue, since answers to earlier ones may still arrive;
    /// settings, planned stops and readmission backoffs are kept too.
    pub(super) fn restart_from(&mut self, stored: StoredReplica) {
        if !self.writes.has_failed() || stored.meta.node.id != self.me() {
            return;
        }
        let node = self.meta.node.clone();
        let mut replica = ChainReplica::new(node, stored, self.timing.clone(), self.apply, self.clock.now);
        replica.agreement.continue_numbering(&self.agreement);
        replica.confirmation.number = self.confirmation.number;
        replica.writes.continue_tickets(&self.writes);
        replica.bootstrap = std::mem::take(&mut self.bootstrap);
        replica.rules.departure = self.rules.departure;
        replica.rules.departures = std::mem::take(&mut self.rules.departures);
        replica.rules.tolerated_losses = self.rules.tolerated_losses;
        replica.rules.joins_deferred = self.rules.joins_deferred;
        replica.rules.readmissions = std::mem::take(&mut self.rules.readmissions);
        *self = replica;
    }
}
