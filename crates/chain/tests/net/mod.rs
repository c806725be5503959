//! In-memory cluster of replicas: the test delivers their messages and disk writes itself, and disks keep their
//! contents across restarts.

#![allow(dead_code)]

use chain::{Batch, ChainReplica, Change, Effect, Input, Output, State, StoredReplica, Timing};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, ProposalId};

/// State machine of the tests: sets the key named by the entry's body to the entry's sequence number.
pub fn apply(_: &State, seq: u64, body: &[u8]) -> Effect {
    let key = String::from_utf8_lossy(body).into_owned();
    Effect { changes: vec![Change::put(key, seq.to_le_bytes().to_vec())], reply: body.to_vec() }
}

/// Replicas, their disks, and the messages and writes in flight.
pub struct Net {
    pub members: BTreeMap<NodeId, ChainReplica>,
    pub disks: BTreeMap<NodeId, StoredReplica>,
    /// Undelivered messages: sender, receiver and message.
    pub frames: VecDeque<(NodeId, NodeId, ChainMessage)>,
    /// Disk writes that are not complete: member, ticket and batch.
    pub writes: Vec<(NodeId, u64, Batch)>,
    /// Members that neither send nor receive messages.
    pub isolated: Vec<NodeId>,
    /// Pairs of members between which no messages are delivered.
    pub cut_links: Vec<(NodeId, NodeId)>,
    /// Members whose disk writes do not complete.
    pub stalled_disks: Vec<NodeId>,
    /// Members to which no append messages are delivered.
    pub append_blocked: Vec<NodeId>,
    /// Finished proposals: member, proposal, and whether it was appended.
    pub finished: Vec<(NodeId, ProposalId, bool)>,
    /// Members that reported a confirmed round, one item per round.
    pub confirmed: Vec<NodeId>,
    /// Catch-ups: member, and the number of missed entries or `None` for a snapshot.
    pub caught_up: Vec<(NodeId, Option<usize>)>,
    pub now: Duration,
    pub next_op: u64,
    /// Seeds of a member, if not all other members.
    pub seeds: BTreeMap<NodeId, Vec<NodeId>>,
    /// Voters of the view that a member without a view was sent.
    pub learned_voters: BTreeMap<NodeId, Vec<NodeId>>,
    /// Address of a member, if not its default one.
    pub addresses: BTreeMap<NodeId, wire::Text>,
    /// Members whose disk refuses every write.
    pub full_disks: Vec<NodeId>,
    /// Number and total bytes of the snapshot and missed-entries messages delivered to a member.
    pub catch_up_traffic: BTreeMap<NodeId, (usize, usize)>,
}

/// Returns the id and default address of a member.
pub fn node(id: NodeId) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

impl Net {
    /// Starts members with empty disks.
    pub fn new(ids: &[NodeId]) -> Net {
        let mut net = Net {
            members: BTreeMap::new(),
            disks: BTreeMap::new(),
            frames: VecDeque::new(),
            writes: Vec::new(),
            isolated: Vec::new(),
            cut_links: Vec::new(),
            stalled_disks: Vec::new(),
            append_blocked: Vec::new(),
            finished: Vec::new(),
            confirmed: Vec::new(),
            caught_up: Vec::new(),
            now: Duration::from_secs(1),
            next_op: 0,
            seeds: BTreeMap::new(),
            learned_voters: BTreeMap::new(),
            addresses: BTreeMap::new(),
            full_disks: Vec::new(),
            catch_up_traffic: BTreeMap::new(),
        };
        ids.iter().for_each(|id| net.start(*id));
        net
    }

    /// Starts a member from its disk; it may found a cluster with three founders.
    pub fn start(&mut self, id: NodeId) {
        self.start_with_founders(id, 3);
    }

    /// Starts a member that may found a cluster with this many founders; 0 for never.
    pub fn start_with_founders(&mut self, id: NodeId, founders: usize) {
        self.start_tolerating(id, founders, 1);
    }

    /// Like `start_with_founders`, with the number of losses to tolerate.
    pub fn start_tolerating(&mut self, id: NodeId, founders: usize, losses: usize) {
        let stored = self.disks.entry(id).or_default().clone();
        let address = self.addresses.get(&id).cloned().unwrap_or(node(id).address);
        let member = ChainReplica::new(NodeAddress { id, address }, stored, Timing::default(), apply, self.now);
        self.members.insert(id, member.with_founders(founders).with_tolerated_losses(losses));
    }

    /// Restarts a member as a process whose confirmation rounds begin at another number.
    pub fn restart_numbering_from(&mut self, id: NodeId, round: u64) {
        self.start(id);
        if let Some(member) = self.members.remove(&id) {
            self.members.insert(id, member.with_first_round(round));
        }
    }

    /// Passes an input to a member and records its outputs.
    pub fn step(&mut self, id: NodeId, input: Input) {
        let Some(member) = self.members.get_mut(&id) else { return };
        for output in member.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.frames.push_back((id, to, message)),
                Output::SendSeeds { message } => {
                    let learned = self.learned_voters.get(&id).into_iter().flatten();
                    let others: Vec<NodeId> = match self.seeds.get(&id) {
                        Some(seeds) => seeds.iter().chain(learned).copied().collect(),
                        None => self.members.keys().copied().filter(|other| *other != id).collect(),
                    };
                    others.into_iter().for_each(|to| self.frames.push_back((id, to, message.clone())));
                }
                Output::Write { ticket, batch } => self.writes.push((id, ticket, batch)),
                Output::ProposalDone { op, appended, .. } => self.finished.push((id, op, appended)),
                Output::Confirmed { .. } => self.confirmed.push(id),
                Output::CaughtUp { missed_entries } => self.caught_up.push((id, missed_entries)),
                Output::ViewLearned { view } => {
                    drop(self.learned_voters.insert(id, view.voters.iter().map(|node| node.id).collect()))
                }
                Output::Committed { .. } | Output::ViewAdopted { .. } => {}
            }
        }
    }

    /// Completes all disk writes of a member.
    pub fn complete_writes(&mut self, id: NodeId) {
        while let Some(index) = self.writes.iter().position(|(owner, ..)| *owner == id) {
            let (_, ticket, batch) = self.writes.remove(index);
            if let Some(disk) = self.disks.get_mut(&id) {
                disk.apply(&batch);
            }
            self.step(id, Input::Written { ticket });
        }
    }

    /// Delivers all messages and completes all disk writes that are not blocked.
    pub fn deliver_all(&mut self) {
        self.deliver(usize::MAX);
    }

    /// Delivers up to `count` messages and completed disk writes.
    pub fn deliver(&mut self, count: usize) {
        for _ in 0..count {
            if let Some((from, to, message)) = self.frames.pop_front() {
                let is_cut = self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from));
                let is_blocked = matches!(message, ChainMessage::Append { .. }) && self.append_blocked.contains(&to);
                if !self.isolated.contains(&from) && !self.isolated.contains(&to) && !is_cut && !is_blocked {
                    self.count_catch_up(to, &message);
                    self.step(to, Input::Message { from, message });
                }
                continue;
            }
            let Some(index) = self.writes.iter().position(|(id, ..)| !self.stalled_disks.contains(id)) else { return };
            let (id, ticket, batch) = self.writes.remove(index);
            if self.full_disks.contains(&id) {
                self.step(id, Input::DiskError);
                continue;
            }
            if let Some(disk) = self.disks.get_mut(&id) {
                disk.apply(&batch);
            }
            self.step(id, Input::Written { ticket });
        }
    }

    fn count_catch_up(&mut self, to: NodeId, message: &ChainMessage) {
        if matches!(message, ChainMessage::SnapshotChunk { .. } | ChainMessage::MissedEntries { .. }) {
            let (messages, bytes) = self.catch_up_traffic.entry(to).or_default();
            *messages += 1;
            *bytes += wire::to_bytes(message).len();
        }
    }

    /// Makes the full disk of a member accept writes again, and restarts the member from its contents.
    pub fn free_disk(&mut self, id: NodeId) {
        self.full_disks.retain(|full| *full != id);
        let stored = self.disks[&id].clone();
        self.step(id, Input::DiskRecovered { stored });
        self.deliver_all();
    }

    /// Advances the clock in steps of 50 ms, with a tick of each member and all deliveries after each step.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += Duration::from_millis(50);
            let ids: Vec<NodeId> = self.members.keys().copied().collect();
            ids.into_iter().for_each(|id| self.step(id, Input::Tick));
            self.deliver_all();
        }
    }

    /// Like `advance`, in steps of ten milliseconds.
    pub fn advance_finely(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += Duration::from_millis(10);
            let ids: Vec<NodeId> = self.members.keys().copied().collect();
            ids.into_iter().for_each(|id| self.step(id, Input::Tick));
            self.deliver_all();
        }
    }

    /// Proposes an entry at a member and returns the id of the proposal.
    pub fn propose_entry(&mut self, at: NodeId, body: &str) -> ProposalId {
        self.next_op += 1;
        let op = ProposalId { origin: at, number: self.next_op };
        self.step(at, Input::Propose { op, body: body.as_bytes().to_vec() });
        op
    }

    /// Returns the chain of a member's view.
    pub fn chain(&self, id: NodeId) -> Vec<NodeId> {
        self.members[&id].view().chain.as_slice().to_vec()
    }

    /// Returns a cluster founded by members 1 to 3.
    pub fn founded() -> Net {
        let mut net = Net::new(&[1, 2, 3]);
        net.advance(3000);
        assert_eq!((net.chain(1), net.chain(3)), (vec![1, 2, 3], vec![1, 2, 3]));
        net
    }
}
