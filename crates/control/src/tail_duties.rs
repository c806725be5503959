//! Duties of the current tail, done only right after a majority has confirmed its view: remove silent routers,
//! activate epochs that all routers have staged, renew the quorum of routers, and tick the chain's clock.

use crate::core::Core;
use crate::keys;
use crate::pending_proposals::Duty;
use wire::Command;
use wire::NodeId;

/// Maximum size of a fleet in which every change of the quorum is urgent. In larger fleets, a change of a few routers
/// can wait.
const SMALL_FLEET: usize = 12;

impl Core {
    /// Requests the confirmation round that the duties need, if they are due.
    pub(crate) fn maybe_start_duties(&mut self) {
        if !self.tail.is_held() || !self.duties.take_due(self.now) {
            return;
        }
        self.request_round();
    }

    /// Requests a confirmation round, which the waiting renewals share, and returns its number.
    pub(crate) fn request_round(&mut self) -> u64 {
        let round = self.replica.request_confirmation();
        self.requests.record_round(round, self.now);
        self.step_replica(chain::Input::Confirm);
        round
    }

    /// Does the duties, since a majority has just confirmed this tail.
    pub(crate) fn run_duties(&mut self) {
        if !self.tail.is_held() {
            return;
        }
        let members = self.align_sessions();
        if self.duties.take_tick(self.now, self.timing.tick_interval) {
            let number = keys::read_number(self.state(), keys::TICKS) + 1;
            self.propose_duty(Duty::Tick, &Command::Tick { number });
        }
        for (id, incarnation) in self.sessions.expired_members(self.now, self.timing.proof_expiry) {
            self.propose_duty(Duty::Lapse { id, incarnation }, &Command::ExpireLease { id, incarnation });
        }
        self.maybe_activate();
        if self.earlier_leases_expired() {
            self.renew_quorum(members.keys().copied().collect());
        }
    }

    /// Proposes the members as the quorum once they have been the same for long enough.
    fn renew_quorum(&mut self, members: Vec<NodeId>) {
        let Some(since) = self.duties.members_since(&members, self.now) else { return };
        let active = keys::read_number(self.state(), keys::ACTIVE);
        let latest = keys::read_number(self.state(), keys::LATEST);
        let quorum = keys::quorum(self.state(), active);
        if active != latest || members.is_empty() || quorum == members {
            return;
        }
        // After each renewal, every router requests proofs five times as often for a while.
        let kept = members.iter().filter(|id| quorum.contains(id)).count();
        let is_minor_change = kept * 4 >= members.len().max(quorum.len()) * 3 && members.len() > SMALL_FLEET;
        let stability = if is_minor_change { self.timing.quorum_stability * 5 } else { self.timing.quorum_stability };
        if self.now >= since + stability {
            self.propose_duty(Duty::Quorum, &Command::SetQuorum { after: latest, members: members.into() });
        }
    }
}
