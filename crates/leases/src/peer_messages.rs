//! Messages between routers about their epochs and memberships. A router that sends a request under an older
//! membership is sent the newer one before the reply, because it ignores replies that name a newer membership.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::membership::{Membership, MembershipChange};
use crate::peer_quorum::HeldVersions;
use wire::{Blob, LeaseMessage, NodeId};

impl Follower {
    pub(crate) fn handle_peer_message(&mut self, from: NodeId, message: LeaseMessage) {
        match message.with_membership() {
            LeaseMessage::PeerRequest { request_id, membership, .. } if self.epochs.is_initialized => {
                self.send_membership_if_newer(from, membership);
                let (active, latest) = (self.epochs.active(), self.epochs.newest_known());
                let membership = self.membership.number;
                let message = LeaseMessage::PeerReply { request_id, active, latest, membership };
                self.outputs.push(FollowerOutput::ToPeer { to: from, message });
            }
            LeaseMessage::PeerReply { request_id, latest, membership, .. } => {
                self.handle_peer_reply(from, request_id, HeldVersions { epoch: latest, membership });
            }
            LeaseMessage::MajorityRequest { request_id, active, membership } => {
                self.send_membership_if_newer(from, membership);
                self.add_waiting_peer(from, request_id, active);
            }
            LeaseMessage::MajorityReply { request_id, active, membership } => {
                let matches_own_state = active == self.epochs.active() && membership <= self.membership.number;
                if matches_own_state && !self.newer_epoch_is_known() {
                    self.handle_majority_reply(request_id);
                }
            }
            LeaseMessage::PeerMembership { number, size, body } => self.handle_peer_membership(number, size, &body),
            _ => {}
        }
    }

    /// Sends the membership, which the core numbered, to a router that has an older one.
    fn send_membership_if_newer(&mut self, to: NodeId, known: u64) {
        if known >= self.membership.number {
            return;
        }
        let change = self.membership.change_since(&Membership::default());
        let packed = wire::compress(&wire::to_bytes(&change));
        let number = self.membership.number;
        let message = LeaseMessage::PeerMembership { number, size: packed.size, body: packed.bytes };
        self.outputs.push(FollowerOutput::ToPeer { to, message });
    }

    fn handle_peer_membership(&mut self, number: u64, size: u32, body: &Blob) {
        if number <= self.membership.number {
            return;
        }
        let raw = wire::decompress(body.as_slice(), size);
        let Some(change) = raw.and_then(|raw| wire::from_bytes::<MembershipChange>(&raw)) else { return };
        self.membership = Membership::default().with_change(number, change);
        self.outputs.push(FollowerOutput::MembershipUpdated { number });
    }
}
