//! Callers: an open loop of tasks at random routers, some repeating a run-once key elsewhere at
//! once, some trying again eagerly when they are refused.

use crate::router_node::Turn;
use crate::world::{Event, World};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;
use traffic::{Call, FrontInput, Reply};
use wire::{HeaderLine, Outcome, RequestHead};

#[derive(Clone)]
pub struct SimTask {
    pub label: String,
    pub key: String,
    pub class: &'static str,
    pub path: String,
    pub service: String,
    pub tries: u32,
    pub begun: Duration,
}

#[derive(Default)]
pub struct Callers {
    pub next: u64,
    pub open: BTreeMap<(usize, u64), SimTask>,
    pub again: BTreeMap<u64, SimTask>,
    pub answered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub lost: u64,
    pub good_times: Vec<Duration>,
    pub crowd: Option<(usize, Duration)>,
}

pub const CLASSES: [&str; 4] = ["ordinary", "once", "deferred", "ordinary"];

impl World {
    pub fn caller(&mut self) {
        let crowd = self.callers.crowd.filter(|(_, until)| self.now < *until).map(|(function, _)| function);
        let rate = if crowd.is_some() { self.plan.rate * 10.0 } else { self.plan.rate };
        let wait = Duration::from_secs_f64(-(1.0 - self.dice.random::<f64>()).ln() / rate);
        if self.now < self.plan.end - Duration::from_secs(14) {
            self.after(wait, Event::Caller);
        }
        let drawn = self.dice.random_range(0..self.plan.functions);
        let function = crowd.filter(|_| self.dice.random_ratio(9, 10)).unwrap_or(drawn);
        self.callers.next += 1;
        let task = SimTask {
            label: format!("{}#1", self.callers.next),
            key: self.callers.next.to_string(),
            class: CLASSES[function % 4],
            path: format!("/t{}/f{function}", function % 3),
            service: format!("t{}/f{function}", function % 3),
            tries: 1,
            begun: self.now,
        };
        if task.class == "once" && self.dice.random_ratio(1, 10) {
            let mut twin = task.clone();
            twin.label = format!("{}#twin", self.callers.next);
            twin.tries = 9;
            self.call(twin);
        }
        self.call(task);
    }

    pub fn caller_retry(&mut self, task: u64) {
        if let Some(task) = self.callers.again.remove(&task) {
            self.call(task);
        }
    }

    fn call(&mut self, task: SimTask) {
        let n = self.dice.random_range(0..self.routers.len());
        let left = self.routers[n].leaving_since.is_some_and(|since| self.now > since + Duration::from_millis(700));
        if left || !self.routers[n].alive() || self.frozen_until(crate::world::Place::Router(n)).is_some() {
            self.callers.lost += 1;
            return;
        }
        self.callers.next += 1;
        let ask = self.callers.next;
        let header = HeaderLine { name: "x-task".into(), value: task.label.clone().into_bytes().into() };
        let call = Call {
            path: task.path.clone(),
            head: RequestHead {
                method: "POST".into(),
                target: task.path.as_str().into(),
                headers: vec![header].into(),
            },
            body: task.key.clone().into_bytes(),
            key: (task.class != "ordinary").then(|| task.key.clone()),
            respond_async: task.class == "deferred" && self.dice.random_bool(0.5),
        };
        self.say(|| format!("task {} ({}) asked at router {n}", task.label, task.class));
        self.rules.asked(self.now, &task.label, &task.service);
        self.callers.open.insert((n, ask), task);
        self.turn(n, Turn::Front(FrontInput::Task { ask, call }));
    }

    pub fn caller_reply(&mut self, n: usize, ask: u64, reply: Reply) {
        let Some(mut task) = self.callers.open.remove(&(n, ask)) else { return };
        self.say(|| {
            format!("task {} ({}) answered {:?} {} at router {n}", task.label, task.class, reply.outcome, reply.status)
        });
        let now = self.now;
        let waited = now - task.begun;
        match reply.outcome {
            Some(Outcome::Answered) if reply.status == 200 => {
                self.callers.answered += 1;
                self.callers.good_times.push(now);
                self.rules.answered(now, &task.label, &task.key, &reply.body);
            }
            Some(Outcome::Accepted) => {
                self.callers.answered += 1;
                self.callers.good_times.push(now);
                self.rules.accepted(&task.key);
            }
            Some(Outcome::NotRun) => {
                self.callers.refused += 1;
                self.rules.not_run(now, &task.label);
                if reply.status == 503 && reply.retry_after == 0 {
                    self.rules.tell(now, format!("{} was refused without a time to come back", task.label));
                }
            }
            Some(Outcome::Unknown) => self.callers.unknown += 1,
            _ => self.callers.refused += 1,
        }
        if waited > Duration::from_secs(6) && self.frozen_lately(n) {
            self.callers.lost += 1;
        } else if waited > Duration::from_secs(6) {
            self.rules.tell(now, format!("{} waited {} ms", task.label, waited.as_millis()));
        }
        let good = matches!(reply.outcome, Some(Outcome::Answered | Outcome::Accepted));
        if !good && task.tries < 3 && self.dice.random_bool(0.5) {
            task.tries += 1;
            task.label = format!("{}#{}", task.key, task.tries);
            task.begun = now + Duration::from_millis(30);
            self.callers.next += 1;
            let number = self.callers.next;
            self.callers.again.insert(number, task);
            self.after(Duration::from_millis(30), Event::CallerRetry { task: number });
        }
    }

    fn frozen_lately(&self, n: usize) -> bool {
        self.routers[n].frozen_until + Duration::from_secs(7) > self.now && !self.routers[n].frozen_until.is_zero()
    }

    pub fn callers_lost(&mut self, n: usize) {
        let before = self.callers.open.len();
        self.callers.open.retain(|(router, _), _| *router != n);
        self.callers.lost += (before - self.callers.open.len()) as u64;
    }
}
