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
    pub(crate) fn send_leaving(&mut self) {
        let is_shown_as_leaving = self.membership.member(self.me).is_none_or(|member| member.leaving != 0);
        if self.is_leaving && !is_shown_as_leaving {
            self.send_to_registry(None, LeaseMessage::Leaving);
        }
    }

    /// Returns the registry that recently confirmed the lease, if any, and the renewal interval. Sending each renewal
    /// to all registries costs more.
    fn renewal_target(&self) -> (Option<NodeId>, Duration) {
        let target =
            self.lease.tail.filter(|tail| self.now < tail.heard_at + self.timing.renew * 2).map(|tail| tail.id);
        match (self.newer_epoch_is_known(), target) {
            (false, _) => (target, self.timing.renew),
            (true, Some(_)) if self.membership.members.as_slice().len() > self.timing.relay_above => {
                (target, self.timing.renew_guarded_many)
            }
            (true, Some(_)) => (target, self.timing.renew_guarded),
            (true, None) => (target, BROADCAST_RENEWAL_INTERVAL.min(self.timing.renew)),
        }
    }

    /// Returns when the next tick has work to do, as far as is known now.
    pub fn due(&self) -> Duration {
        let renewal = self.lease.renewed_at.map_or(self.now, |renewed_at| renewed_at + self.renewal_target().1);
        let next_part = self.next_part_due();
        renewal.min(next_part).min(self.next_peer_request_due())
    }

    pub(crate) fn tick(&mut self) {
        let now = self.now;
        let (target, interval) = self.renewal_target();
        if self.lease.renewed_at.is_none_or(|renewed_at| now >= renewed_at + interval) {
            self.lease.renewed_at = Some(now);
            let request_id = self.next_request_number();
            self.lease.record_renewal(request_id, now, self.timing.hold);
            let (staged, active, membership) = (self.staged_epoch(), self.epochs.active(), self.membership.number);
            self.send_leaving();
            self.send_to_registry(target, LeaseMessage::Renew { request_id, staged, active, membership });
        }
        self.tick_transfers();
        self.tick_peer_confirmations();
    }
}
