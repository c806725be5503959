//! Operators that lose answers: up to eight orders are open at once, several of them on one revision. An order
//! without a clear answer after a second is sent again unchanged, to any registry. Now and then an order that was
//! acknowledged long ago is sent once more.

use crate::configuration::mark_item;
use crate::operators::SentChange;
use crate::world::{Event, World};
use checker::{Response, find_anomalies};
use control::{ApiCall, CoreInput};
use rand::RngExt;
use std::time::Duration;
use wire::ConfigurationItem;

const MAX_OPEN_ORDERS: usize = 8;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of orders, since the number in a mark is only kept modulo 1000.
const MAX_ORDERS: usize = 990;

/// An order as it is sent, each time the same.
#[derive(Clone)]
pub struct Order {
    pub mark: String,
    pub base: Option<u64>,
    pub full: bool,
    pub items: Vec<ConfigurationItem>,
}

impl World {
    pub fn resending_operator_turn(&mut self) {
        let pause = Duration::from_millis(self.rng.random_range(20..260));
        self.schedule_after(pause, Event::Operator);
        self.give_up_on_silence();
        if self.operators.open.len() >= MAX_OPEN_ORDERS {
            return;
        }
        let unclear: Vec<String> = self.unclear_orders();
        let acknowledged = self.operators.acked.len();
        if !unclear.is_empty() && self.rng.random_bool(0.6) {
            let mark = unclear[self.rng.random_range(0..unclear.len())].clone();
            self.send_order(&mark);
        } else if acknowledged > 0 && self.rng.random_ratio(1, 8) {
            let mark = self.operators.acked[self.rng.random_range(0..acknowledged)].1.clone();
            self.send_order(&mark);
        } else {
            let racers = if self.rng.random_ratio(1, 6) { MAX_OPEN_ORDERS - self.operators.open.len() } else { 1 };
            (0..racers).for_each(|_| self.new_order());
        }
    }

    fn give_up_on_silence(&mut self) {
        let now = self.now;
        let silent = self.operators.open.extract_if(.., |_, asked| now > asked.sent + ANSWER_TIMEOUT);
        for (_, asked) in silent.collect::<Vec<_>>() {
            self.operators.record(now, &asked, Response::Unknown);
            self.operators.unknown.push(asked.mark);
        }
    }

    /// Returns the orders that have only had unclear answers.
    fn unclear_orders(&self) -> Vec<String> {
        let operators = &self.operators;
        let clear = |mark: &String| {
            operators.refused.contains(mark) || operators.acked.iter().any(|(_, acknowledged, _)| acknowledged == mark)
        };
        operators.unknown.iter().filter(|mark| !clear(mark)).cloned().collect()
    }

    fn new_order(&mut self) {
        let number = self.operators.orders.len() + 1;
        if number > MAX_ORDERS {
            return;
        }
        let mark = format!("m{number}");
        let full = !self.operators.founded || self.rng.random_ratio(1, 4);
        let items = if full { self.items(&mark) } else { vec![mark_item(&mark)] };
        let order = Order { mark: mark.clone(), base: Some(self.operators.revision), full, items };
        self.operators.orders.insert(mark.clone(), order);
        self.send_order(&mark);
    }

    /// Sends an order to any registry, also one that is cut off.
    fn send_order(&mut self, mark: &str) {
        let n = self.rng.random_range(0..self.registries.len());
        let Some(order) = self.operators.orders.get(mark).cloned() else { return };
        let Order { mark, base, full, items } = order;
        self.operators.next += 1;
        let request_id = self.operators.next;
        let asked = SentChange { mark: mark.clone(), base, invalid: false, sent: self.now };
        if self.registries[n].core.is_none() {
            self.operators.record(self.now, &asked, Response::Unknown);
            return self.operators.unknown.push(mark);
        }
        self.operators.open.insert((n, request_id), asked);
        let scope = String::new();
        let call = ApiCall::Change { op: mark, base, revision: None, full, scope, items, dry: false };
        self.feed_registry(n, CoreInput::Call { request_id, call });
    }

    /// Checks the copies of an acknowledged order: the acknowledging registry may be isolated by now, but must not
    /// have the only disk that holds the order.
    pub fn check_order_copies(&mut self, mark: &str) {
        let key = format!("o/{mark}");
        let holders = self.registries.iter().filter(|node| node.disk.state.contains_key(&key)).count();
        let is_any_lost = self.registries.iter().any(|node| node.disk.last == 0);
        if holders < 2 && !is_any_lost {
            self.rules.report_violation(self.now, format!("order {mark} was acknowledged with {holders} copies"));
        }
    }

    /// Checks that the whole history is linearizable, and that no refused order is among those that the registries
    /// remember as taken. A refusal is final, since each order builds on a revision that was known when it was
    /// first sent.
    pub fn check_orders(&mut self) {
        let now = self.now;
        for anomaly in find_anomalies(&self.operators.history, &[]) {
            self.rules.report_violation(now, format!("not linearizable: {anomaly:?}"));
        }
        let newest = self
            .registries
            .iter()
            .filter_map(|node| node.core.as_ref())
            .max_by_key(|core| core.replica().positions().committed);
        let Some(core) = newest else { return };
        let taken = |mark: &&String| core.state().contains_key(&format!("o/{mark}"));
        if let Some(mark) = self.operators.refused.iter().find(taken) {
            self.rules.report_violation(now, format!("order {mark} was both taken and refused"));
        }
    }
}
