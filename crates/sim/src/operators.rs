//! Operators: they send whole configurations and patches, singly, in races and in bursts. What was acknowledged,
//! refused or left unknown is kept for the rules and for the read-back at the end.

use crate::configuration::{item, mark_item};
use crate::resending_operators::Order;
use crate::sorts::Sort;
use crate::world::{Event, World};
use checker::{Invocation, Response};
use control::{ApiCall, ApiReply, CoreInput};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

pub struct SentChange {
    pub mark: String,
    pub base: Option<u64>,
    pub invalid: bool,
    pub sent: Duration,
}

#[derive(Default)]
pub struct Operators {
    pub next: u64,
    pub open: BTreeMap<(usize, u64), SentChange>,
    pub revision: u64,
    pub acked: Vec<(u64, String, Option<u64>)>,
    pub unknown: Vec<String>,
    pub refused: Vec<String>,
    pub founded: bool,
    pub open_read: Option<(usize, u64)>,
    pub read: Option<Value>,
    pub last_ack: Duration,
    pub grow_next: bool,
    /// All changes and their answers, for the check of linearizability.
    pub history: Vec<Invocation>,
    /// Orders by mark, kept for the operators that resend them.
    pub orders: BTreeMap<String, Order>,
    pub last_acknowledger: Option<usize>,
}

impl Operators {
    pub fn registry_stopped(&mut self, now: Duration, n: usize) {
        let gone: Vec<(usize, u64)> = self.open.keys().filter(|(registry, _)| *registry == n).copied().collect();
        for key in gone {
            if let Some(asked) = self.open.remove(&key) {
                self.record(now, &asked, Response::Unknown);
                self.unknown.push(asked.mark);
            }
        }
        if self.open_read.is_some_and(|(registry, _)| registry == n) {
            self.open_read = None;
        }
    }

    pub fn record(&mut self, now: Duration, asked: &SentChange, response: Response) {
        let order = asked.mark.clone();
        let (base, is_valid, sent, ended) = (asked.base, !asked.invalid, asked.sent, now);
        self.history.push(Invocation { change: order, base, is_valid, sent, ended, response });
    }
}

impl World {
    pub fn operator_turn(&mut self) {
        let quiet = self.now + Duration::from_secs(1) > self.plan.final_fault;
        if quiet {
            return self.read_back();
        }
        if self.plan.sort == Sort::Operators {
            return self.resending_operator_turn();
        }
        let burst = self.rng.random_ratio(1, 8);
        let pause =
            if burst { self.rng.random_range(1..40) } else { self.rng.random_range(self.plan.change_pause_ms.clone()) };
        self.schedule_after(Duration::from_millis(pause), Event::Operator);
        let racers = if self.rng.random_ratio(1, 4) { 2 } else { 1 };
        let base = self.operators.revision;
        for _ in 0..racers {
            let n = self.any_registry();
            if self.registries[n].core.is_none() {
                continue;
            }
            self.operators.next += 1;
            let request_id = self.operators.next;
            let mark = format!("m{request_id}");
            let full = !self.operators.founded || self.rng.random_ratio(1, 3);
            let invalid = self.operators.founded && self.rng.random_ratio(1, 10);
            let mut extra_items = if self.operators.founded && self.rng.random_ratio(1, 12) { 400 } else { 0 };
            if self.operators.founded && std::mem::take(&mut self.operators.grow_next) {
                extra_items = 3000;
            }
            // With consumers every change names its base revision, else it could bring a removed key back.
            let without_base = self.rng.random_ratio(1, 5) && !self.has_consumers();
            let mut items = if full { self.items(&mark) } else { vec![mark_item(&mark)] };
            items.extend(self.consumer_items());
            if invalid {
                items.push(item(
                    "function-bindings/t9/bad",
                    json!({"route": "no-slash", "function": "f", "class": "once"}),
                ));
            }
            if extra_items > 0 {
                let at = request_id * 10_000;
                items.extend((at..at + extra_items).map(|n| {
                    item(
                        &format!("function-bindings/grown/g{n}"),
                        json!({"route": format!("/grown/{n}"), "function": format!("g{n}"), "class": "ordinary"}),
                    )
                }));
            }
            if !invalid {
                self.consumers_offered(&mark);
            }
            let base = (!without_base).then_some(base);
            let call = ApiCall::Change {
                op: mark.clone(),
                base,
                revision: None,
                full,
                scope: String::new(),
                items,
                dry: false,
            };
            self.operators.open.insert((n, request_id), SentChange { mark, base, invalid, sent: self.now });
            self.feed_registry(n, CoreInput::Call { request_id, call });
            self.fire_trigger(crate::triggered_faults::Trigger::ChangeSent, n);
        }
    }

    pub fn operator_answer(&mut self, n: usize, request_id: u64, reply: ApiReply) {
        if self.operators.open_read == Some((n, request_id)) {
            self.operators.open_read = None;
            if reply.status == 200 {
                self.operators.read = serde_json::from_str(&reply.body).ok();
            }
            return;
        }
        let Some(asked) = self.operators.open.remove(&(n, request_id)) else { return };
        let now = self.now;
        let response = match reply.status {
            200 => Response::Acknowledged { revision: reply.revision.unwrap_or_default() },
            412 => Response::Stale,
            400..=499 => Response::Invalid,
            _ => Response::Unknown,
        };
        self.operators.record(now, &asked, response);
        match reply.status {
            200 => {
                let revision = reply.revision.unwrap_or_default();
                if asked.invalid {
                    self.rules.report_violation(now, format!("invalid change {} was acknowledged", asked.mark));
                }
                let same_base = |(_, mark, base): &(u64, String, Option<u64>)| {
                    base.is_some() && *base == asked.base && *mark != asked.mark
                };
                if self.operators.acked.iter().any(same_base) {
                    self.rules
                        .report_violation(now, format!("two changes on revision {:?} were acknowledged", asked.base));
                }
                self.check_order_copies(&asked.mark);
                self.consumers_acknowledged(&asked.mark, asked.sent);
                self.operators.founded = true;
                self.operators.revision = self.operators.revision.max(revision);
                self.operators.last_ack = now;
                self.rules.revision_acknowledged(now, revision);
                self.operators.acked.push((revision, asked.mark, asked.base));
                self.change_acknowledged_by(n);
            }
            412 => {
                let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
                let latest = body["faults"]["latest"].as_u64().unwrap_or_default();
                self.operators.revision = self.operators.revision.max(latest);
                self.operators.refused.push(asked.mark);
            }
            504 => self.operators.unknown.push(asked.mark),
            500.. if self.plan.sort == Sort::Operators => self.operators.unknown.push(asked.mark),
            _ => self.operators.refused.push(asked.mark),
        }
    }

    fn read_back(&mut self) {
        if self.operators.read.is_some() {
            return;
        }
        let back = self.now > self.plan.final_fault + Duration::from_secs(4);
        if back && self.operators.open_read.is_none() && self.operators.open.is_empty() {
            let n = self.any_registry();
            if self.registries[n].core.is_some() {
                self.operators.next += 1;
                let request_id = self.operators.next;
                self.operators.open_read = Some((n, request_id));
                let call = ApiCall::Configuration { scope: String::new() };
                self.feed_registry(n, CoreInput::Call { request_id, call });
            }
        }
        self.schedule_after(Duration::from_millis(700), Event::Operator);
    }

    /// Checks the configuration read back at the end: at least as new as the newest acknowledged one, and never a
    /// refused one.
    pub fn check_read_back(&mut self) {
        let now = self.now;
        let Some(read) = self.operators.read.clone() else {
            return self.rules.report_violation(now, "the configuration could not be read back at the end".into());
        };
        let revision = read["revision"].as_u64().unwrap_or_default();
        let mark = read["headcount-plans"]["t0/mark"]["fixed"].as_u64().map(|n| format!("m{n}")).unwrap_or_default();
        let newest = self.operators.acked.iter().max_by_key(|(revision, ..)| *revision).cloned();
        if let Some((acked, acked_mark, _)) = newest {
            if revision < acked {
                self.rules
                    .report_violation(now, format!("read back revision {revision}, though {acked} was acknowledged"));
            }
            if revision == acked && mark != acked_mark {
                self.rules.report_violation(
                    now,
                    format!("read back {mark} at {revision}, but {acked_mark} was acknowledged"),
                );
            }
            if revision > acked && !self.operators.unknown.contains(&mark) {
                self.rules.report_violation(
                    now,
                    format!("read back {mark} at {revision}, which no change with an unknown outcome has"),
                );
            }
        }
        if self.operators.refused.contains(&mark) {
            self.rules.report_violation(now, format!("refused change {mark} took effect"));
        }
    }
}
