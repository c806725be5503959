//! Periodic work of a follower: it renews its lease and repeats unanswered requests. Also computes when that work is
//! due next, so that the caller need not tick in between.

use crate::follower::Follower;
use std::time::Duration;
use wire::{LeaseMessage, NodeId};

/// Renewal interval while the tail is unknown and each renewal goes to all registries.
const BROADCAST_RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

impl Follower {
    /// Sends the leave message. It is repeated with each renewal until the membership shows it, because a core under
    /// repair may have dropped the first one.
    pub(crate) fn say_leaving(&mut self) {
        let shown = self.membership.member(self.me).is_none_or(|line| line.leaving != 0);
        if self.is_leaving && !shown {
            self.send_to_registry(None, LeaseMessage::Leaving);
        }
    }

    /// Returns the registry that recently confirmed the lease, if any, and the renewal interval. Sending each renewal
    /// to all registries costs more.
    fn renewing(&self) -> (Option<NodeId>, Duration) {
        let heard = self.lease.tail.filter(|tail| self.now < tail.heard_at + self.timing.renew * 2).map(|tail| tail.id);
        match (self.is_guarded(), heard) {
            (false, _) => (heard, self.timing.renew),
            (true, Some(_)) if self.membership.members.as_slice().len() > self.timing.relay_above => {
                (heard, self.timing.renew_guarded_many)
            }
            (true, Some(_)) => (heard, self.timing.renew_guarded),
            (true, None) => (heard, BROADCAST_RENEWAL_INTERVAL.min(self.timing.renew)),
        }
    }

    /// Returns when the next tick has work to do, as far as is known now.
    pub fn due(&self) -> Duration {
        let renewal = self.lease.renewed_at.map_or(self.now, |last| last + self.renewing().1);
        let parts = self.next_part_due();
        renewal.min(parts).min(self.peers_due())
    }

    pub(crate) fn tick(&mut self) {
        let now = self.now;
        let (heard, every) = self.renewing();
        if self.lease.renewed_at.is_none_or(|last| now >= last + every) {
            self.lease.renewed_at = Some(now);
            let request_id = self.next_request_number();
            self.lease.record_renewal(request_id, now, self.timing.hold);
            let (staged, active, membership) = (self.staged_number(), self.epochs.active(), self.membership.number);
            self.say_leaving();
            self.send_to_registry(heard, LeaseMessage::Renew { request_id, staged, active, membership });
        }
        self.tick_parts();
        self.tick_peers();
    }
}
