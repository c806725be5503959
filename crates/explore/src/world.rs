//! The modelled cluster: machines with a process and a disk each, and the messages between them.

use crate::faults::PlantedFault;
use crate::history::History;
use chain::{Batch, ChainReplica, Change, Effect, Input, Output, State, StoredReplica, Timing};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId, ProposalId, View, to_bytes};

/// How many of each kind of event a run may still have.
#[derive(Clone, Debug, Hash)]
pub struct Budget {
    pub entries: u32,
    pub confirms: u32,
    pub crashes: u32,
    pub wipes: u32,
    pub drops: u32,
    pub silences: u32,
    pub passes: u32,
    pub leaves: u32,
    pub joins: u32,
}

/// A machine: an address, the process that runs there now, and its disk.
#[derive(Clone)]
pub struct Machine {
    pub id: NodeId,
    pub member: Option<ChainReplica>,
    pub disk: StoredReplica,
    /// Writes handed to the disk that are not yet synced.
    pub pending: Vec<(u64, Batch)>,
    /// How often its disk was lost, and its process started.
    pub wipes: u64,
    pub starts: u64,
    /// Had a fault, and has not been back in the chain since.
    pub is_faulty: bool,
    /// Was in the chain at least once.
    pub was_in_chain: bool,
    pub leaving: bool,
    /// Stopped for good, its place taken by the machine started as its successor, if any.
    pub removed: bool,
    pub successor: Option<usize>,
    /// When it ended, its member had no more to do.
    pub left_cleanly: bool,
    pub is_founder: bool,
}

#[derive(Clone)]
pub struct World {
    pub machines: Vec<Machine>,
    /// Messages under way, by sender and receiver, in the order sent.
    pub frames: BTreeMap<(NodeId, NodeId), Vec<ChainMessage>>,
    pub now: Duration,
    pub losses: usize,
    pub budget: Budget,
    pub history: History,
    pub planted_fault: PlantedFault,
    /// Heartbeats arrive at once while time passes.
    pub(crate) advancing: bool,
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

    /// Starts the process of a machine on whatever its disk holds.
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

    /// The process ends; what was not synced is gone. Messages on their way to it may still reach the
    /// next process.
    pub fn stop(&mut self, index: usize) {
        self.machines[index].member = None;
        self.machines[index].pending.clear();
        self.machines[index].is_faulty = true;
        let id = self.machines[index].id;
        self.history.confirmation_requests.retain(|(requester, _), _| *requester != id);
    }

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

    /// A message goes to an address: whichever process runs there now gets it.
    pub fn deliver(&mut self, from: NodeId, to: NodeId, message: ChainMessage) {
        let (sender, receiver) = (machine_index(from), machine_index(to));
        if self.advancing && (self.isolated == Some(sender) || self.isolated == Some(receiver)) {
            return;
        }
        self.handle_input(receiver, Input::Message { from, message });
    }

    /// The oldest write of a machine is synced and reported.
    pub fn complete_write(&mut self, index: usize) {
        if self.machines[index].pending.is_empty() {
            return;
        }
        let (ticket, batch) = self.machines[index].pending.remove(0);
        self.machines[index].disk.apply(&batch);
        self.handle_input(index, Input::Written { ticket });
    }

    pub fn propose(&mut self, index: usize) {
        self.next_operation += 1;
        let op = ProposalId { origin: self.machines[index].id, number: self.next_operation };
        self.handle_input(index, Input::Propose { op, body: op.number.to_string().into_bytes() });
    }

    pub fn confirm(&mut self, index: usize) {
        let Some(member) = self.machines[index].member.as_mut() else { return };
        let round = member.request_confirmation();
        let id = self.machines[index].id;
        self.history.record_confirmation_request(id, round);
        self.handle_input(index, Input::Confirm);
    }

    /// Whether the member says that a planned stop may end now.
    pub(crate) fn may_stop(&self, index: usize) -> bool {
        self.machines[index].member.as_ref().is_some_and(|member| member.may_stop())
    }

    /// The newest view that any member learnt to be decided.
    pub fn newest_view(&self) -> Option<&View> {
        self.history.decided.values().next_back()
    }

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

/// Which machine an identity was given to: a wiped one starts with a new identity.
pub fn machine_index(id: NodeId) -> usize {
    ((id - 1) % 10) as usize
}
