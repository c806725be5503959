//! What registries tell a follower: proofs, steps staged and activated, the membership.

use crate::follower::Follower;
use crate::follower_types::FollowerOutput;
use crate::lease::ConfirmingTail;
use crate::membership::{Membership, MembershipChange};
use crate::step_parts::Part;
use wire::{Blob, ConfigurationEpoch, LeaseMessage, NodeId};

impl Follower {
    pub(crate) fn registry(&mut self, from: NodeId, message: LeaseMessage) {
        match message {
            LeaseMessage::Proof { request_id, active, latest, member } => {
                self.on_proof(from, request_id, active, latest, member != 0)
            }
            LeaseMessage::NotTail { addresses, .. } | LeaseMessage::RegistryAddresses { addresses } => {
                self.forget_tail(from);
                let addresses: Vec<String> = addresses.iter().map(|seat| seat.as_str().to_owned()).collect();
                if !addresses.is_empty() {
                    self.outs.push(FollowerOutput::RegistryAddresses { addresses });
                }
            }
            LeaseMessage::Stage { epoch: step } => self.on_stage(from, step),
            LeaseMessage::Activate { number } => self.activate_to(number),
            LeaseMessage::Membership { number, body } => {
                if number > self.membership.number
                    && let Some(membership) = Membership::read(body.as_slice())
                {
                    self.membership = membership;
                    self.outs.push(FollowerOutput::MembershipUpdated { number });
                }
            }
            LeaseMessage::MembershipChange { since, number, size, body } => {
                self.on_membership_change(since, number, size, &body)
            }
            LeaseMessage::Part { request_id, full, number, size, packed, offset, bytes } => {
                let part = Part { number, size, packed, offset, bytes };
                if full != 0 {
                    self.on_configuration_part(from, request_id, part)
                } else {
                    self.on_step_part(from, part)
                }
            }
            LeaseMessage::ConfigurationPage { request_id, epoch: step, revision, quorum, items, next } => {
                self.on_configuration_page(from, request_id, step, revision, quorum.into_vec(), items.into_vec(), next)
            }
            _ => {}
        }
    }

    /// A registry that says it is not the tail any more is not asked for another half second: all are, at once.
    fn forget_tail(&mut self, said_by: NodeId) {
        if self.lease.tail.take_if(|tail| tail.id == said_by).is_some() {
            self.lease.renewed_at = None;
        }
    }

    /// A change of a membership this router has not is passed over: the core hears its number with each renewal.
    fn on_membership_change(&mut self, since: u64, number: u64, size: u32, body: &Blob) {
        if number <= self.membership.number || (since != 0 && since != self.membership.number) {
            return;
        }
        let raw = wire::decompress(body.as_slice(), size);
        let Some(change) = raw.and_then(|raw| wire::from_bytes::<MembershipChange>(&raw)) else { return };
        let membership = if since == 0 {
            Membership::default().changed(number, change)
        } else {
            self.membership.changed(number, change)
        };
        self.membership = membership;
        self.outs.push(FollowerOutput::MembershipUpdated { number });
    }

    fn on_proof(&mut self, from: NodeId, request_id: u64, active: u64, latest: u64, member: bool) {
        let Some(requested_at) = self.lease.take_renewal(request_id) else { return };
        self.lease.tail = Some(ConfirmingTail { id: from, heard_at: self.now });
        self.epochs.record_known(latest);
        if !member {
            self.lease.core_confirmed = None;
            if std::mem::take(&mut self.lease.is_member) {
                self.outs.push(FollowerOutput::Lapsed);
            }
            if self.joined_at.is_none_or(|last| self.now >= last + self.timing.renew) {
                self.joined_at = Some(self.now);
                let message = self.joining.clone();
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

    pub(crate) fn on_stage(&mut self, from: NodeId, epoch: ConfigurationEpoch) {
        self.epochs.stage(epoch);
        let number = self.staged_number();
        self.send_to_registry(Some(from), LeaseMessage::Staged { number });
    }

    fn activate_to(&mut self, number: u64) {
        if self.epochs.activate_to(number) {
            self.lease.reset();
            let (step, revision) = (self.epochs.active(), self.epochs.revision());
            self.outs.push(FollowerOutput::Activated { step, revision });
        }
    }
}
