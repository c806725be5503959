//! The world: nodes, a queue of timed events, and the loop that takes them one by one.

use crate::callers::Callers;
use crate::catch_up::CatchUp;
use crate::chances::Sort;
use crate::consumers::KeyBook;
use crate::fingerprint::Fingerprint;
use crate::net::Net;
use crate::operators::Operators;
use crate::plan::Plan;
use crate::registry_node::RegistryNode;
use crate::router_node::RouterNode;
use crate::rules::Rules;
use crate::slowness::SLOW_MACHINE;
use crate::yard::SimYard;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use wire::{Message, NodeId};

const PATIENCE: Duration = Duration::from_secs(60);
pub const TICK: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Registry(usize),
    Router(usize),
}

pub enum Event {
    Tick { at: Place, life: u64 },
    Frame { to: Place, life: u64, from: NodeId, incarnation: u64, message: Message },
    Written { registry: usize, life: u64, ticket: u64 },
    Platform { router: usize, life: u64, report: instance_provider::ProviderReport, listed_at: Duration },
    Probed { router: usize, life: u64, id: String, ready: bool },
    InstanceDone { number: u64 },
    Listing,
    Link { router: usize, id: NodeId, up: bool },
    Caller,
    CallerRetry { task: u64 },
    Operator,
    Fault,
    Mend { what: crate::faults::Mending },
    FollowUp(crate::follow_ups::FollowUp),
}

pub struct World {
    pub seed: u64,
    pub plan: Plan,
    pub now: Duration,
    pub dice: ChaCha8Rng,
    pub events: BTreeMap<u64, Event>,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub next: u64,
    pub registries: Vec<RegistryNode>,
    pub routers: Vec<RouterNode>,
    pub seeds: Vec<String>,
    pub net: Net,
    pub yard: SimYard,
    pub callers: Callers,
    pub operators: Operators,
    pub key_book: KeyBook,
    pub rules: Rules,
    pub steps: u64,
    pub judged: usize,
    pub stood: (Duration, Vec<u64>),
    pub brought_back: [u64; 2],
    /// The registry that is to stop for good, and its successor.
    pub replacing: Option<(usize, usize)>,
    pub armed: Vec<crate::strikes::Armed>,
    pub core_standing: crate::core_rules::CoreStanding,
    pub catch_up: CatchUp,
    pub trace: bool,
    pub fingerprint: Fingerprint,
}

#[derive(Debug)]
pub struct Outcome {
    pub seed: u64,
    pub steps: u64,
    pub broken: Vec<String>,
    pub summary: String,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut world = World {
            seed,
            now: Duration::ZERO,
            dice: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next: 0,
            registries: Vec::new(),
            routers: Vec::new(),
            seeds: (0..3).map(|n| format!("10.0.0.{n}:1")).collect(),
            net: Net::default(),
            yard: SimYard::default(),
            callers: Callers::default(),
            operators: Operators::default(),
            key_book: KeyBook::default(),
            rules: Rules::default(),
            steps: 0,
            judged: 0,
            stood: (Duration::ZERO, Vec::new()),
            brought_back: [0; 2],
            replacing: None,
            armed: Vec::new(),
            core_standing: crate::core_rules::CoreStanding::default(),
            catch_up: CatchUp::default(),
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
        world.at(Duration::from_millis(500), Event::Listing);
        world.at(Duration::from_secs(3), Event::Operator);
        world.at(Duration::from_secs(5), Event::Caller);
        world.at(world.plan.bouts[0].0, Event::Fault);
        world
    }

    pub fn at(&mut self, time: Duration, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((time, self.next)));
    }

    pub fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    /// No two machines' clocks run alike: a few parts in a thousand, drawn at each start.
    pub fn drift(&mut self) -> f64 {
        self.dice.random_range(0.995..1.005)
    }

    pub fn say(&self, told: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>9.3} {}", self.now.as_secs_f64(), told());
        }
    }

    /// One event; false when the run is over or a rule is broken.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((time, number))) = self.queue.pop() else { return false };
        if !self.rules.broken.is_empty() || (time > self.plan.end && self.is_over(time)) {
            return false;
        }
        self.now = time;
        self.steps += 1;
        self.fingerprint.add_step(time, number);
        let Some(event) = self.events.remove(&number) else { return true };
        match event {
            Event::Tick { at, life } => self.tick(at, life),
            Event::Frame { to, life, from, incarnation, message } => self.arrive(to, life, from, incarnation, message),
            Event::Written { registry, life, ticket } => self.written(registry, life, ticket),
            Event::Platform { router, life, report, listed_at } => self.reported(router, life, report, listed_at),
            Event::Probed { router, life, id, ready } => self.probed(router, life, id, ready),
            Event::InstanceDone { number } => self.instance_done(number),
            Event::Listing => {
                self.listing();
                self.check_members();
                self.check_caught_up();
            }
            Event::Link { router, id, up } => self.link(router, id, up),
            Event::Caller => self.caller(),
            Event::CallerRetry { task } => self.caller_retry(task),
            Event::Operator => self.operator(),
            Event::Fault => self.fault(),
            Event::Mend { what } => self.mend(what),
            Event::FollowUp(step) => self.take_follow_up(step),
        }
        self.check_chain();
        self.check_core();
        self.check_roles();
        true
    }

    /// What may wait is waited for a while longer: it must be run in the end.
    fn is_over(&self, time: Duration) -> bool {
        time > self.plan.end + PATIENCE || self.rules.accepted_but_never_run().is_empty()
    }

    fn tick(&mut self, at: Place, life: u64) {
        if let Some(until) = self.frozen_until(at) {
            return self.at(until, Event::Tick { at, life });
        }
        match at {
            Place::Registry(n) if self.registries[n].life == life => self.tick_registry(n),
            Place::Router(n) if self.routers[n].life == life => self.tick_router(n),
            _ => return,
        }
        let pause = if self.is_slow(at) { TICK * SLOW_MACHINE } else { TICK };
        self.after(pause, Event::Tick { at, life });
    }

    pub fn frozen_until(&self, at: Place) -> Option<Duration> {
        let until = match at {
            Place::Registry(n) => self.registries[n].frozen_until,
            Place::Router(n) => self.routers[n].frozen_until,
        };
        (until > self.now).then_some(until)
    }

    fn arrive(&mut self, to: Place, life: u64, from: NodeId, incarnation: u64, message: Message) {
        if let Some(until) = self.frozen_until(to) {
            return self.at(until, Event::Frame { to, life, from, incarnation, message });
        }
        match to {
            Place::Registry(n) if self.registries[n].life == life => self.to_registry(n, from, incarnation, message),
            Place::Router(n) if self.routers[n].life == life => self.to_router(n, from, incarnation, message),
            _ => {}
        }
    }
}

pub fn run(seed: u64, sort: Sort, trace: bool) -> Outcome {
    let mut world = World::new(seed, Plan::new(seed, sort));
    world.trace = trace;
    while world.step() {}
    if world.rules.broken.is_empty() {
        world.check_end();
    }
    if trace {
        world.standings().into_iter().for_each(|line| eprintln!("{line}"));
    }
    let summary = world.summary();
    Outcome { seed, steps: world.steps, broken: world.rules.broken, summary }
}

/// Runs a seed and returns the fingerprint of the run beside its number of steps.
pub fn fingerprint(seed: u64, sort: Sort) -> (u32, u64) {
    let mut world = World::new(seed, Plan::new(seed, sort));
    world.fingerprint.switch_on();
    while world.step() {}
    (world.fingerprint.value(), world.steps)
}
