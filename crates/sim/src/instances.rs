//! Simulated instances: they accept tasks up to their limit, crash, reject tasks, or run a task and lose the answer.

use crate::platform::Work;
use crate::router_node::RouterInput;
use crate::sorts::Sort;
use crate::world::{Event, World};
use rand::RngExt;
use std::time::Duration;
use traffic::{DispatchOrder, DispatchOutcome, OwnerInput};
use wire::{AnswerHead, RequestHead};

impl World {
    pub fn dispatch(&mut self, n: usize, order: DispatchOrder) {
        let head: RequestHead = wire::from_bytes(&order.head).expect("the front wrote a valid request head");
        let label = head
            .headers
            .iter()
            .find(|line| line.name.as_str() == "x-task")
            .map(|line| String::from_utf8_lossy(line.value.as_slice()).into_owned())
            .unwrap_or_default();
        let seen = self.seen_by_instance(&label, &order.head, &order.body);
        self.log(|| format!("task {label} is dispatched by router {n} to {}", order.address));
        let lost = self.rng.random_bool(self.platform.lost_answer_rate);
        let garbled = self.rng.random_bool(self.platform.garbled_answer_rate);
        let rejections = self.rng.random_bool(self.platform.rejection_rate);
        self.record_instance(&label, &order.address);
        let reduced_limits = &self.platform.reduced_limits;
        let max_ms = if self.plan.sort == Sort::Resets { 500 } else { 120 };
        let mut duration = Duration::from_millis(self.rng.random_range(20..max_ms));
        let leaving_since = self.platform.leaving_seen.get(&(n, order.address.clone())).copied();
        if leaving_since.is_some_and(|at| self.now > at + Duration::from_secs(3)) {
            self.rules.report_violation(
                self.now,
                format!("{label} was sent to {} long after it was listed as leaving", order.address),
            );
        }
        let now = self.now;
        let declared = self.plan.limit;
        let limit = |service: &String| reduced_limits.get(service).copied().unwrap_or(declared);
        let outcome = match self.platform.instances.get_mut(&order.address) {
            None => DispatchOutcome::Unreachable,
            Some(instance) if instance.ready_at > now => DispatchOutcome::Unreachable,
            Some(instance) if instance.busy >= limit(&instance.service) || rejections => {
                let service = instance.service.clone();
                let (busy, is_over_limit) = (instance.busy, instance.busy >= declared);
                self.rules.rejected(now, &service, is_over_limit);
                self.log(|| format!("task {label} of {service} rejected by {}, which has {busy}", order.address));
                DispatchOutcome::Complete {
                    status: 503,
                    head: empty_head(),
                    body: b"at its limit".to_vec().into(),
                    turned_away: true,
                }
            }
            Some(instance) => {
                instance.busy += 1;
                let service = instance.service.clone();
                self.rules.ran(now, &label, &service);
                self.rules.ran_for_consumer(now, &label, &seen);
                if lost || garbled {
                    let detail = if lost { "lost" } else { "bytes after the answer's declared end" };
                    DispatchOutcome::InDoubt { detail: detail.into(), timed_out: false }
                } else {
                    DispatchOutcome::Complete {
                        status: 200,
                        head: empty_head(),
                        body: label.clone().into_bytes().into(),
                        turned_away: false,
                    }
                }
            }
        };
        let ran = matches!(&outcome, DispatchOutcome::Complete { status: 200, .. } | DispatchOutcome::InDoubt { .. });
        if !ran {
            duration = Duration::from_millis(self.rng.random_range(1..15));
        }
        self.platform.last_work_number += 1;
        let number = self.platform.last_work_number;
        let instance = if ran { order.address } else { String::new() };
        let work = Work { router: n, run_id: self.routers[n].run_id, order: order.number, instance, outcome };
        self.platform.work.insert(number, work);
        self.schedule_after(duration, Event::InstanceDone { number });
    }

    /// Records that a try reached a running instance, also if the instance rejects it.
    fn record_instance(&mut self, label: &str, id: &str) {
        let Some(instance) = self.platform.instances.get(id).filter(|instance| instance.ready_at <= self.now) else {
            return;
        };
        let most = self.max_instances_per_try(&instance.service);
        self.rules.sent_to_instance(self.now, label, id, most);
    }

    pub fn instance_done(&mut self, number: u64) {
        let router = self.platform.work.get(&number).map(|work| work.router);
        if let Some(until) = router.and_then(|n| self.frozen_until(crate::world::NodeRef::Router(n))) {
            return self.schedule_at(until, Event::InstanceDone { number });
        }
        let Some(work) = self.platform.work.remove(&number) else { return };
        let alive = match self.platform.instances.get_mut(&work.instance) {
            Some(instance) => {
                instance.busy = instance.busy.saturating_sub(1);
                true
            }
            None => work.instance.is_empty(),
        };
        let outcome =
            if alive { work.outcome } else { DispatchOutcome::InDoubt { detail: "crashed".into(), timed_out: false } };
        if self.routers[work.router].run_id != work.run_id {
            return;
        }
        self.feed_router(
            work.router,
            RouterInput::FunctionOwner(OwnerInput::Dispatched { number: work.order, outcome }),
        );
    }
}

fn empty_head() -> Vec<u8> {
    wire::to_bytes(&AnswerHead::default())
}
