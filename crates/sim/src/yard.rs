//! The platform's side of starts, stops and lists in the simulator: workers in three zones, late
//! lists, starts that go unanswered but take effect, and a limit on calls.

use crate::router_node::Turn;
use crate::world::{Event, World};
use instance_provider::{
    InstanceLine, InstanceState, Listing, ProviderOrder, ProviderReport, StartOrder, StartReply, StopReply, WorkerLine,
};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use traffic::{DispatchOutcome, OwnerInput};

const ORDERS: usize = 80;
const WORKERS: usize = 6;
/// What a binding that says nothing takes.
const MEMORY_MB: usize = 256;
const LAG: Duration = Duration::from_millis(1200);

pub struct SimInstance {
    pub service: String,
    pub worker: usize,
    pub ready_at: Duration,
    pub busy: u32,
    pub leaving: bool,
}

pub struct Work {
    pub router: usize,
    pub life: u64,
    pub order: u64,
    pub instance: String,
    pub outcome: DispatchOutcome,
}

#[derive(Default)]
pub struct SimYard {
    pub instances: BTreeMap<String, SimInstance>,
    pub nonces: BTreeMap<(String, String), String>,
    pub lists: VecDeque<(Duration, Listing, Vec<usize>)>,
    pub work: BTreeMap<u64, Work>,
    pub next: u64,
    pub lose: f64,
    pub turn_away: f64,
    pub unanswered: f64,
    pub garble: f64,
    pub limits: BTreeMap<String, u32>,
    pub order_times: VecDeque<Duration>,
    pub limited: u64,
    pub told_gone: BTreeMap<(usize, String), Duration>,
    pub starts: u64,
}

impl SimYard {
    pub fn behave(&mut self) {
        (self.lose, self.turn_away, self.unanswered, self.garble) = (0.0, 0.0, 0.0, 0.0);
        self.limits.clear();
    }

    /// The platform takes about eighty orders a second.
    fn takes_order(&mut self, now: Duration) -> bool {
        while self.order_times.front().is_some_and(|at| now > *at + Duration::from_secs(1)) {
            self.order_times.pop_front();
        }
        let takes = self.order_times.len() < ORDERS;
        if takes {
            self.order_times.push_back(now);
        } else {
            self.limited += 1;
        }
        takes
    }

    pub fn forget_router(&mut self, n: usize) {
        self.told_gone.retain(|(router, _), _| *router != n);
    }
}

impl World {
    pub fn platform_order(&mut self, n: usize, order: ProviderOrder) {
        let lost = self.yard.unanswered > 0.0 && self.dice.random_bool(self.yard.unanswered);
        let wait = Duration::from_millis(self.dice.random_range(2..40));
        let boot = Duration::from_millis(self.dice.random_range(800..1500));
        let look = matches!(order, ProviderOrder::List | ProviderOrder::Workers);
        let taken = look || self.yard.takes_order(self.now);
        let listed_at = self.router_now(n);
        let report = match order {
            ProviderOrder::Start(order) => {
                let nonce = order.nonce.clone();
                let reply = if taken { self.begin(order, boot) } else { StartReply::RateLimited };
                let reply = if lost { StartReply::Unanswered } else { reply };
                ProviderReport::Started { nonce, reply }
            }
            ProviderOrder::Stop { id, .. } => {
                let known = taken.then(|| self.yard.instances.remove(&id).is_some());
                let reply = match known {
                    _ if lost => StopReply::Unanswered,
                    Some(true) => StopReply::Accepted,
                    Some(false) => StopReply::Unknown,
                    None => StopReply::RateLimited,
                };
                ProviderReport::Stopped { id, reply }
            }
            ProviderOrder::List | ProviderOrder::Workers if lost => return,
            ProviderOrder::List => {
                let shown = self.yard.lists.front().map(|(_, listing, _)| listing.clone()).unwrap_or_default();
                ProviderReport::Listed { listing: shown, requested_at: Instant::now() }
            }
            ProviderOrder::Workers => {
                let free = self.yard.lists.front().map(|(_, _, free)| free.clone()).unwrap_or_default();
                ProviderReport::Workers {
                    lines: free.iter().enumerate().map(worker_line).collect(),
                    requested_at: Instant::now(),
                }
            }
        };
        let wait = if look { wait / 2 } else { wait };
        let wait = if lost { wait * 50 } else { wait };
        let life = self.routers[n].life;
        self.after(wait, Event::Platform { router: n, life, report, listed_at });
    }

    fn begin(&mut self, order: StartOrder, boot: Duration) -> StartReply {
        let key = (order.service.clone(), order.nonce);
        if let Some(id) = self.yard.nonces.get(&key) {
            return StartReply::Accepted { id: id.clone(), address: id.clone() };
        }
        let free = self.free_places();
        let named = order.worker.map(|name| name.trim_start_matches('w').parse::<usize>().unwrap_or(WORKERS));
        let roomiest = || (0..WORKERS).max_by_key(|worker| free[*worker]).unwrap_or_default();
        let worker = named.unwrap_or_else(roomiest);
        if free.get(worker).is_none_or(|free| *free == 0) {
            return StartReply::InsufficientMemory;
        }
        self.yard.starts += 1;
        let id = format!("i{}", self.yard.starts);
        let ready_at = self.now + boot;
        let instance = SimInstance { service: order.service, worker, ready_at, busy: 0, leaving: false };
        self.yard.instances.insert(id.clone(), instance);
        self.yard.nonces.insert(key, id.clone());
        StartReply::Accepted { id: id.clone(), address: id }
    }

    /// How many more instances each worker has room for.
    fn free_places(&self) -> Vec<usize> {
        let all = self.plan.instances;
        let on = |worker| self.yard.instances.values().filter(|instance| instance.worker == worker).count();
        let capacity = |worker| all / WORKERS + usize::from(worker < all % WORKERS);
        (0..WORKERS).map(|worker| capacity(worker).saturating_sub(on(worker))).collect()
    }

    /// A look whether an instance takes connections: it does from its start on, if it lives.
    pub fn probe(&mut self, n: usize, id: String, after: Duration, limit: Duration) {
        let (life, wait) = (self.routers[n].life, Duration::from_millis(self.dice.random_range(2..40)));
        let ready_at = self.yard.instances.get(&id).map(|instance| instance.ready_at);
        let (at, ready) = match ready_at.map(|at| at.max(self.now + after)) {
            Some(at) if at <= self.now + limit => (at, true),
            _ => (self.now + limit, false),
        };
        self.at(at + wait, Event::Probed { router: n, life, id, ready });
    }

    pub fn probed(&mut self, n: usize, life: u64, id: String, ready: bool) {
        if self.routers[n].life != life {
            return;
        }
        if let Some(until) = self.frozen_until(crate::world::Place::Router(n)) {
            return self.at(until, Event::Probed { router: n, life, id, ready });
        }
        let ready = ready && self.yard.instances.contains_key(&id);
        self.turn(n, Turn::FunctionOwner(OwnerInput::Probed { id, ready }));
    }

    pub fn reported(&mut self, n: usize, life: u64, report: ProviderReport, listed_at: Duration) {
        if self.routers[n].life != life {
            return;
        }
        if let Some(until) = self.frozen_until(crate::world::Place::Router(n)) {
            return self.at(until, Event::Platform { router: n, life, report, listed_at });
        }
        if let ProviderReport::Listed { listing, .. } = &report {
            for line in listing.instances.iter().filter(|line| line.state == InstanceState::Leaving) {
                self.yard.told_gone.entry((n, line.id.clone())).or_insert(self.now);
            }
        }
        self.turn(n, Turn::FunctionOwner(OwnerInput::ProviderReport { report, listed_at }));
    }

    /// Twice a second the lists are noted, to be shown a while later.
    pub fn listing(&mut self) {
        let lines = self.yard.instances.iter().map(|(id, instance)| InstanceLine {
            id: id.clone(),
            service: instance.service.clone(),
            address: id.clone(),
            zone: zone(instance.worker),
            worker: format!("w{}", instance.worker),
            state: match () {
                () if instance.leaving => InstanceState::Leaving,
                () if instance.ready_at > self.now => InstanceState::Starting,
                () => InstanceState::Running,
            },
        });
        let list = Listing { instances: lines.collect() };
        self.yard.lists.push_back((self.now, list, self.free_places()));
        while self.yard.lists.len() > 1 && self.yard.lists[1].0 + LAG <= self.now {
            self.yard.lists.pop_front();
        }
        self.after(Duration::from_millis(500), Event::Listing);
    }
}

fn zone(worker: usize) -> String {
    ["a", "b", "c"][worker % 3].into()
}

fn worker_line((worker, free): (usize, &usize)) -> WorkerLine {
    let free_mb = u32::try_from(free.saturating_mul(MEMORY_MB)).unwrap_or(u32::MAX);
    WorkerLine { name: format!("w{worker}"), zone: zone(worker), memory_mb: free_mb, free_mb, ready: true }
}
