//! Work that a registry does at each tick and after each input.

use crate::core::{Core, CoreOutput};
use crate::keys;
use chain::Positions;
use std::time::Duration;

/// Maximum time for which a pending epoch defers the join of a registry. A joining registry becomes the tail, and a
/// new tail cannot activate any epoch for a while, so a pending epoch goes first if it can.
const JOIN_DEFERRAL: Duration = Duration::from_secs(1);

impl Core {
    /// Does the periodic work of a tick.
    pub(crate) fn tick(&mut self) {
        let now = self.now;
        self.expire_proposals();
        self.process_open_calls();
        let is_pending = keys::read_number(self.state(), keys::LATEST) > keys::read_number(self.state(), keys::ACTIVE);
        let since = self.tail.since.unwrap_or(now);
        self.replica.defer_joins(is_pending && now < since + JOIN_DEFERRAL);
        self.maybe_start_duties();
        self.confirm_renewals();
    }

    /// Reacts to newly synced and committed entries: activated epochs, the tail's role, pushes.
    pub(crate) fn handle_progress(&mut self) {
        let Positions { synced, committed, .. } = self.replica.positions();
        let active = keys::read_number(self.state(), keys::ACTIVE);
        if active > self.calls.active_step {
            self.calls.active_step = active;
            self.outputs.push(CoreOutput::Activated { step: active });
            self.answer_activated_changes(active);
        }
        self.answer_deferred_calls();
        let is_tail = self.replica.is_current_tail();
        self.update_tenure();
        if is_tail && committed >= synced && self.pushes.take_due(committed, self.now) {
            self.push_updates();
        }
    }
}
