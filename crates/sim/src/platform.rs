//! Simulated platform: workers in three zones, starts, stops and lists of instances. Lists are outdated, some
//! orders take effect without an answer, and the rate of orders is limited.

use crate::router_node::RouterInput;
use crate::world::{Event, World};
use instance_provider::{
    InstanceLine, InstanceState, Listing, ProviderOrder, ProviderReport, StartOrder, StartReply, StopReply, WorkerLine,
};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use traffic::{DispatchOutcome, OwnerInput};

const MAX_ORDERS_PER_S: usize = 80;
const WORKERS: usize = 6;
/// Default memory of an instance, for bindings that set none.
const MEMORY_MB: usize = 256;
/// How old the lists are that the platform returns.
const LIST_LAG: Duration = Duration::from_millis(1200);

pub struct SimInstance {
    pub service: String,
    pub worker: usize,
    pub ready_at: Duration,
    pub busy: u32,
    pub leaving: bool,
}

pub struct Work {
    pub router: usize,
    pub run_id: u64,
    pub order: u64,
    pub instance: String,
    pub outcome: DispatchOutcome,
}

#[derive(Default)]
pub struct SimPlatform {
    pub instances: BTreeMap<String, SimInstance>,
    pub instance_by_nonce: BTreeMap<(String, String), String>,
    pub lists: VecDeque<(Duration, Listing, Vec<usize>)>,
    pub work: BTreeMap<u64, Work>,
    pub last_work_number: u64,
    pub lost_answer_rate: f64,
    pub rejection_rate: f64,
    pub unanswered_rate: f64,
    pub garbled_answer_rate: f64,
    pub reduced_limits: BTreeMap<String, u32>,
    pub order_times: VecDeque<Duration>,
    pub limited_orders: u64,
    pub leaving_seen: BTreeMap<(usize, String), Duration>,
    pub starts: u64,
}

impl SimPlatform {
    pub fn clear_faults(&mut self) {
        (self.lost_answer_rate, self.rejection_rate, self.unanswered_rate, self.garbled_answer_rate) =
            (0.0, 0.0, 0.0, 0.0);
        self.reduced_limits.clear();
    }

    /// Counts an order and returns whether it is within the platform's rate limit.
    fn takes_order(&mut self, now: Duration) -> bool {
        while self.order_times.front().is_some_and(|at| now > *at + Duration::from_secs(1)) {
            self.order_times.pop_front();
        }
        let takes = self.order_times.len() < MAX_ORDERS_PER_S;
        if takes {
            self.order_times.push_back(now);
        } else {
            self.limited_orders += 1;
        }
        takes
    }

    pub fn forget_router(&mut self, n: usize) {
        self.leaving_seen.retain(|(router, _), _| *router != n);
    }
}

impl World {
    pub fn platform_order(&mut self, n: usize, order: ProviderOrder) {
        let lost = self.platform.unanswered_rate > 0.0 && self.rng.random_bool(self.platform.unanswered_rate);
        let wait = Duration::from_millis(self.rng.random_range(2..40));
        let boot = Duration::from_millis(self.rng.random_range(800..1500));
        let is_query = matches!(order, ProviderOrder::List | ProviderOrder::Workers);
        let is_accepted = is_query || self.platform.takes_order(self.now);
        let listed_at = self.router_now(n);
        let report = match order {
            ProviderOrder::Start(order) => {
                let nonce = order.nonce.clone();
                let reply = if is_accepted { self.start_instance(order, boot) } else { StartReply::RateLimited };
                let reply = if lost { StartReply::Unanswered } else { reply };
                ProviderReport::Started { nonce, reply }
            }
            ProviderOrder::Stop { id, .. } => {
                let known = is_accepted.then(|| self.platform.instances.remove(&id).is_some());
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
                let listing = self.platform.lists.front().map(|(_, listing, _)| listing.clone()).unwrap_or_default();
                ProviderReport::Listed { listing, requested_at: Instant::now() }
            }
            ProviderOrder::Workers => {
                let free = self.platform.lists.front().map(|(_, _, free)| free.clone()).unwrap_or_default();
                ProviderReport::Workers {
                    lines: free.iter().enumerate().map(worker_line).collect(),
                    requested_at: Instant::now(),
                }
            }
        };
        let wait = if is_query { wait / 2 } else { wait };
        let wait = if lost { wait * 50 } else { wait };
        let run_id = self.routers[n].run_id;
        self.schedule_after(wait, Event::Platform { router: n, run_id, report, listed_at });
    }

    fn start_instance(&mut self, order: StartOrder, boot: Duration) -> StartReply {
        let key = (order.service.clone(), order.nonce);
        if let Some(id) = self.platform.instance_by_nonce.get(&key) {
            return StartReply::Accepted { id: id.clone(), address: id.clone() };
        }
        let free = self.free_slots();
        let named = order.worker.map(|name| name.trim_start_matches('w').parse::<usize>().unwrap_or(WORKERS));
        let worker_with_most_room = || (0..WORKERS).max_by_key(|worker| free[*worker]).unwrap_or_default();
        let worker = named.unwrap_or_else(worker_with_most_room);
        if free.get(worker).is_none_or(|free| *free == 0) {
            return StartReply::InsufficientMemory;
        }
        self.platform.starts += 1;
        let id = format!("i{}", self.platform.starts);
        let ready_at = self.now + boot;
        let instance = SimInstance { service: order.service, worker, ready_at, busy: 0, leaving: false };
        self.platform.instances.insert(id.clone(), instance);
        self.platform.instance_by_nonce.insert(key, id.clone());
        StartReply::Accepted { id: id.clone(), address: id }
    }

    /// Returns the number of further instances that each worker has room for.
    fn free_slots(&self) -> Vec<usize> {
        let all = self.plan.instances;
        let on = |worker| self.platform.instances.values().filter(|instance| instance.worker == worker).count();
        let capacity = |worker| all / WORKERS + usize::from(worker < all % WORKERS);
        (0..WORKERS).map(|worker| capacity(worker).saturating_sub(on(worker))).collect()
    }

    /// Schedules the result of a probe: an instance accepts connections once it is ready, until it is gone.
    pub fn probe(&mut self, n: usize, id: String, after: Duration, limit: Duration) {
        let (run_id, wait) = (self.routers[n].run_id, Duration::from_millis(self.rng.random_range(2..40)));
        let ready_at = self.platform.instances.get(&id).map(|instance| instance.ready_at);
        let (at, ready) = match ready_at.map(|at| at.max(self.now + after)) {
            Some(at) if at <= self.now + limit => (at, true),
            _ => (self.now + limit, false),
        };
        self.schedule_at(at + wait, Event::Probed { router: n, run_id, id, ready });
    }

    pub fn deliver_probe_result(&mut self, n: usize, run_id: u64, id: String, ready: bool) {
        if self.routers[n].run_id != run_id {
            return;
        }
        if let Some(until) = self.frozen_until(crate::world::NodeRef::Router(n)) {
            return self.schedule_at(until, Event::Probed { router: n, run_id, id, ready });
        }
        let ready = ready && self.platform.instances.contains_key(&id);
        self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::Probed { id, ready }));
    }

    pub fn deliver_platform_report(&mut self, n: usize, run_id: u64, report: ProviderReport, listed_at: Duration) {
        if self.routers[n].run_id != run_id {
            return;
        }
        if let Some(until) = self.frozen_until(crate::world::NodeRef::Router(n)) {
            return self.schedule_at(until, Event::Platform { router: n, run_id, report, listed_at });
        }
        if let ProviderReport::Listed { listing, .. } = &report {
            for line in listing.instances.iter().filter(|line| line.state == InstanceState::Leaving) {
                self.platform.leaving_seen.entry((n, line.id.clone())).or_insert(self.now);
            }
        }
        self.feed_router(n, RouterInput::FunctionOwner(OwnerInput::ProviderReport { report, listed_at }));
    }

    /// Records the current lists, twice a second; queries return them after a delay.
    pub fn record_listing(&mut self) {
        let lines = self.platform.instances.iter().map(|(id, instance)| InstanceLine {
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
        self.platform.lists.push_back((self.now, list, self.free_slots()));
        while self.platform.lists.len() > 1 && self.platform.lists[1].0 + LIST_LAG <= self.now {
            self.platform.lists.pop_front();
        }
        self.schedule_after(Duration::from_millis(500), Event::RecordListing);
    }
}

fn zone(worker: usize) -> String {
    ["a", "b", "c"][worker % 3].into()
}

fn worker_line((worker, free): (usize, &usize)) -> WorkerLine {
    let free_mb = u32::try_from(free.saturating_mul(MEMORY_MB)).unwrap_or(u32::MAX);
    WorkerLine { name: format!("w{worker}"), zone: zone(worker), memory_mb: free_mb, free_mb, ready: true }
}
