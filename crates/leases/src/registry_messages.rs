//! Messages from registries to a follower: lease confirmations, epochs to stage and activate, and the membership.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::lease::ConfirmingTail;
use crate::membership::{Membership, MembershipChange};
use crate::part_transfer::Part;
use wire::{Blob, ConfigurationEpoch, LeaseMessage, NodeId};

impl Follower {
    pub(crate) fn handle_registry_message(&mut self, from: NodeId, message: LeaseMessage) {
        match message {
            LeaseMessage::Proof { request_id, active, latest, is_member: member } => {
                self.handle_lease_confirmation(from, request_id, active, latest, member != 0)
            }
            LeaseMessage::NotTail { addresses, .. } | LeaseMessage::RegistryAddresses { addresses } => {
                self.forget_tail(from);
                let addresses: Vec<String> = addresses.iter().map(|address| address.as_str().to_owned()).collect();
                if !addresses.is_empty() {
                    self.outputs.push(FollowerOutput::RegistryAddresses { addresses });
                }
            }
            LeaseMessage::Stage { epoch: step } => self.stage_epoch(from, step),
            LeaseMessage::Activate { number } => self.activate_to(number),
            LeaseMessage::Membership { number, body } => {
                if number > self.membership.number
                    && let Some(membership) = Membership::read(body.as_slice())
                {
                    self.membership = membership;
                    self.outputs.push(FollowerOutput::MembershipUpdated { number });
                }
            }
            LeaseMessage::MembershipChange { since, number, size, body } => {
                self.handle_membership_change(since, number, size, &body)
            }
            LeaseMessage::Part { request_id, full, number, size, compressed_size: packed, offset, bytes } => {
                let part = Part { number, size, packed, offset, bytes };
                if full != 0 {
                    self.handle_configuration_part(from, request_id, part)
                } else {
                    self.handle_epoch_part(from, part)
                }
            }
            LeaseMessage::ConfigurationPage { request_id, epoch: step, revision, quorum, items, next } => self
                .handle_configuration_page(from, request_id, step, revision, quorum.into_vec(), items.into_vec(), next),
            _ => {}
        }
    }

    /// Forgets the tail if it says that it no longer is the tail, and makes the next renewal due at once. Otherwise
    /// renewals would go to that registry for another half second; now they go to all registries.
    fn forget_tail(&mut self, sender: NodeId) {
        if self.lease.tail.take_if(|tail| tail.id == sender).is_some() {
            self.lease.renewed_at = None;
        }
    }

    /// Applies a membership change. A change to a membership that this router does not have is ignored: the core learns
    /// the router's membership number from each renewal.
    fn handle_membership_change(&mut self, since: u64, number: u64, size: u32, body: &Blob) {
        if number <= self.membership.number || (since != 0 && since != self.membership.number) {
            return;
        }
        let raw = wire::decompress(body.as_slice(), size);
        let Some(change) = raw.and_then(|raw| wire::from_bytes::<MembershipChange>(&raw)) else { return };
        let membership = if since == 0 {
            Membership::default().with_change(number, change)
        } else {
            self.membership.with_change(number, change)
        };
        self.membership = membership;
        self.outputs.push(FollowerOutput::MembershipUpdated { number });
    }

    fn handle_lease_confirmation(&mut self, from: NodeId, request_id: u64, active: u64, latest: u64, is_member: bool) {
        let Some(requested_at) = self.lease.complete_renewal(request_id) else { return };
        self.lease.tail = Some(ConfirmingTail { id: from, heard_at: self.now });
        self.epochs.record_known(latest);
        if !is_member {
            self.lease.core_confirmed = None;
            if std::mem::take(&mut self.lease.is_member) {
                self.outputs.push(FollowerOutput::RemovedFromMembers);
            }
            if self.join_sent_at.is_none_or(|last| self.now >= last + self.timing.renew) {
                self.join_sent_at = Some(self.now);
                let message = self.join_message.clone();
                self.send_to_registry(Some(from), message);
            }
            return;
        }
        self.lease.is_member = true;
        self.activate_to(active);
        if self.epochs.active() == active {
            self.epochs.is_initialized = true;
            self.lease.record_core_confirmation(requested_at);
        } else if self.epochs.active() < active && self.transfers.fetch.is_none() {
            self.begin_fetch(from);
        }
    }

    pub(crate) fn stage_epoch(&mut self, from: NodeId, epoch: ConfigurationEpoch) {
        self.epochs.stage(epoch);
        let number = self.staged_epoch();
        self.send_to_registry(Some(from), LeaseMessage::Staged { number });
    }

    fn activate_to(&mut self, number: u64) {
        if self.epochs.activate_to(number) {
            self.lease.reset();
            let (step, revision) = (self.epochs.active(), self.epochs.revision());
            self.outputs.push(FollowerOutput::Activated { step, revision });
        }
    }
}
