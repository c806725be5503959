//! Callers: an open loop of tasks sent to random routers. Some tasks are sent to two routers at once under the same
//! idempotency key, and some are retried when they fail.

use crate::consumers::Caller;
use crate::router_node::RouterInput;
use crate::sorts::Sort;
use crate::world::{Event, World};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;
use traffic::{Call, FrontInput, Reply};
use wire::{HeaderField, Outcome, RequestHead};

#[derive(Clone)]
pub struct SimTask {
    pub label: String,
    pub key: String,
    pub class: &'static str,
    pub path: String,
    pub service: String,
    pub resends: u32,
    pub started: Duration,
    pub caller: Caller,
}

#[derive(Default)]
pub struct Callers {
    pub last_number: u64,
    pub open: BTreeMap<(usize, u64), SimTask>,
    pub retries: BTreeMap<u64, SimTask>,
    pub answered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub lost: u64,
    pub crowd: Option<(usize, Duration)>,
    pub flood_until: Duration,
    pub eager_until: Duration,
    pub unserved: [u64; 2],
    /// By task key: the scope under which a consumer's deferred task is stored.
    pub scopes: BTreeMap<String, String>,
}

/// Classes of the functions, in turn by function number.
pub const CLASSES: [&str; 4] = ["ordinary", "once", "deferred", "ordinary"];
/// Tenant whose functions are called in a flood of requests.
const FLOODING_TENANT: usize = 0;
const TENANTS: usize = 3;

pub fn service_of(function: usize) -> String {
    format!("t{}/f{function}", function % TENANTS)
}

fn is_keyed(class: &str) -> bool {
    matches!(class, "once" | "deferred")
}

/// Maximum number of instances that a try is sent to if its binding sets none.
const DEFAULT_MAX_INSTANCES: usize = 2;

impl World {
    /// Returns a function's class. Where links are reset, and for consumers, some functions are of the class whose
    /// tries may run only once and on one instance only.
    pub fn class_of(&self, function: usize) -> &'static str {
        let has_single = matches!(self.plan.sort, Sort::Resets | Sort::Consumers);
        if has_single && function % 4 == 3 { "single" } else { CLASSES[function % 4] }
    }

    /// Returns the maximum number of instances that a try of the service is sent to. Deferred tasks have no maximum
    /// here, since the store counts their instances.
    pub fn max_instances_per_try(&self, service: &str) -> usize {
        let function = service.rsplit('f').next().and_then(|number| number.parse().ok()).unwrap_or_default();
        if self.class_of(function) == "deferred" { usize::MAX } else { DEFAULT_MAX_INSTANCES }
    }

    pub fn send_next_task(&mut self) {
        let crowd = self.callers.crowd.filter(|(_, until)| self.now < *until).map(|(function, _)| function);
        let flood = self.now < self.callers.flood_until;
        let hot = self.consumer_keys.hot_consumer.is_some_and(|(_, until)| self.now < until);
        let rate_factor = if flood { 40.0 } else { f64::from(1 + 9 * u8::from(crowd.is_some()) + 9 * u8::from(hot)) };
        let rate = self.plan.rate * rate_factor;
        let wait = Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / rate);
        if self.now < self.plan.callers_end {
            self.schedule_after(wait, Event::NextTask);
        }
        let drawn = self.rng.random_range(0..self.plan.functions);
        let mut function = crowd.filter(|_| self.rng.random_ratio(9, 10)).unwrap_or(drawn);
        if flood && self.rng.random_ratio(39, 40) {
            function = drawn / TENANTS * TENANTS + FLOODING_TENANT;
        }
        self.send_task_for(function);
    }

    fn send_task_for(&mut self, function: usize) {
        self.callers.last_number += 1;
        let number = self.callers.last_number;
        let service = service_of(function);
        let task = SimTask {
            label: format!("{number}#1"),
            key: number.to_string(),
            class: self.class_of(function),
            path: format!("/{service}"),
            service,
            resends: 1,
            started: self.now,
            caller: self.next_caller(function, number),
        };
        let eager = self.now < self.callers.eager_until;
        if is_keyed(task.class) && (eager || self.rng.random_ratio(1, 10)) {
            for twin in 0..if eager { 4 } else { 1 } {
                let label = format!("{number}#twin{twin}");
                self.send_task(SimTask { label, resends: 9, ..task.clone() });
            }
        }
        self.send_task(task);
    }

    /// Sends a task for every function at the same time.
    pub fn call_all_functions(&mut self) {
        (0..self.plan.functions).for_each(|function| self.send_task_for(function));
    }

    pub fn retry_task(&mut self, task: u64) {
        if let Some(task) = self.callers.retries.remove(&task) {
            self.send_task(task);
        }
    }

    fn send_task(&mut self, task: SimTask) {
        let n = self.rng.random_range(0..self.routers.len());
        let has_left = self.routers[n].leaving_since.is_some_and(|since| self.now > since + Duration::from_millis(700));
        if has_left || !self.routers[n].is_running() || self.frozen_until(crate::world::NodeRef::Router(n)).is_some() {
            self.callers.lost += 1;
            return;
        }
        self.callers.last_number += 1;
        let request_id = self.callers.last_number;
        let header = HeaderField { name: "x-task".into(), value: task.label.clone().into_bytes().into() };
        let call = Call {
            host: String::new(),
            path: task.path.clone(),
            deadline: None,
            head: RequestHead {
                method: "POST".into(),
                target: task.path.as_str().into(),
                headers: vec![header].into(),
            },
            body: task.key.clone().into_bytes().into(),
            key: is_keyed(task.class).then(|| task.caller.idempotency_key.clone()),
            api_key: task.caller.api_key.clone(),
            respond_async: task.class == "deferred" && self.rng.random_bool(0.5),
        };
        self.log(|| format!("task {} ({}) sent to router {n}", task.label, task.class));
        self.rules.request_sent(self.now, &task.label, &task.service);
        if task.class == "single" {
            self.rules.single_run_try_sent(&task.label);
        }
        self.record_sent_request(&task);
        self.callers.open.insert((n, request_id), task);
        self.feed_router(n, RouterInput::Front(FrontInput::Task { request_id, call }));
    }

    pub fn caller_reply(&mut self, n: usize, request_id: u64, reply: Reply) {
        let Some(mut task) = self.callers.open.remove(&(n, request_id)) else { return };
        self.log(|| {
            format!(
                "task {} ({} {}) answered {:?} {} at router {n}",
                task.label, task.class, task.service, reply.outcome, reply.status
            )
        });
        let now = self.now;
        let waited = now - task.started;
        match reply.outcome {
            Some(Outcome::Answered) if reply.status == 200 => {
                self.callers.answered += 1;
                self.rules.request_succeeded(now);
                self.rules.answered(now, &task.label, &task.key, &reply.body);
                self.rules.answered_consumer(now, &task.label, &reply.body);
                self.maybe_repeat(&task);
            }
            Some(Outcome::Accepted) => {
                self.callers.answered += 1;
                self.rules.request_succeeded(now);
                self.rules.accepted(&task.key, &task.service);
                self.rules.served_consumer(&task.label);
                self.record_task_scope(&task);
                self.fire_trigger(crate::triggered_faults::Trigger::WorkAccepted, n);
            }
            Some(Outcome::NotRun) => {
                self.callers.refused += 1;
                self.rules.not_run(now, &task.label);
                if reply.status == 503 && reply.retry_after.is_zero() {
                    self.rules.report_violation(now, format!("{} was refused without a time for a retry", task.label));
                }
            }
            Some(Outcome::Unknown) => self.callers.unknown += 1,
            None if matches!(reply.status, 401 | 403 | 404) => {
                self.callers.refused += 1;
                self.rules.denied(now, &task.label, reply.status);
            }
            _ => self.callers.refused += 1,
        }
        self.count_unserved(&task, reply.outcome);
        if waited > Duration::from_secs(6) && self.frozen_lately(n) {
            self.callers.lost += 1;
        } else if waited > Duration::from_secs(6) {
            self.rules.report_violation(now, format!("{} waited {} ms", task.label, waited.as_millis()));
        }
        let succeeded = matches!(reply.outcome, Some(Outcome::Answered | Outcome::Accepted));
        if !succeeded && task.resends < 3 && self.rng.random_bool(0.5) {
            task.resends += 1;
            task.label = format!("{}#{}", task.key, task.resends);
            task.started = now + Duration::from_millis(30);
            task.caller.api_key = self.key_for_repeat(&task.caller);
            self.callers.last_number += 1;
            let number = self.callers.last_number;
            self.callers.retries.insert(number, task);
            self.schedule_after(Duration::from_millis(30), Event::TaskRetry { task: number });
        }
    }

    /// Counts tasks that failed before the final fault, those of the flooding tenant apart from the others.
    fn count_unserved(&mut self, task: &SimTask, outcome: Option<Outcome>) {
        if self.now < self.plan.final_fault && !matches!(outcome, Some(Outcome::Answered | Outcome::Accepted)) {
            let flooder = task.service.starts_with(&format!("t{FLOODING_TENANT}/"));
            self.callers.unserved[usize::from(!flooder)] += 1;
        }
    }

    fn frozen_lately(&self, n: usize) -> bool {
        self.routers[n].frozen_until + Duration::from_secs(7) > self.now && !self.routers[n].frozen_until.is_zero()
    }

    pub fn drop_callers_of(&mut self, n: usize) {
        let before = self.callers.open.len();
        self.callers.open.retain(|(router, _), _| *router != n);
        self.callers.lost += (before - self.callers.open.len()) as u64;
    }
}
