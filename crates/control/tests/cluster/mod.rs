//! Registry cores connected in memory, with disks that keep what was written and links that can be cut in either
//! direction.

#![allow(dead_code)]

use chain::{ChainReplica, StoredReplica, Timing};
use control::{ApiCall, ApiReply, Core, CoreInput, CoreOutput, CoreTiming};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wire::{ChainMessage, ConfigurationItem, LeaseMessage, NodeAddress, NodeId};

pub const TICK: Duration = Duration::from_millis(10);

enum Frame {
    Chain(ChainMessage),
    Lease(LeaseMessage),
}

struct Envelope {
    from: NodeId,
    to: NodeId,
    frame: Frame,
}

/// A registry's reply to a call.
#[derive(Clone, Debug)]
pub struct CallReply {
    pub at: NodeId,
    pub request_id: u64,
    pub reply: ApiReply,
}

#[derive(Default)]
pub struct Cluster {
    cores: BTreeMap<NodeId, Core>,
    disks: BTreeMap<NodeId, StoredReplica>,
    frames: VecDeque<Envelope>,
    cuts: BTreeSet<(NodeId, NodeId)>,
    now: Duration,
    last_request_id: u64,
    start_count: u64,
    pub replies: Vec<CallReply>,
}

fn node(id: NodeId) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

impl Cluster {
    /// Founds a cluster of `count` registries, with ids from 1, and waits until it is complete.
    pub fn founded(count: u64) -> Cluster {
        let mut cluster = Cluster { now: Duration::from_secs(1), ..Cluster::default() };
        (1..=count).for_each(|id| cluster.start_founding(id, count as usize));
        cluster.run(Duration::from_secs(6));
        assert_eq!(cluster.chain().len(), count as usize, "all registries are in the chain");
        cluster
    }

    fn start_founding(&mut self, id: NodeId, founders: usize) {
        self.start_count += 1;
        let stored = self.disks.entry(id).or_default().clone();
        let replica = ChainReplica::new(node(id), stored, Timing::default(), control::apply, self.now);
        let core = Core::new(replica.with_founders(founders), CoreTiming::default(), self.start_count << 20);
        self.cores.insert(id, core);
    }

    pub fn start(&mut self, id: NodeId) {
        self.start_founding(id, 0);
    }

    /// Kills a registry; its disk is kept.
    pub fn kill(&mut self, id: NodeId) {
        self.cores.remove(&id);
        self.frames.retain(|envelope| envelope.to != id);
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.disks.keys().copied().collect()
    }

    pub fn core(&self, id: NodeId) -> &Core {
        &self.cores[&id]
    }

    /// The chain of the newest view.
    pub fn chain(&self) -> Vec<NodeId> {
        let views = self.cores.values().map(|core| core.replica().view());
        views.max_by_key(|view| view.number).map(|view| view.chain.as_slice().to_vec()).unwrap_or_default()
    }

    /// Drops all frames from one registry to another.
    pub fn cut_one_way(&mut self, from: NodeId, to: NodeId) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn call(&mut self, at: NodeId, call: ApiCall) -> u64 {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.step(at, CoreInput::Call { request_id, call });
        self.deliver();
        request_id
    }

    pub fn reply(&self, request_id: u64) -> Option<&ApiReply> {
        self.replies.iter().find(|reply| reply.request_id == request_id).map(|reply| &reply.reply)
    }

    /// Sends a call and runs the cluster until the reply arrives.
    pub fn call_and_wait(&mut self, at: NodeId, call: ApiCall) -> ApiReply {
        let request_id = self.call(at, call);
        for _ in 0..2000 {
            if let Some(reply) = self.reply(request_id) {
                return reply.clone();
            }
            self.tick();
        }
        panic!("no reply from {at} within twenty seconds");
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        let ids: Vec<NodeId> = self.cores.keys().copied().collect();
        for id in ids {
            self.step(id, CoreInput::Tick);
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some(Envelope { from, to, frame }) = self.frames.pop_front() {
            if self.cuts.contains(&(from, to)) {
                continue;
            }
            match frame {
                Frame::Chain(message) => self.step(to, CoreInput::Chain { from, message }),
                Frame::Lease(message) => self.step(to, CoreInput::Router { from, incarnation: 0, message }),
            }
        }
    }

    fn step(&mut self, id: NodeId, input: CoreInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(core) = self.cores.get_mut(&id) else { return };
            for output in core.step(self.now, input) {
                match output {
                    CoreOutput::Registry { to, message } => self.send(id, to, Frame::Chain(message)),
                    CoreOutput::Router { to, message } => self.send(id, to, Frame::Lease(message)),
                    CoreOutput::Seeds { message } => {
                        let others: Vec<NodeId> = self.disks.keys().copied().filter(|other| *other != id).collect();
                        others.into_iter().for_each(|to| self.send(id, to, Frame::Chain(message.clone())));
                    }
                    CoreOutput::Write { ticket, batch } => {
                        self.disks.entry(id).or_default().apply(&batch);
                        inputs.push_back(CoreInput::Written { ticket });
                    }
                    CoreOutput::Reply { request_id, reply } => {
                        self.replies.push(CallReply { at: id, request_id, reply })
                    }
                    _ => {}
                }
            }
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, frame: Frame) {
        self.frames.push_back(Envelope { from, to, frame });
    }
}

/// Returns a change of one headcount plan, with an operation id and a base revision.
pub fn change(op: &str, base: u64) -> ApiCall {
    let fixed = op.bytes().fold(7u64, |sum, byte| (sum * 31 + u64::from(byte)) % 997);
    let value = format!(r#"{{"fixed":{fixed}}}"#).into_bytes();
    let items = vec![ConfigurationItem { key: "headcount-plans/t/f".into(), is_removed: 0, value: value.into() }];
    ApiCall::Change {
        op: op.to_owned(),
        base: Some(base),
        revision: None,
        full: false,
        scope: String::new(),
        items,
        dry: false,
    }
}

/// Returns a read of the whole configuration.
pub fn read_configuration() -> ApiCall {
    ApiCall::Configuration { scope: String::new() }
}
