//! Operators who lose answers: up to eight orders are under way at once, several of them on one revision,
//! and whatever has no clear answer after a second is sent again as it was, to any registry. Now and then an
//! order that was acknowledged long ago is sent once more.

use crate::declared::mark_line;
use crate::operators::Asked;
use crate::world::{Event, World};
use checker::{Response, find_anomalies};
use control::{ApiCall, CoreInput};
use rand::RngExt;
use std::time::Duration;
use wire::ConfigurationItem;

const AT_ONCE: usize = 8;
const SILENCE: Duration = Duration::from_secs(1);
/// Marks are told apart by a number below this.
const MOST_ORDERS: usize = 990;

/// An order as it is sent, each time the same.
#[derive(Clone)]
pub struct Order {
    pub mark: String,
    pub base: Option<u64>,
    pub full: bool,
    pub items: Vec<ConfigurationItem>,
}

impl World {
    pub fn operators_turn(&mut self) {
        let pause = Duration::from_millis(self.dice.random_range(20..260));
        self.after(pause, Event::Operator);
        self.give_up_on_silence();
        if self.operators.open.len() >= AT_ONCE {
            return;
        }
        let unclear: Vec<String> = self.unclear_orders();
        let acknowledged = self.operators.acked.len();
        if !unclear.is_empty() && self.dice.random_bool(0.6) {
            let mark = unclear[self.dice.random_range(0..unclear.len())].clone();
            self.send_order(&mark);
        } else if acknowledged > 0 && self.dice.random_ratio(1, 8) {
            let mark = self.operators.acked[self.dice.random_range(0..acknowledged)].1.clone();
            self.send_order(&mark);
        } else {
            let racers = if self.dice.random_ratio(1, 6) { AT_ONCE - self.operators.open.len() } else { 1 };
            (0..racers).for_each(|_| self.new_order());
        }
    }

    fn give_up_on_silence(&mut self) {
        let now = self.now;
        let silent = self.operators.open.extract_if(.., |_, asked| now > asked.sent + SILENCE);
        for (_, asked) in silent.collect::<Vec<_>>() {
            self.operators.record(now, &asked, Response::Unknown);
            self.operators.unknown.push(asked.mark);
        }
    }

    /// Orders that have been answered, but never clearly.
    fn unclear_orders(&self) -> Vec<String> {
        let operators = &self.operators;
        let clear = |mark: &String| {
            operators.refused.contains(mark) || operators.acked.iter().any(|(_, acknowledged, _)| acknowledged == mark)
        };
        operators.unknown.iter().filter(|mark| !clear(mark)).cloned().collect()
    }

    fn new_order(&mut self) {
        let number = self.operators.orders.len() + 1;
        if number > MOST_ORDERS {
            return;
        }
        let mark = format!("m{number}");
        let full = !self.operators.founded || self.dice.random_ratio(1, 4);
        let items = if full { self.items(&mark) } else { vec![mark_line(&mark)] };
        let order = Order { mark: mark.clone(), base: Some(self.operators.revision), full, items };
        self.operators.orders.insert(mark.clone(), order);
        self.send_order(&mark);
    }

    /// Sends an order to any registry, also one that is cut off.
    fn send_order(&mut self, mark: &str) {
        let n = self.dice.random_range(0..self.registries.len());
        let Some(order) = self.operators.orders.get(mark).cloned() else { return };
        let Order { mark, base, full, items } = order;
        self.operators.next += 1;
        let request_id = self.operators.next;
        let asked = Asked { mark: mark.clone(), base, invalid: false, sent: self.now };
        if self.registries[n].core.is_none() {
            self.operators.record(self.now, &asked, Response::Unknown);
            return self.operators.unknown.push(mark);
        }
        self.operators.open.insert((n, request_id), asked);
        let scope = String::new();
        let call = ApiCall::Change { op: mark, base, revision: None, full, scope, items, dry: false };
        self.feed_registry(n, CoreInput::Call { request_id, call });
    }

    /// Whoever acknowledges an order may be alone by now, but never has the only disk that holds it.
    pub fn check_order_copies(&mut self, mark: &str) {
        let key = format!("o/{mark}");
        let holders = self.registries.iter().filter(|node| node.disk.state.contains_key(&key)).count();
        let is_any_lost = self.registries.iter().any(|node| node.disk.last == 0);
        if holders < 2 && !is_any_lost {
            self.rules.tell(self.now, format!("order {mark} was acknowledged with {holders} copies"));
        }
    }

    /// The whole history is linearizable, and no order that was refused is among those the registries
    /// remember as taken: each builds on a revision that was known when it was first sent, so a refusal is
    /// for good.
    pub fn check_orders(&mut self) {
        let now = self.now;
        for anomaly in find_anomalies(&self.operators.history, &[]) {
            self.rules.tell(now, format!("not linearizable: {anomaly:?}"));
        }
        let newest = self
            .registries
            .iter()
            .filter_map(|node| node.core.as_ref())
            .max_by_key(|core| core.replica().positions().committed);
        let Some(core) = newest else { return };
        let taken = |mark: &&String| core.state().contains_key(&format!("o/{mark}"));
        if let Some(mark) = self.operators.refused.iter().find(taken) {
            self.rules.tell(now, format!("order {mark} was taken and refused"));
        }
    }
}
