//! What routers tell each other of their epochs and memberships. Whoever asks by an earlier membership is sent the
//! newer one first, so that the reply after it counts.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::membership::{Membership, MembershipChange};
use crate::peer_quorum::Held;
use wire::{Blob, LeaseMessage, NodeId};

impl Follower {
    pub(crate) fn peer(&mut self, from: NodeId, message: LeaseMessage) {
        match message.with_membership() {
            LeaseMessage::PeerRequest { request_id, membership, .. } if self.epochs.is_initialized => {
                self.maybe_send_membership(from, membership);
                let (active, latest) = (self.epochs.active(), self.epochs.newest_known());
                let membership = self.membership.number;
                let message = LeaseMessage::PeerReply { request_id, active, latest, membership };
                self.outs.push(FollowerOutput::ToPeer { to: from, message });
            }
            LeaseMessage::PeerReply { request_id, latest, membership, .. } => {
                self.handle_peer_reply(from, request_id, Held { epoch: latest, membership });
            }
            LeaseMessage::MajorityRequest { request_id, active, membership } => {
                self.maybe_send_membership(from, membership);
                self.collect(from, request_id, active);
            }
            LeaseMessage::MajorityReply { request_id, active, membership } => {
                let is_mine = active == self.epochs.active() && membership <= self.membership.number;
                if is_mine && !self.is_guarded() {
                    self.handle_majority_reply(request_id);
                }
            }
            LeaseMessage::PeerMembership { number, size, body } => self.handle_peer_membership(number, size, &body),
            _ => {}
        }
    }

    /// Whoever goes by an earlier membership is sent this one, which the core numbered.
    fn maybe_send_membership(&mut self, to: NodeId, known: u64) {
        if known >= self.membership.number {
            return;
        }
        let change = self.membership.change_since(&Membership::default());
        let packed = wire::compress(&wire::to_bytes(&change));
        let number = self.membership.number;
        let message = LeaseMessage::PeerMembership { number, size: packed.size, body: packed.bytes };
        self.outs.push(FollowerOutput::ToPeer { to, message });
    }

    fn handle_peer_membership(&mut self, number: u64, size: u32, body: &Blob) {
        if number <= self.membership.number {
            return;
        }
        let raw = wire::decompress(body.as_slice(), size);
        let Some(change) = raw.and_then(|raw| wire::from_bytes::<MembershipChange>(&raw)) else { return };
        self.membership = Membership::default().changed(number, change);
        self.outs.push(FollowerOutput::MembershipUpdated { number });
    }
}
