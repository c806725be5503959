//! The modelled cluster: machines with a process and a disk each, and the messages between them.

use crate::budget::Budget;
use crate::faults::PlantedFault;
use crate::history::History;
use chain::{Batch, ChainReplica, Change, Effect, Input, Output, State, StoredReplica, Timing};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, ProposalId, View, to_bytes};

/// A machine: an address, the process that runs there, if any, and its disk.
#[derive(Clone)]
pub struct Machine {
    pub id: NodeId,
    pub member: Option<ChainReplica>,
    pub disk: StoredReplica,
    /// Writes handed to the disk but not yet synced, oldest first.
    pub pending: Vec<(u64, Batch)>,
    /// Number of times the disk was lost.
    pub wipes: u64,
    /// Number of times the process was started.
    pub starts: u64,
    /// Whether the machine had a fault and has not been back in the chain since.
    pub is_faulty: bool,
    /// Whether the machine was in the chain at least once.
    pub was_in_chain: bool,
    /// Whether the process was told to leave the chain.
    pub leaving: bool,
    /// Whether the machine is permanently stopped and replaced by its successor.
    pub removed: bool,
    /// Index of the machine that was started to replace this one.
    pub successor: Option<usize>,
    /// Whether the process ended after its member had completed the leave.
    pub left_cleanly: bool,
    /// Whether the machine may form the first view.
    pub is_founder: bool,
}

/// State of the modelled cluster.
#[derive(Clone)]
pub struct World {
    pub machines: Vec<Machine>,
    /// Messages in flight, by sender and receiver, in the order sent.
    pub frames: BTreeMap<(NodeId, NodeId), Vec<ChainMessage>>,
    pub now: Duration,
    /// Number of machines that the cluster is declared to tolerate losing.
    pub losses: usize,
    pub budget: Budget,
    pub history: History,
    pub planted_fault: PlantedFault,
    /// Whether the clocks are advancing; heartbeats are delivered at once meanwhile.
    pub(crate) advancing: bool,
    /// The frozen or cut-off machine while the clocks advance.
    pub(crate) isolated: Option<usize>,
    pub(crate) next_operation: u64,
}

fn apply(_: &State, seq: u64, body: &[u8]) -> Effect {
    let key = String::from_utf8_lossy(body).into_owned();
    Effect { changes: vec![Change::put(key, seq.to_le_bytes().to_vec())], reply: Vec::new() }
}

fn address(machine: usize) -> wire::Text {
    format!("10.0.0.{machine}:1").into()
}

impl World {
    /// Returns a cluster without machines.
    pub fn new(losses: usize, budget: Budget, planted_fault: PlantedFault) -> World {
        World {
            machines: Vec::new(),
            frames: BTreeMap::new(),
            now: Duration::from_secs(1),
            losses,
            budget,
            history: History::default(),
            planted_fault,
            advancing: false,
            isolated: None,
            next_operation: 0,
        }
    }

    /// Adds a machine with an empty disk, starts its process and returns its index.
    pub fn add_machine(&mut self, is_founder: bool) -> usize {
        self.machines.push(Machine {
            id: 0,
            member: None,
            disk: StoredReplica::default(),
            pending: Vec::new(),
            wipes: 0,
            starts: 0,
            is_faulty: !is_founder,
            was_in_chain: false,
            leaving: false,
            removed: false,
            successor: None,
            left_cleanly: false,
            is_founder,
        });
        let index = self.machines.len() - 1;
        self.start(index);
        index
    }

    /// Starts the process of a machine from the contents of its disk.
    pub fn start(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.id = index as NodeId + 1 + machine.wipes * 10;
        machine.starts += 1;
        machine.leaving = false;
        machine.left_cleanly = false;
        let node = NodeAddress { id: machine.id, address: address(index) };
        machine.disk.meta.node = node.clone();
        let founders = if machine.is_founder { 3 } else { 0 };
        let member = ChainReplica::new(node, machine.disk.clone(), Timing::default(), apply, self.now);
        let member = member.with_founders(founders).with_tolerated_losses(self.losses);
        machine.member = Some(member.with_first_round(machine.starts << 20));
    }

    /// Stops the process of a machine and discards its unsynced writes. Messages in flight to it may still
    /// reach the next process on this machine.
    pub fn stop(&mut self, index: usize) {
        self.machines[index].member = None;
        self.machines[index].pending.clear();
        self.machines[index].is_faulty = true;
        let id = self.machines[index].id;
        self.history.confirmation_requests.retain(|(requester, _), _| *requester != id);
    }

    /// Passes an input to the member on a machine and executes the outputs.
    pub fn handle_input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(member) = self.machines[index].member.as_mut() else { return };
        let outputs = member.step(now, input);
        self.record_outputs(index, &outputs);
        for output in outputs {
            self.execute_output(index, output);
        }
    }

    fn execute_output(&mut self, index: usize, output: Output) {
        let from = self.machines[index].id;
        match output {
            Output::Send { to, message } => self.send(from, to, message),
            Output::SendSeeds { message } => {
                let others = (0..self.machines.len()).filter(|other| *other != index);
                let ids: Vec<NodeId> = others.map(|other| self.machines[other].id).collect();
                ids.into_iter().for_each(|to| self.send(from, to, message.clone()));
            }
            Output::Write { ticket, batch } => {
                self.machines[index].pending.push((ticket, batch));
                self.report_early_sync(index, ticket);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: ChainMessage) {
        use ChainMessage::{Heartbeat, HeartbeatAck, Leaving};
        if self.advancing && matches!(message, Heartbeat { .. } | HeartbeatAck { .. } | Leaving { .. }) {
            return self.deliver(from, to, message);
        }
        self.forge_reply(from, to, &message);
        let link = self.frames.entry((from, to)).or_default();
        if !link.contains(&message) {
            link.push(message);
        }
    }

    /// Delivers a message to whichever process now runs at the address of the receiver.
    pub fn deliver(&mut self, from: NodeId, to: NodeId, message: ChainMessage) {
        let (sender, receiver) = (machine_index(from), machine_index(to));
        if self.advancing && (self.isolated == Some(sender) || self.isolated == Some(receiver)) {
            return;
        }
        self.handle_input(receiver, Input::Message { from, message });
    }

    /// Syncs the oldest pending write of a machine and reports it to the member.
    pub fn complete_write(&mut self, index: usize) {
        if self.machines[index].pending.is_empty() {
            return;
        }
        let (ticket, batch) = self.machines[index].pending.remove(0);
        self.machines[index].disk.apply(&batch);
        self.handle_input(index, Input::Written { ticket });
    }

    /// Proposes a new change at a machine.
    pub fn propose(&mut self, index: usize) {
        self.next_operation += 1;
        let op = ProposalId { origin: self.machines[index].id, number: self.next_operation };
        self.handle_input(index, Input::Propose { op, body: op.number.to_string().into_bytes() });
    }

    /// Requests a read confirmation from the member on a machine.
    pub fn confirm(&mut self, index: usize) {
        let Some(member) = self.machines[index].member.as_mut() else { return };
        let round = member.request_confirmation();
        let id = self.machines[index].id;
        self.history.record_confirmation_request(id, round);
        self.handle_input(index, Input::Confirm);
    }

    /// Returns whether the member reports that its planned stop may complete.
    pub(crate) fn may_stop(&self, index: usize) -> bool {
        self.machines[index].member.as_ref().is_some_and(|member| member.may_stop())
    }

    /// Returns the newest view that any member knows to be decided.
    pub fn newest_view(&self) -> Option<&View> {
        self.history.decided.values().next_back()
    }

    /// Returns a hash of the whole state, with which a search recognizes visited states.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            (machine.id, machine.wipes, machine.is_faulty, machine.was_in_chain, machine.leaving).hash(&mut hasher);
            (machine.removed, machine.left_cleanly, machine.successor, machine.member.is_some()).hash(&mut hasher);
            if let Some(member) = &machine.member {
                member.digest(&mut hasher);
            }
            chain::digest_meta(&machine.disk.meta, &mut hasher);
            chain::digest_state(&machine.disk.state, &mut hasher);
            chain::digest_entries(machine.disk.entries.iter(), &mut hasher);
            (machine.disk.last, machine.disk.known_committed).hash(&mut hasher);
            for (ticket, batch) in &machine.pending {
                ticket.hash(&mut hasher);
                chain::digest_batch(batch, &mut hasher);
            }
        }
        for (link, messages) in self.frames.iter().filter(|(_, messages)| !messages.is_empty()) {
            link.hash(&mut hasher);
            messages.iter().for_each(|message| to_bytes(message).hash(&mut hasher));
        }
        self.history.digest(&mut hasher);
        (&self.budget, self.next_operation).hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the index of the machine to which a node id was given. A wiped machine starts with a new id.
pub fn machine_index(id: NodeId) -> usize {
    ((id - 1) % 10) as usize
}
