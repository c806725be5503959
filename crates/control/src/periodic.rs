//! What a registry does of its own accord: at each tick, and after whatever it took in.

use crate::core::{Core, CoreOutput};
use crate::keys;
use chain::Positions;
use std::time::Duration;

/// A registry that joins becomes the tail, and a new tail lets no step come into force for a while: one
/// that is pending goes first, if it can at all.
const JOIN_DEFERRAL: Duration = Duration::from_secs(1);

impl Core {
    pub(crate) fn tick(&mut self) {
        let now = self.now;
        self.expire_proposals();
        self.tick_calls();
        let pending = keys::number(self.state(), keys::LATEST) > keys::number(self.state(), keys::ACTIVE);
        let since = self.tail.since.unwrap_or(now);
        self.member.defer_joins(pending && now < since + JOIN_DEFERRAL);
        self.maybe_start_duties();
        self.confirm_renewals();
    }

    /// Follows what became synced and committed since: steps in force, the tail's role, pushes.
    pub(crate) fn after(&mut self) {
        let Positions { synced, committed, .. } = self.member.positions();
        let active = keys::number(self.state(), keys::ACTIVE);
        if active > self.calls.active_step {
            self.calls.active_step = active;
            self.outs.push(CoreOutput::Activated { step: active });
            self.activated(active);
        }
        self.answer_deferred_calls();
        let tail = self.member.is_current_tail();
        self.follow_tenure();
        if tail && committed >= synced && self.pushes.take_due(committed, self.now) {
            self.push();
        }
    }
}
