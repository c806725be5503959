//! The instances in the simulator: they take tasks up to their limit, crash, turn away, or do the
//! work and lose the answer.

use crate::chances::Sort;
use crate::router_node::Turn;
use crate::world::{Event, World};
use crate::yard::Work;
use rand::RngExt;
use std::time::Duration;
use traffic::{DispatchOrder, DispatchOutcome, OwnerInput};
use wire::{AnswerHead, RequestHead};

impl World {
    pub fn dispatch(&mut self, n: usize, order: DispatchOrder) {
        let head: RequestHead = wire::from_bytes(&order.head).expect("a head the front wrote");
        let label = head
            .headers
            .iter()
            .find(|line| line.name.as_str() == "x-task")
            .map(|line| String::from_utf8_lossy(line.value.as_slice()).into_owned())
            .unwrap_or_default();
        let seen = self.seen_by_instance(&label, &order.head, &order.body);
        self.say(|| format!("task {label} goes from router {n} to {}", order.address));
        let lost = self.dice.random_bool(self.yard.lose);
        let garbled = self.dice.random_bool(self.yard.garble);
        let rejections = self.dice.random_bool(self.yard.turn_away);
        self.count_instance(&label, &order.address);
        let limits = &self.yard.limits;
        let longest = if self.plan.sort == Sort::Resets { 500 } else { 120 };
        let mut took = Duration::from_millis(self.dice.random_range(20..longest));
        let told = self.yard.told_gone.get(&(n, order.address.clone())).copied();
        if told.is_some_and(|at| self.now > at + Duration::from_secs(3)) {
            self.rules.tell(self.now, format!("{label} was sent to {} long after it was known leaving", order.address));
        }
        let now = self.now;
        let declared = self.plan.limit;
        let limit = |service: &String| limits.get(service).copied().unwrap_or(declared);
        let outcome = match self.yard.instances.get_mut(&order.address) {
            None => DispatchOutcome::Unreachable,
            Some(instance) if instance.ready_at > now => DispatchOutcome::Unreachable,
            Some(instance) if instance.busy >= limit(&instance.service) || rejections => {
                let service = instance.service.clone();
                let (busy, over) = (instance.busy, instance.busy >= declared);
                self.rules.turned_away(now, &service, over);
                self.say(|| format!("task {label} of {service} rejected by {}, which has {busy}", order.address));
                DispatchOutcome::Complete {
                    status: 503,
                    head: empty(),
                    body: b"at its limit".to_vec(),
                    turned_away: true,
                }
            }
            Some(instance) => {
                instance.busy += 1;
                let service = instance.service.clone();
                self.rules.ran(now, &label, &service);
                self.rules.ran_for_consumer(now, &label, &seen);
                if lost || garbled {
                    let told = if lost { "lost" } else { "bytes after the answer's declared end" };
                    DispatchOutcome::InDoubt { detail: told.into(), timed_out: false }
                } else {
                    DispatchOutcome::Complete {
                        status: 200,
                        head: empty(),
                        body: label.clone().into_bytes(),
                        turned_away: false,
                    }
                }
            }
        };
        let ran = matches!(&outcome, DispatchOutcome::Complete { status: 200, .. } | DispatchOutcome::InDoubt { .. });
        if !ran {
            took = Duration::from_millis(self.dice.random_range(1..15));
        }
        self.yard.next += 1;
        let number = self.yard.next;
        let instance = if ran { order.address } else { String::new() };
        let work = Work { router: n, life: self.routers[n].life, order: order.number, instance, outcome };
        self.yard.work.insert(number, work);
        self.after(took, Event::InstanceDone { number });
    }

    /// Whoever is there gets what is sent to it, also where it turns it away.
    fn count_instance(&mut self, label: &str, id: &str) {
        let Some(instance) = self.yard.instances.get(id).filter(|instance| instance.ready_at <= self.now) else {
            return;
        };
        let most = self.most_instances(&instance.service);
        self.rules.sent_to(self.now, label, id, most);
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
        let outcome =
            if alive { work.outcome } else { DispatchOutcome::InDoubt { detail: "crashed".into(), timed_out: false } };
        if self.routers[work.router].life != work.life {
            return;
        }
        self.turn(work.router, Turn::FunctionOwner(OwnerInput::Dispatched { number: work.order, outcome }));
    }
}

fn empty() -> Vec<u8> {
    wire::to_bytes(&AnswerHead::default())
}
