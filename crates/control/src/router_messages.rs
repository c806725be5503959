//! Handling of routers' messages: lease renewals, parts of the configuration, and proposals and reads of the state on
//! a router's behalf. An answer that claims to be current waits for a confirmation round that began after the request
//! came in; renewals that come close together share a round.

use crate::core::{Core, CoreOutput};
use crate::keys;
use crate::pending_proposals::{Duty, Origin};
use crate::router_requests::RouterRequest;
use std::time::Duration;
use wire::{LeaseMessage, List, NodeId};

/// Maximum number of proposals in flight; further ones of routers are refused.
const MAX_PENDING_PROPOSALS: usize = 8192;

impl Core {
    /// Handles a lease message.
    pub(crate) fn handle_lease_message(&mut self, from: NodeId, incarnation: u64, message: LeaseMessage) {
        match message {
            LeaseMessage::Renew { .. } if self.tail.is_held() && self.requests.has_renewal_capacity() => {
                self.requests.add_renewal(RouterRequest { from, incarnation, message });
                self.confirm_renewals();
            }
            LeaseMessage::PartRequest { request_id, full, number, offset } => {
                self.handle_part_request(from, request_id, full != 0, number, offset)
            }
            LeaseMessage::Renew { .. } | LeaseMessage::ConfigurationRequest { .. } | LeaseMessage::Read { .. } => {
                if !self.tail.is_held() {
                    self.send_registry_addresses(from);
                } else if self.requests.has_capacity() {
                    let round = self.request_round();
                    self.requests.add(round, RouterRequest { from, incarnation, message });
                }
            }
            LeaseMessage::Join { address, zone, ops } if self.tail.is_held() => {
                let id = from;
                let command = wire::Command::Join { id, incarnation, address, zone, ops };
                self.propose_duty(Duty::Join { id, incarnation }, &command);
            }
            LeaseMessage::JoinWithCapacity { address, zone, ops, hashing, capacity } if self.tail.is_held() => {
                let id = from;
                let command = match self.format >= wire::CAPACITY_FORMAT {
                    true => wire::Command::JoinWithCapacity { id, incarnation, address, zone, ops, hashing, capacity },
                    false => wire::Command::Join { id, incarnation, address, zone, ops },
                };
                self.propose_duty(Duty::Join { id, incarnation }, &command);
            }
            LeaseMessage::Leave { .. } | LeaseMessage::Leaving if self.tail.is_held() => {
                let id = from;
                self.propose_duty(Duty::Leaving { id, incarnation }, &wire::Command::Leaving { id, incarnation });
            }
            LeaseMessage::Staged { number } => {
                if let Some(session) = self.sessions.by_router.get_mut(&from)
                    && session.incarnation == incarnation
                {
                    session.staged = session.staged.max(number);
                    self.pushes.make_due();
                }
            }
            LeaseMessage::Propose { request_id, body } => {
                if self.proposals.len() >= MAX_PENDING_PROPOSALS {
                    let message = LeaseMessage::ProposalAck { request_id, state: 0, body: Vec::new().into() };
                    return self.outputs.push(CoreOutput::Router { to: from, message });
                }
                self.propose_raw(Origin::Router { to: from, request_id }, body.into_vec());
            }
            LeaseMessage::ConfigurationPage { request_id, epoch: step, revision, items, next, .. } => {
                self.handle_configuration_page(request_id, step, revision, items.into_vec(), next.as_str())
            }
            LeaseMessage::Proofs { view, earlier_millis, proofs } => {
                let earlier = Duration::from_millis(earlier_millis);
                self.tail.record_report(view, earlier, proofs.into_vec(), self.now);
            }
            _ => {}
        }
    }

    /// Answers a request that only the tail can serve with the registries' addresses.
    pub(crate) fn send_registry_addresses(&mut self, to: NodeId) {
        let view = self.replica.view();
        let addresses: List<wire::Text> =
            view.voters.iter().map(|node| node.address.clone()).collect::<Vec<_>>().into();
        let message = LeaseMessage::RegistryAddresses { addresses };
        self.outputs.push(CoreOutput::Router { to, message });
    }

    /// Answers the requests that waited for a confirmation round, and does the tail's duties.
    pub(crate) fn handle_confirmed_round(&mut self, round: u64) {
        while let Some(RouterRequest { from, incarnation, message }) = self.requests.next_confirmed(round) {
            match message {
                LeaseMessage::Renew { request_id, staged, active, membership } => {
                    self.send_proof(from, incarnation, request_id, staged, active, membership)
                }
                LeaseMessage::ConfigurationRequest { request_id, from: start } => {
                    self.send_configuration_page(from, request_id, start.as_str())
                }
                LeaseMessage::Read { request_id, prefix, from: start } => {
                    let (items, _) = keys::page(self.state(), prefix.as_str(), start.as_str(), false);
                    let message = LeaseMessage::ReadReply { request_id, state: 1, items: items.into() };
                    self.outputs.push(CoreOutput::Router { to: from, message });
                }
                _ => {}
            }
        }
        self.run_duties();
    }

    /// Requests a confirmation round for the waiting renewals, if one is due.
    pub(crate) fn confirm_renewals(&mut self) {
        if self.requests.is_round_due(self.now) {
            self.request_round();
        }
    }

    /// Sends a lease proof, and records it in the router's session.
    fn send_proof(
        &mut self,
        from: NodeId,
        incarnation: u64,
        request_id: u64,
        staged: u64,
        active: u64,
        membership: u64,
    ) {
        let now = self.now;
        let member = self.align_sessions().get(&from) == Some(&incarnation);
        let message = LeaseMessage::Proof {
            request_id,
            active: keys::read_number(self.state(), keys::ACTIVE),
            latest: keys::read_number(self.state(), keys::LATEST),
            is_member: member as u8,
        };
        if member {
            self.sessions.record_lease(from, now);
        }
        if let Some(session) = self.sessions.by_router.get_mut(&from).filter(|_| member) {
            session.staged = session.staged.max(staged);
            session.active = active;
            session.membership = membership;
        }
        self.outputs.push(CoreOutput::Router { to: from, message });
    }

    fn send_configuration_page(&mut self, to: NodeId, request_id: u64, start: &str) {
        let active = keys::read_number(self.state(), keys::ACTIVE);
        let (items, next) = keys::page(self.state(), keys::ACTIVE_PAIRS, start, true);
        let message = LeaseMessage::ConfigurationPage {
            request_id,
            epoch: active,
            revision: keys::read_number(self.state(), keys::ACTIVE_REVISION),
            quorum: keys::quorum(self.state(), active).into(),
            items: items.into(),
            next: next.into(),
        };
        self.outputs.push(CoreOutput::Router { to, message });
    }
}
