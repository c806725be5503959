//! What the current tail does of its own accord, and only just after a majority has confirmed its
//! view: lapse silent routers, activate steps that all have staged, renew the quorum of machines,
//! and tick the chain's clock.

use crate::core::Core;
use crate::keys;
use crate::pending_proposals::Duty;
use wire::Command;
use wire::NodeId;

/// In a fleet of more, a change of a few machines in the quorum can wait.
const SMALL_FLEET: usize = 12;

impl Core {
    pub(crate) fn maybe_start_duties(&mut self) {
        if !self.tail.is_held() || !self.duties.take_due(self.now) {
            return;
        }
        self.request_round();
    }

    pub(crate) fn request_round(&mut self) -> u64 {
        let round = self.member.request_confirmation();
        self.requests.record_round(round, self.now);
        self.chain(chain::Input::Confirm);
        round
    }

    pub(crate) fn duties_confirmed(&mut self) {
        if !self.tail.is_held() {
            return;
        }
        let members = self.align();
        if self.duties.take_tick(self.now, self.timing.tick) {
            let number = keys::number(self.state(), keys::TICKS) + 1;
            self.propose_duty(Duty::Tick, &Command::Tick { number });
        }
        for (id, incarnation) in self.sessions.lapsed(self.now, self.timing.proof_over) {
            self.propose_duty(Duty::Lapse { id, incarnation }, &Command::ExpireLease { id, incarnation });
        }
        self.maybe_activate();
        if self.earlier_leases_are_over() {
            self.renew_quorum(members.keys().copied().collect());
        }
    }

    fn renew_quorum(&mut self, members: Vec<NodeId>) {
        let Some(since) = self.duties.members_since(&members, self.now) else { return };
        let active = keys::number(self.state(), keys::ACTIVE);
        let latest = keys::number(self.state(), keys::LATEST);
        let quorum = keys::quorum(self.state(), active);
        if active != latest || members.is_empty() || quorum == members {
            return;
        }
        // Each renewal has every router prove itself five times as often for a while.
        let known = members.iter().filter(|id| quorum.contains(id)).count();
        let few = known * 4 >= members.len().max(quorum.len()) * 3 && members.len() > SMALL_FLEET;
        let calm = if few { self.timing.calm * 5 } else { self.timing.calm };
        if self.now >= since + calm {
            self.propose_duty(Duty::Quorum, &Command::SetQuorum { after: latest, members: members.into() });
        }
    }
}
