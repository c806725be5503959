//! The platform and its instances in the simulator: late lists, starts that go unanswered but
//! take effect, limits, and instances that crash, turn away, or do the work and lose the answer.

use crate::router_node::Turn;
use crate::world::{Event, World};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use supply::{InstanceLine, Listing, Probe, StartReceipt, SupplyOrder, SupplyReport};
use traffic::{DispatchOrder, HomeInput, Verdict};
use wire::{AnswerHead, RequestHead};

const ORDERS: usize = 80;

pub struct SimInstance {
    pub service: String,
    pub ready_at: Duration,
    pub busy: u32,
    pub leaving: bool,
}

pub struct Work {
    pub router: usize,
    pub life: u64,
    pub order: u64,
    pub instance: String,
    pub verdict: Verdict,
}

#[derive(Default)]
pub struct SimYard {
    pub instances: BTreeMap<String, SimInstance>,
    pub lists: VecDeque<(Duration, Listing)>,
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
    pub fn platform_order(&mut self, n: usize, order: SupplyOrder) {
        let lost = self.yard.unanswered > 0.0 && self.dice.random_bool(self.yard.unanswered);
        let wait = Duration::from_millis(self.dice.random_range(2..40));
        let life = self.routers[n].life;
        let taken = self.yard.takes_order(self.now);
        let report = match order {
            SupplyOrder::Start { id, .. } if !taken => SupplyReport::Started { id, receipt: StartReceipt::Limited },
            SupplyOrder::Stop { id } if !taken => SupplyReport::Stopped { id, taken: false },
            SupplyOrder::Start { id, .. } if self.yard.instances.len() >= self.plan.instances => {
                SupplyReport::Started { id, receipt: StartReceipt::NoMemory }
            }
            SupplyOrder::Start { id, service, .. } => {
                self.yard.starts += 1;
                let boot = Duration::from_millis(self.dice.random_range(800..1500));
                let ready_at = self.now + boot;
                let instance = SimInstance { service, ready_at, busy: 0, leaving: false };
                self.yard.instances.insert(id.clone(), instance);
                if lost {
                    let report = SupplyReport::Started { id, receipt: StartReceipt::Unanswered };
                    return self
                        .after(wait * 50, Event::Platform { router: n, life, report, listed_at: Duration::ZERO });
                }
                let probed = SupplyReport::Probed { id: id.clone(), probe: Probe::Ready };
                self.at(
                    ready_at + wait,
                    Event::Platform { router: n, life, report: probed, listed_at: Duration::ZERO },
                );
                SupplyReport::Started { id: id.clone(), receipt: StartReceipt::Accepted { address: id } }
            }
            SupplyOrder::Stop { id } => {
                self.yard.instances.remove(&id);
                SupplyReport::Stopped { id, taken: !lost }
            }
        };
        self.after(wait, Event::Platform { router: n, life, report, listed_at: Duration::ZERO });
    }

    pub fn reported(&mut self, n: usize, life: u64, report: SupplyReport, listed_at: Duration) {
        if self.routers[n].life != life {
            return;
        }
        if let Some(until) = self.frozen_until(crate::world::Place::Router(n)) {
            return self.at(until, Event::Platform { router: n, life, report, listed_at });
        }
        if let SupplyReport::Listed { listing, .. } = &report {
            for line in listing.instances.iter().filter(|line| line.state == "leaving") {
                self.yard.told_gone.entry((n, line.id.clone())).or_insert(self.now);
            }
        }
        self.turn(n, Turn::Home(HomeInput::Platform { report, listed_at }));
    }

    /// Each second the list as it stood a while ago goes to every router.
    pub fn listing(&mut self) {
        let lines = self.yard.instances.iter().map(|(id, instance)| InstanceLine {
            id: id.clone(),
            service: instance.service.clone(),
            address: id.clone(),
            state: match () {
                () if instance.leaving => "leaving".into(),
                () if instance.ready_at > self.now => "starting".into(),
                () => "running".into(),
            },
        });
        let list = Listing { instances: lines.collect() };
        self.yard.lists.push_back((self.now, list));
        while self.yard.lists.len() > 1 && self.yard.lists[1].0 + Duration::from_millis(1200) <= self.now {
            self.yard.lists.pop_front();
        }
        let shown = self.yard.lists[0].1.clone();
        for n in 0..self.routers.len() {
            if self.routers[n].alive() {
                let (life, listed_at) = (self.routers[n].life, self.router_now(n));
                let report = SupplyReport::Listed { listing: shown.clone(), asked: Instant::now() };
                let wait = Duration::from_millis(self.dice.random_range(1..30));
                self.after(wait, Event::Platform { router: n, life, report, listed_at });
            }
        }
        self.after(Duration::from_millis(500), Event::Listing);
    }

    pub fn dispatch(&mut self, n: usize, order: DispatchOrder) {
        let head: RequestHead = wire::from_bytes(&order.head).expect("a head the front wrote");
        let label = head
            .headers
            .iter()
            .find(|line| line.name.as_str() == "x-task")
            .map(|line| String::from_utf8_lossy(line.value.as_slice()).into_owned())
            .unwrap_or_default();
        self.say(|| format!("task {label} goes from router {n} to {}", order.address));
        let lost = self.dice.random_bool(self.yard.lose);
        let garbled = self.dice.random_bool(self.yard.garble);
        let turned = self.dice.random_bool(self.yard.turn_away);
        let limits = &self.yard.limits;
        let mut took = Duration::from_millis(self.dice.random_range(20..120));
        let told = self.yard.told_gone.get(&(n, order.address.clone())).copied();
        if told.is_some_and(|at| self.now > at + Duration::from_secs(3)) {
            self.rules.tell(self.now, format!("{label} was sent to {} long after it was known leaving", order.address));
        }
        let now = self.now;
        let declared = self.plan.limit;
        let limit = |service: &String| limits.get(service).copied().unwrap_or(declared);
        let verdict = match self.yard.instances.get_mut(&order.address) {
            None => Verdict::NotSent,
            Some(instance) if instance.ready_at > now => Verdict::NotSent,
            Some(instance) if instance.busy >= limit(&instance.service) || turned => {
                let service = instance.service.clone();
                let over = instance.busy >= declared;
                self.rules.turned_away(now, &service, over);
                Verdict::Whole { status: 503, head: empty(), body: b"at its limit".to_vec(), turned_away: true }
            }
            Some(instance) => {
                instance.busy += 1;
                let service = instance.service.clone();
                self.rules.ran(now, &label, &service);
                if lost || garbled {
                    let told = if lost { "lost" } else { "bytes after the answer's declared end" };
                    Verdict::InDoubt { told: told.into(), late: false }
                } else {
                    Verdict::Whole { status: 200, head: empty(), body: label.clone().into_bytes(), turned_away: false }
                }
            }
        };
        let ran = matches!(&verdict, Verdict::Whole { status: 200, .. } | Verdict::InDoubt { .. });
        if !ran {
            took = Duration::from_millis(self.dice.random_range(1..15));
        }
        self.yard.next += 1;
        let number = self.yard.next;
        let instance = if ran { order.address } else { String::new() };
        let work = Work { router: n, life: self.routers[n].life, order: order.number, instance, verdict };
        self.yard.work.insert(number, work);
        self.after(took, Event::InstanceDone { number });
    }

    pub fn instance_done(&mut self, number: u64) {
        let router = self.yard.work.get(&number).map(|work| work.router);
        if let Some(until) = router.and_then(|n| self.frozen_until(crate::world::Place::Router(n))) {
            return self.at(until, Event::InstanceDone { number });
        }
        let Some(work) = self.yard.work.remove(&number) else { return };
        let alive = match self.yard.instances.get_mut(&work.instance) {
            Some(instance) => {
                instance.busy = instance.busy.saturating_sub(1);
                true
            }
            None => work.instance.is_empty(),
        };
        let verdict = if alive { work.verdict } else { Verdict::InDoubt { told: "crashed".into(), late: false } };
        if self.routers[work.router].life != work.life {
            return;
        }
        self.turn(work.router, Turn::Home(HomeInput::Dispatched { number: work.order, verdict }));
    }
}

fn empty() -> Vec<u8> {
    wire::to_bytes(&AnswerHead::default())
}
