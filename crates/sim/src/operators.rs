//! Operators: whole configurations and patches, single, in races and in bursts, with what was
//! acknowledged, refused and left unknown kept for the rules and the read-back at the end.

use crate::chances::Sort;
use crate::declared::{line, mark_line};
use crate::resending::Order;
use crate::world::{Event, World};
use checker::{Invocation, Response};
use control::{ApiCall, ApiReply, CoreInput};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Asked {
    pub mark: String,
    pub base: Option<u64>,
    pub invalid: bool,
    pub sent: Duration,
}

#[derive(Default)]
pub struct Operators {
    pub next: u64,
    pub open: BTreeMap<(usize, u64), Asked>,
    pub revision: u64,
    pub acked: Vec<(u64, String, Option<u64>)>,
    pub unknown: Vec<String>,
    pub refused: Vec<String>,
    pub founded: bool,
    pub reading: Option<(usize, u64)>,
    pub read: Option<Value>,
    pub last_ack: Duration,
    pub grows: bool,
    /// All that was sent and answered, for the check of linearizability.
    pub history: Vec<Invocation>,
    /// Orders by their marks, kept where they are sent again.
    pub orders: BTreeMap<String, Order>,
    pub last_acknowledger: Option<usize>,
}

impl Operators {
    pub fn lost_registry(&mut self, now: Duration, n: usize) {
        let gone: Vec<(usize, u64)> = self.open.keys().filter(|(registry, _)| *registry == n).copied().collect();
        for key in gone {
            if let Some(asked) = self.open.remove(&key) {
                self.record(now, &asked, Response::Unknown);
                self.unknown.push(asked.mark);
            }
        }
        if self.reading.is_some_and(|(registry, _)| registry == n) {
            self.reading = None;
        }
    }

    pub fn record(&mut self, now: Duration, asked: &Asked, response: Response) {
        let order = asked.mark.clone();
        let (base, is_valid, sent, ended) = (asked.base, !asked.invalid, asked.sent, now);
        self.history.push(Invocation { change: order, base, is_valid, sent, ended, response });
    }
}

impl World {
    pub fn operator(&mut self) {
        let quiet = self.now + Duration::from_secs(1) > self.plan.final_fault;
        if quiet {
            return self.read_back();
        }
        if self.plan.sort == Sort::Operators {
            return self.operators_turn();
        }
        let burst = self.dice.random_ratio(1, 8);
        let pause = if burst {
            self.dice.random_range(1..40)
        } else {
            self.dice.random_range(self.plan.change_pause_ms.clone())
        };
        self.after(Duration::from_millis(pause), Event::Operator);
        let racers = if self.dice.random_ratio(1, 4) { 2 } else { 1 };
        let base = self.operators.revision;
        for _ in 0..racers {
            let n = self.any_registry();
            if self.registries[n].core.is_none() {
                continue;
            }
            self.operators.next += 1;
            let request_id = self.operators.next;
            let mark = format!("m{request_id}");
            let full = !self.operators.founded || self.dice.random_ratio(1, 3);
            let invalid = self.operators.founded && self.dice.random_ratio(1, 10);
            let mut grown = if self.operators.founded && self.dice.random_ratio(1, 12) { 400 } else { 0 };
            if self.operators.founded && std::mem::take(&mut self.operators.grows) {
                grown = 3000;
            }
            // A key that was taken away may not come back by a change that knows no revision.
            let any = self.dice.random_ratio(1, 5) && !self.has_consumers();
            let mut items = if full { self.items(&mark) } else { vec![mark_line(&mark)] };
            items.extend(self.consumer_items());
            if invalid {
                items.push(line(
                    "function-bindings/t9/bad",
                    json!({"route": "no-slash", "function": "f", "class": "once"}),
                ));
            }
            if grown > 0 {
                let at = request_id * 10_000;
                items.extend((at..at + grown).map(|n| {
                    line(
                        &format!("function-bindings/grown/g{n}"),
                        json!({"route": format!("/grown/{n}"), "function": format!("g{n}"), "class": "ordinary"}),
                    )
                }));
            }
            if !invalid {
                self.consumers_offered(&mark);
            }
            let base = (!any).then_some(base);
            let call = ApiCall::Change {
                op: mark.clone(),
                base,
                revision: None,
                full,
                scope: String::new(),
                items,
                dry: false,
            };
            self.operators.open.insert((n, request_id), Asked { mark, base, invalid, sent: self.now });
            self.feed_registry(n, CoreInput::Call { request_id, call });
            self.moment(crate::strikes::Trigger::ChangeSent, n);
        }
    }

    pub fn operator_answer(&mut self, n: usize, request_id: u64, reply: ApiReply) {
        if self.operators.reading == Some((n, request_id)) {
            self.operators.reading = None;
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
                    self.rules.tell(now, format!("invalid change {} was acknowledged", asked.mark));
                }
                let same_base = |(_, mark, base): &(u64, String, Option<u64>)| {
                    base.is_some() && *base == asked.base && *mark != asked.mark
                };
                if self.operators.acked.iter().any(same_base) {
                    self.rules.tell(now, format!("two changes on revision {:?} were acknowledged", asked.base));
                }
                self.check_order_copies(&asked.mark);
                self.consumers_acknowledged(&asked.mark, asked.sent);
                self.operators.founded = true;
                self.operators.revision = self.operators.revision.max(revision);
                self.operators.last_ack = now;
                self.rules.acknowledged(now, revision);
                self.operators.acked.push((revision, asked.mark, asked.base));
                self.acknowledged_by(n);
            }
            412 => {
                let told: Value = serde_json::from_str(&reply.body).unwrap_or_default();
                let latest = told["faults"]["latest"].as_u64().unwrap_or_default();
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
        if back && self.operators.reading.is_none() && self.operators.open.is_empty() {
            let n = self.any_registry();
            if self.registries[n].core.is_some() {
                self.operators.next += 1;
                let request_id = self.operators.next;
                self.operators.reading = Some((n, request_id));
                let call = ApiCall::Configuration { scope: String::new() };
                self.feed_registry(n, CoreInput::Call { request_id, call });
            }
        }
        self.after(Duration::from_millis(700), Event::Operator);
    }

    /// The read-back at the end: as new as the newest acknowledged, and never a refused one.
    pub fn check_read_back(&mut self) {
        let now = self.now;
        let Some(read) = self.operators.read.clone() else {
            return self.rules.tell(now, "the configuration could not be read back at the end".into());
        };
        let revision = read["revision"].as_u64().unwrap_or_default();
        let mark = read["headcount-plans"]["t0/mark"]["fixed"].as_u64().map(|n| format!("m{n}")).unwrap_or_default();
        let newest = self.operators.acked.iter().max_by_key(|(revision, ..)| *revision).cloned();
        if let Some((acked, acked_mark, _)) = newest {
            if revision < acked {
                self.rules.tell(now, format!("read back {revision}, though {acked} was acknowledged"));
            }
            if revision == acked && mark != acked_mark {
                self.rules.tell(now, format!("read back {mark} at {revision}, acknowledged was {acked_mark}"));
            }
            if revision > acked && !self.operators.unknown.contains(&mark) {
                self.rules.tell(now, format!("read back {mark} at {revision}, which nobody knows"));
            }
        }
        if self.operators.refused.contains(&mark) {
            self.rules.tell(now, format!("refused change {mark} took effect"));
        }
    }
}
