//! The simulated world: nodes, a queue of timed events, and the loop that handles them one by one.

use crate::callers::Callers;
use crate::catch_up_rules::CatchUpState;
use crate::consumers::ConsumerKeys;
use crate::fingerprint::Fingerprint;
use crate::net::Net;
use crate::operators::Operators;
use crate::plan::Plan;
use crate::platform::SimPlatform;
use crate::registry_node::RegistryNode;
use crate::router_node::RouterNode;
use crate::rules::Rules;
use crate::slowness::SLOW_MACHINE;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use wire::{Message, NodeId};

/// How long a run may go on after its end so that accepted tasks can still run.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Interval between ticks of a node.
pub const TICK: Duration = Duration::from_millis(20);

/// A node by its kind and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeRef {
    Registry(usize),
    Router(usize),
}

/// Something that happens at a set time. Events for a node carry the id of the process run that they are meant for.
pub enum Event {
    Tick { at: NodeRef, run_id: u64 },
    Frame { to: NodeRef, run_id: u64, from: NodeId, incarnation: u64, message: Message },
    WriteFinished { registry: usize, run_id: u64, ticket: u64 },
    Platform { router: usize, run_id: u64, report: instance_provider::ProviderReport, listed_at: Duration },
    Probed { router: usize, run_id: u64, id: String, ready: bool },
    InstanceDone { number: u64 },
    RecordListing,
    Link { router: usize, id: NodeId, up: bool },
    NextTask,
    TaskRetry { task: u64 },
    Operator,
    Fault,
    Repair { repair: crate::faults::Repair },
    FollowUp(crate::follow_ups::FollowUp),
}

/// A simulated deployment with its clock, random numbers and rules.
pub struct World {
    pub seed: u64,
    pub plan: Plan,
    pub now: Duration,
    pub rng: ChaCha8Rng,
    pub events: BTreeMap<u64, Event>,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub last_number: u64,
    pub registries: Vec<RegistryNode>,
    pub routers: Vec<RouterNode>,
    pub seeds: Vec<String>,
    pub net: Net,
    pub platform: SimPlatform,
    pub callers: Callers,
    pub operators: Operators,
    pub consumer_keys: ConsumerKeys,
    pub rules: Rules,
    pub steps: u64,
    pub judged_seconds: usize,
    pub last_disturbance: (Duration, Vec<u64>),
    pub catch_up_counts: [u64; 2],
    /// The registry that is being replaced by a planned stop, and its successor.
    pub replacing: Option<(usize, usize)>,
    pub armed_faults: Vec<crate::triggered_faults::ArmedFault>,
    pub core_rule_state: crate::core_rules::CoreRuleState,
    pub catch_up: CatchUpState,
    pub trace: bool,
    pub fingerprint: Fingerprint,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut world = World {
            seed,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last_number: 0,
            registries: Vec::new(),
            routers: Vec::new(),
            seeds: (0..3).map(|n| format!("10.0.0.{n}:1")).collect(),
            net: Net::default(),
            platform: SimPlatform::default(),
            callers: Callers::default(),
            operators: Operators::default(),
            consumer_keys: ConsumerKeys::default(),
            rules: Rules::default(),
            steps: 0,
            judged_seconds: 0,
            last_disturbance: (Duration::ZERO, Vec::new()),
            catch_up_counts: [0; 2],
            replacing: None,
            armed_faults: Vec::new(),
            core_rule_state: crate::core_rules::CoreRuleState::default(),
            catch_up: CatchUpState::default(),
            trace: false,
            fingerprint: Fingerprint::default(),
            plan,
        };
        for n in 0..world.plan.registries {
            world.add_registry(n);
        }
        for n in 0..world.plan.routers {
            world.add_router(n);
        }
        world.schedule_at(Duration::from_millis(500), Event::RecordListing);
        world.schedule_at(Duration::from_secs(3), Event::Operator);
        world.schedule_at(Duration::from_secs(5), Event::NextTask);
        world.schedule_at(world.plan.fault_phases[0].0, Event::Fault);
        world
    }

    pub fn schedule_at(&mut self, time: Duration, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.queue.push(Reverse((time, self.last_number)));
    }

    pub fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    /// Draws the rate of a machine's clock, which is off by up to five parts in a thousand.
    pub fn drift(&mut self) -> f64 {
        self.rng.random_range(0.995..1.005)
    }

    pub fn log(&self, message: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>9.3} {}", self.now.as_secs_f64(), message());
        }
    }

    /// Handles one event. Returns false when the run is over or a rule is violated.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((time, number))) = self.queue.pop() else { return false };
        if !self.rules.violations.is_empty() || (time > self.plan.end && self.is_over(time)) {
            return false;
        }
        self.now = time;
        self.steps += 1;
        self.fingerprint.add_step(time, number);
        let Some(event) = self.events.remove(&number) else { return true };
        match event {
            Event::Tick { at, run_id } => self.tick(at, run_id),
            Event::Frame { to, run_id, from, incarnation, message } => {
                self.deliver(to, run_id, from, incarnation, message)
            }
            Event::WriteFinished { registry, run_id, ticket } => self.write_finished(registry, run_id, ticket),
            Event::Platform { router, run_id, report, listed_at } => {
                self.deliver_platform_report(router, run_id, report, listed_at)
            }
            Event::Probed { router, run_id, id, ready } => self.deliver_probe_result(router, run_id, id, ready),
            Event::InstanceDone { number } => self.instance_done(number),
            Event::RecordListing => {
                self.record_listing();
                self.check_members();
                self.check_caught_up();
            }
            Event::Link { router, id, up } => self.link(router, id, up),
            Event::NextTask => self.send_next_task(),
            Event::TaskRetry { task } => self.retry_task(task),
            Event::Operator => self.operator_turn(),
            Event::Fault => self.fault(),
            Event::Repair { repair } => self.apply_repair(repair),
            Event::FollowUp(step) => self.take_follow_up(step),
        }
        self.check_chain();
        self.check_core();
        self.check_roles();
        true
    }

    /// Whether the run may end: accepted tasks that haven't run get some more time.
    fn is_over(&self, time: Duration) -> bool {
        time > self.plan.end + DRAIN_TIME || self.rules.accepted_but_never_run().is_empty()
    }

    fn tick(&mut self, at: NodeRef, run_id: u64) {
        if let Some(until) = self.frozen_until(at) {
            return self.schedule_at(until, Event::Tick { at, run_id });
        }
        match at {
            NodeRef::Registry(n) if self.registries[n].run_id == run_id => self.tick_registry(n),
            NodeRef::Router(n) if self.routers[n].run_id == run_id => self.tick_router(n),
            _ => return,
        }
        let pause = if self.is_slow(at) { TICK * SLOW_MACHINE } else { TICK };
        self.schedule_after(pause, Event::Tick { at, run_id });
    }

    pub fn frozen_until(&self, at: NodeRef) -> Option<Duration> {
        let until = match at {
            NodeRef::Registry(n) => self.registries[n].frozen_until,
            NodeRef::Router(n) => self.routers[n].frozen_until,
        };
        (until > self.now).then_some(until)
    }

    fn deliver(&mut self, to: NodeRef, run_id: u64, from: NodeId, incarnation: u64, message: Message) {
        if let Some(until) = self.frozen_until(to) {
            return self.schedule_at(until, Event::Frame { to, run_id, from, incarnation, message });
        }
        match to {
            NodeRef::Registry(n) if self.registries[n].run_id == run_id => {
                self.deliver_to_registry(n, from, incarnation, message)
            }
            NodeRef::Router(n) if self.routers[n].run_id == run_id => {
                self.deliver_to_router(n, from, incarnation, message)
            }
            _ => {}
        }
    }
}
