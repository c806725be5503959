//! In-memory cluster of replicas: the test delivers their messages and disk writes itself, and disks keep their
//! contents across restarts.

#![allow(dead_code)]

use chain::{Batch, ChainReplica, Change, Effect, Input, Output, State, StoredReplica, Timing};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, ProposalId};

pub fn apply(_: &State, seq: u64, body: &[u8]) -> Effect {
    let key = String::from_utf8_lossy(body).into_owned();
    Effect { changes: vec![Change::put(key, seq.to_le_bytes().to_vec())], reply: body.to_vec() }
}

pub struct Net {
    pub members: BTreeMap<NodeId, ChainReplica>,
    pub disks: BTreeMap<NodeId, StoredReplica>,
    pub frames: VecDeque<(NodeId, NodeId, ChainMessage)>,
    pub writes: Vec<(NodeId, u64, Batch)>,
    pub cut: Vec<NodeId>,
    pub pairs: Vec<(NodeId, NodeId)>,
    pub stalled: Vec<NodeId>,
    /// Members to which no append messages are delivered.
    pub starved: Vec<NodeId>,
    pub done: Vec<(NodeId, ProposalId, bool)>,
    pub confirmed: Vec<NodeId>,
    pub installed: Vec<(NodeId, Option<usize>)>,
    pub now: Duration,
    pub next_op: u64,
    /// Seeds of a member, if not all other members.
    pub seeds: BTreeMap<NodeId, Vec<NodeId>>,
    pub told: BTreeMap<NodeId, Vec<NodeId>>,
    /// Address of a member, if not its default one.
    pub addresses: BTreeMap<NodeId, wire::Text>,
    /// Members whose disk refuses every write.
    pub full: Vec<NodeId>,
    /// Number and total bytes of the snapshot and missed-entries messages delivered to a member.
    pub caught_up_by: BTreeMap<NodeId, (usize, usize)>,
}

pub fn node(id: NodeId) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

impl Net {
    pub fn new(ids: &[NodeId]) -> Net {
        let mut net = Net {
            members: BTreeMap::new(),
            disks: BTreeMap::new(),
            frames: VecDeque::new(),
            writes: Vec::new(),
            cut: Vec::new(),
            pairs: Vec::new(),
            stalled: Vec::new(),
            starved: Vec::new(),
            done: Vec::new(),
            confirmed: Vec::new(),
            installed: Vec::new(),
            now: Duration::from_secs(1),
            next_op: 0,
            seeds: BTreeMap::new(),
            told: BTreeMap::new(),
            addresses: BTreeMap::new(),
            full: Vec::new(),
            caught_up_by: BTreeMap::new(),
        };
        ids.iter().for_each(|id| net.start(*id));
        net
    }

    pub fn start(&mut self, id: NodeId) {
        self.start_founding(id, 3);
    }

    /// Starts a member that may found a cluster with this many founders; 0 for never.
    pub fn start_founding(&mut self, id: NodeId, seats: usize) {
        self.start_bearing(id, seats, 1);
    }

    /// Like `start_founding`, with the number of losses to tolerate.
    pub fn start_bearing(&mut self, id: NodeId, seats: usize, losses: usize) {
        let stored = self.disks.entry(id).or_default().clone();
        let address = self.addresses.get(&id).cloned().unwrap_or(node(id).address);
        let member = ChainReplica::new(NodeAddress { id, address }, stored, Timing::default(), apply, self.now);
        self.members.insert(id, member.with_founders(seats).with_tolerated_losses(losses));
    }

    /// Restarts a member as a process whose confirmation rounds begin at another number.
    pub fn restart_numbering_from(&mut self, id: NodeId, round: u64) {
        self.start(id);
        if let Some(member) = self.members.remove(&id) {
            self.members.insert(id, member.with_first_round(round));
        }
    }

    pub fn feed(&mut self, id: NodeId, input: Input) {
        let Some(member) = self.members.get_mut(&id) else { return };
        for output in member.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.frames.push_back((id, to, message)),
                Output::SendSeeds { message } => {
                    let told = self.told.get(&id).into_iter().flatten();
                    let others: Vec<NodeId> = match self.seeds.get(&id) {
                        Some(seeds) => seeds.iter().chain(told).copied().collect(),
                        None => self.members.keys().copied().filter(|other| *other != id).collect(),
                    };
                    others.into_iter().for_each(|to| self.frames.push_back((id, to, message.clone())));
                }
                Output::Write { ticket, batch } => self.writes.push((id, ticket, batch)),
                Output::ProposalDone { op, appended, .. } => self.done.push((id, op, appended)),
                Output::Confirmed { .. } => self.confirmed.push(id),
                Output::CaughtUp { missed_entries } => self.installed.push((id, missed_entries)),
                Output::ViewLearned { view } => {
                    drop(self.told.insert(id, view.voters.iter().map(|node| node.id).collect()))
                }
                Output::Committed { .. } | Output::ViewAdopted { .. } => {}
            }
        }
    }

    /// Completes all disk writes of a member.
    pub fn land(&mut self, id: NodeId) {
        while let Some(place) = self.writes.iter().position(|(owner, ..)| *owner == id) {
            let (_, ticket, batch) = self.writes.remove(place);
            if let Some(disk) = self.disks.get_mut(&id) {
                disk.apply(&batch);
            }
            self.feed(id, Input::Written { ticket });
        }
    }

    pub fn settle(&mut self) {
        self.steps(usize::MAX);
    }

    /// Delivers up to `count` messages and completed disk writes.
    pub fn steps(&mut self, count: usize) {
        for _ in 0..count {
            if let Some((from, to, message)) = self.frames.pop_front() {
                let pair = self.pairs.contains(&(from, to)) || self.pairs.contains(&(to, from));
                let starved = matches!(message, ChainMessage::Append { .. }) && self.starved.contains(&to);
                if !self.cut.contains(&from) && !self.cut.contains(&to) && !pair && !starved {
                    self.count(to, &message);
                    self.feed(to, Input::Message { from, message });
                }
                continue;
            }
            let Some(place) = self.writes.iter().position(|(id, ..)| !self.stalled.contains(id)) else { return };
            let (id, ticket, batch) = self.writes.remove(place);
            if self.full.contains(&id) {
                self.feed(id, Input::DiskError);
                continue;
            }
            if let Some(disk) = self.disks.get_mut(&id) {
                disk.apply(&batch);
            }
            self.feed(id, Input::Written { ticket });
        }
    }

    fn count(&mut self, to: NodeId, message: &ChainMessage) {
        if matches!(message, ChainMessage::SnapshotChunk { .. } | ChainMessage::MissedEntries { .. }) {
            let (messages, bytes) = self.caught_up_by.entry(to).or_default();
            *messages += 1;
            *bytes += wire::to_bytes(message).len();
        }
    }

    /// Makes the full disk of a member accept writes again, and restarts the member from its contents.
    pub fn free_disk(&mut self, id: NodeId) {
        self.full.retain(|full| *full != id);
        let stored = self.disks[&id].clone();
        self.feed(id, Input::DiskRecovered { stored });
        self.settle();
    }

    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now += Duration::from_millis(50);
            let ids: Vec<NodeId> = self.members.keys().copied().collect();
            ids.into_iter().for_each(|id| self.feed(id, Input::Tick));
            self.settle();
        }
    }

    /// Like `pass`, in steps of ten milliseconds.
    pub fn pass_finely(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += Duration::from_millis(10);
            let ids: Vec<NodeId> = self.members.keys().copied().collect();
            ids.into_iter().for_each(|id| self.feed(id, Input::Tick));
            self.settle();
        }
    }

    pub fn propose_entry(&mut self, at: NodeId, words: &str) -> ProposalId {
        self.next_op += 1;
        let op = ProposalId { origin: at, number: self.next_op };
        self.feed(at, Input::Propose { op, body: words.as_bytes().to_vec() });
        op
    }

    pub fn chain(&self, id: NodeId) -> Vec<NodeId> {
        self.members[&id].view().chain.as_slice().to_vec()
    }

    pub fn founded() -> Net {
        let mut net = Net::new(&[1, 2, 3]);
        net.pass(3000);
        assert_eq!((net.chain(1), net.chain(3)), (vec![1, 2, 3], vec![1, 2, 3]));
        net
    }
}
