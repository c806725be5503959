//! The core's side of its talk with routers: holds and proofs, pieces of the configuration, commands
//! entered and state read on a router's behalf. Whatever claims to be current waits for a round begun
//! after it was asked; renewals that come close together share one.

use crate::core::{Core, CoreOutput, Wait};
use crate::keys;
use crate::proposals::Duty;
use std::time::Duration;
use wire::{LeaseMessage, List, NodeId};

const JOBS: usize = 4096;
const WAITS: usize = 8192;
const ROUND_EVERY: Duration = Duration::from_millis(15);

impl Core {
    pub(crate) fn router(&mut self, from: NodeId, incarnation: u64, message: LeaseMessage) {
        match message {
            LeaseMessage::Renew { .. } if self.tail_since.is_some() && self.renewals.len() < JOBS => {
                self.renewals.push((from, incarnation, message));
                self.confirm_renewals();
            }
            LeaseMessage::PartAsk { ask, whole, number, offset } => {
                self.on_part_ask(from, ask, whole != 0, number, offset)
            }
            LeaseMessage::Renew { .. } | LeaseMessage::FetchAll { .. } | LeaseMessage::Read { .. } => {
                if self.tail_since.is_none() {
                    self.not_tail(from);
                } else if self.jobs.len() < JOBS {
                    let round = self.ask_round();
                    self.jobs.push_back((round, from, incarnation, message));
                }
            }
            LeaseMessage::Join { address, zone, ops } if self.tail_since.is_some() => {
                let id = from;
                let command = wire::Command::Join { id, incarnation, address, zone, ops };
                self.enter_duty(Duty::Join { id, incarnation }, &command);
            }
            LeaseMessage::Enrol { address, zone, ops, hashing, capacity } if self.tail_since.is_some() => {
                let id = from;
                let command = match self.format >= wire::CAPACITY {
                    true => wire::Command::Enrol { id, incarnation, address, zone, ops, hashing, capacity },
                    false => wire::Command::Join { id, incarnation, address, zone, ops },
                };
                self.enter_duty(Duty::Join { id, incarnation }, &command);
            }
            LeaseMessage::Leave { .. } | LeaseMessage::Leaving if self.tail_since.is_some() => {
                let id = from;
                self.enter_duty(Duty::Leaving { id, incarnation }, &wire::Command::Leaving { id, incarnation });
            }
            LeaseMessage::Staged { number } => {
                if let Some(session) = self.sessions.table.get_mut(&from)
                    && session.incarnation == incarnation
                {
                    session.staged = session.staged.max(number);
                    self.push_due = true;
                }
            }
            LeaseMessage::Propose { ask, body } => {
                if self.waits.len() >= WAITS {
                    let message = LeaseMessage::ProposalAck { ask, state: 0, body: Vec::new().into() };
                    return self.outs.push(CoreOutput::Router { to: from, message });
                }
                self.enter_raw(Wait::Router { to: from, ask }, body.into_vec());
            }
            LeaseMessage::Piece { ask, step, revision, items, next, .. } => {
                self.on_piece(ask, step, revision, items.into_vec(), next.as_str())
            }
            LeaseMessage::Proofs { view, earlier_millis, proofs } => {
                self.on_proofs(view, earlier_millis, proofs.into_vec())
            }
            _ => {}
        }
    }

    pub(crate) fn not_tail(&mut self, to: NodeId) {
        let view = self.member.view();
        let seats: List<wire::Text> = view.voters.iter().map(|seat| seat.address.clone()).collect::<Vec<_>>().into();
        let message = LeaseMessage::Seats { seats };
        self.outs.push(CoreOutput::Router { to, message });
    }

    pub(crate) fn confirmed(&mut self, round: u64) {
        while let Some((needed, ..)) = self.jobs.front()
            && *needed <= round
        {
            let Some((_, from, incarnation, message)) = self.jobs.pop_front() else { break };
            match message {
                LeaseMessage::Renew { ask, staged, active, roster } => {
                    self.prove(from, incarnation, ask, staged, active, roster)
                }
                LeaseMessage::FetchAll { ask, from: start } => self.piece(from, ask, start.as_str()),
                LeaseMessage::Read { ask, prefix, from: start } => {
                    let (items, _) = keys::page(self.state(), prefix.as_str(), start.as_str(), false);
                    let message = LeaseMessage::ReadReply { ask, state: 1, items: items.into() };
                    self.outs.push(CoreOutput::Router { to: from, message });
                }
                _ => {}
            }
        }
        self.duties_confirmed();
    }

    pub(crate) fn confirm_renewals(&mut self) {
        if !self.renewals.is_empty() && self.now >= self.rounded + ROUND_EVERY {
            self.ask_round();
        }
    }

    fn prove(&mut self, from: NodeId, incarnation: u64, ask: u64, staged: u64, active: u64, roster: u64) {
        let now = self.now;
        let member = self.align().get(&from) == Some(&incarnation);
        let message = LeaseMessage::Proof {
            ask,
            active: keys::number(self.state(), keys::ACTIVE),
            latest: keys::number(self.state(), keys::LATEST),
            member: member as u8,
        };
        if member {
            self.sessions.note_proof(from, now);
        }
        if let Some(session) = self.sessions.table.get_mut(&from).filter(|_| member) {
            session.staged = session.staged.max(staged);
            session.active = active;
            session.roster = roster;
        }
        self.outs.push(CoreOutput::Router { to: from, message });
    }

    fn piece(&mut self, to: NodeId, ask: u64, start: &str) {
        let active = keys::number(self.state(), keys::ACTIVE);
        let (items, next) = keys::page(self.state(), keys::ACTIVE_PAIRS, start, true);
        let message = LeaseMessage::Piece {
            ask,
            step: active,
            revision: keys::number(self.state(), keys::ACTIVE_REVISION),
            quorum: keys::quorum(self.state(), active).into(),
            items: items.into(),
            next: next.into(),
        };
        self.outs.push(CoreOutput::Router { to, message });
    }
}
