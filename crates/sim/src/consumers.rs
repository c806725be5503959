//! Consumers in a simulated deployment: their declarations, the removal of API keys by newer configurations, and
//! the key that a caller uses.

use crate::callers::service_of;
use crate::configuration::item;
use crate::consumer_rules::KeyHolder;
use crate::sorts::Sort;
use crate::world::World;
use rand::RngExt;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::ConfigurationItem;

/// Number of consumers that a configuration declares.
pub const CONSUMERS: usize = 5;
/// Header that tells an instance the consumer of a request.
pub const CONSUMER_HEADER: &str = "x-consumer";
/// Consumer that sends more than half of all requests.
const LARGEST_CONSUMER: usize = 0;
/// Functions with public bindings: an ordinary and a run-once one.
const PUBLIC_FUNCTIONS: std::ops::Range<usize> = 4..6;
/// Requests per second that the largest consumer may send.
const LARGEST_RATE: f64 = 30.0;
/// Requests per second that each other limited consumer may send.
const OTHER_RATE: f64 = 8.0;
/// Requests that a consumer may send on top of its rate.
const BURST: f64 = 5.0;
/// How long callers keep using a key that was removed.
const REVOKED_KEY_USE: Duration = Duration::from_secs(6);

/// Caller of a task, with its API key and idempotency key.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// The consumer that the caller belongs to.
    pub consumer: Option<usize>,
    /// API key that it sends.
    pub api_key: Option<String>,
    /// Idempotency key that it sends.
    pub idempotency_key: String,
}

/// API keys of the consumers. At generation `g` a consumer holds the keys `g` and `g + 1`; a configuration with the
/// next generation removes key `g`.
#[derive(Default)]
pub struct ConsumerKeys {
    /// Generations that operators declare from now on.
    declared: [u64; CONSUMERS],
    /// Generations that the newest acknowledged configuration declares.
    acknowledged: [u64; CONSUMERS],
    generations_by_mark: BTreeMap<String, [u64; CONSUMERS]>,
    revoked_at: [Option<Duration>; CONSUMERS],
    /// Consumer that sends far more requests than usual, and until when.
    pub hot_consumer: Option<(usize, Duration)>,
}

fn api_key(consumer: usize, generation: u64) -> String {
    format!("key-{consumer}-{generation}")
}

/// Returns a consumer's rate and burst. The last consumer has no limit.
fn limit_of(consumer: usize) -> (f64, f64) {
    match consumer {
        LARGEST_CONSUMER => (LARGEST_RATE, BURST),
        _ if consumer == CONSUMERS - 1 => (0.0, 0.0),
        _ => (OTHER_RATE, BURST),
    }
}

/// Returns a consumer's name as `tenant/name`.
pub fn consumer_name(consumer: usize) -> String {
    format!("t{}/c{consumer}", consumer % 3)
}

fn keys_of(generations: &[u64; CONSUMERS]) -> Vec<KeyHolder> {
    let of = |(consumer, generation): (usize, &u64)| {
        [*generation, *generation + 1]
            .map(|number| KeyHolder { api_key: api_key(consumer, number), consumer: consumer_name(consumer) })
    };
    generations.iter().enumerate().flat_map(of).collect()
}

impl World {
    /// Whether configurations declare consumers.
    pub fn has_consumers(&self) -> bool {
        self.plan.sort == Sort::Consumers
    }

    /// Whether a function's binding requires no API key.
    pub fn is_public(&self, function: usize) -> bool {
        self.has_consumers() && PUBLIC_FUNCTIONS.contains(&function)
    }

    /// Returns the declarations of consumers as operators send them now.
    pub(crate) fn consumer_items(&self) -> Vec<ConfigurationItem> {
        if !self.has_consumers() {
            return Vec::new();
        }
        let item = |(consumer, generation): (usize, &u64)| {
            let keys = [*generation, *generation + 1].map(|number| api_key(consumer, number));
            let rank = (consumer > 0).then_some(consumer % 3);
            let (rate_per_s, burst) = limit_of(consumer);
            let declared = json!({"keys": keys, "rate_per_s": rate_per_s, "burst": burst, "rank": rank});
            item(&format!("consumers/{}", consumer_name(consumer)), declared)
        };
        self.consumer_keys.declared.iter().enumerate().map(item).collect()
    }

    /// Records that a change was sent with the current declarations of consumers.
    pub(crate) fn consumers_offered(&mut self, mark: &str) {
        if self.has_consumers() {
            let declared = self.consumer_keys.declared;
            self.consumer_keys.generations_by_mark.insert(mark.to_owned(), declared);
            for consumer in 0..CONSUMERS - 1 {
                let (rate_per_s, burst) = limit_of(consumer);
                self.rules.set_limit(&consumer_name(consumer), rate_per_s, burst);
            }
            self.rules.keys_offered(self.now, &keys_of(&declared));
        }
    }

    pub(crate) fn consumers_acknowledged(&mut self, mark: &str, offered: Duration) {
        let Some(generations) = self.consumer_keys.generations_by_mark.get(mark).copied() else { return };
        for (known, now) in self.consumer_keys.acknowledged.iter_mut().zip(generations) {
            *known = (*known).max(now);
        }
        self.rules.keys_acknowledged(self.now, offered, &keys_of(&generations));
    }

    /// Removes a key of one consumer from all configurations sent from now on.
    pub(crate) fn revoke_any_key(&mut self) {
        let consumer = self.rng.random_range(0..CONSUMERS);
        self.log(|| format!("a key of {} is removed", consumer_name(consumer)));
        self.consumer_keys.declared[consumer] += 1;
        self.consumer_keys.revoked_at[consumer] = Some(self.now);
    }

    /// Draws the next caller of a function, with a new idempotency key or one that another consumer is using.
    pub(crate) fn next_caller(&mut self, function: usize, number: u64) -> Caller {
        let mut caller = Caller { idempotency_key: number.to_string(), ..Caller::default() };
        let is_keyed = matches!(self.class_of(function), "once" | "deferred");
        if !self.has_consumers() || (is_keyed && self.is_public(function)) {
            return caller;
        }
        let consumer = self.next_consumer();
        caller.consumer = Some(consumer);
        caller.api_key = self.next_api_key(consumer);
        if is_keyed && self.rng.random_ratio(1, 10) {
            caller.idempotency_key = self.idempotency_key_of_another(consumer).unwrap_or(caller.idempotency_key);
        }
        caller
    }

    fn next_consumer(&mut self) -> usize {
        let hot = self.consumer_keys.hot_consumer.filter(|(_, until)| self.now < *until).map(|(consumer, _)| consumer);
        let drawn = if self.rng.random_bool(0.5) { LARGEST_CONSUMER } else { self.rng.random_range(0..CONSUMERS) };
        hot.filter(|_| self.rng.random_ratio(19, 20)).unwrap_or(drawn)
    }

    /// Draws an API key: mostly one that the consumer holds; else a removed, future or unknown one, or none.
    fn next_api_key(&mut self, consumer: usize) -> Option<String> {
        let held = self.consumer_keys.acknowledged[consumer];
        let revoked = self.consumer_keys.revoked_at[consumer];
        let uses_revoked_key = revoked.is_some_and(|at| self.now < at + REVOKED_KEY_USE) && self.rng.random_bool(0.4);
        if uses_revoked_key {
            return Some(api_key(consumer, self.consumer_keys.declared[consumer].saturating_sub(1)));
        }
        match self.rng.random_range(0..100) {
            0..5 => Some(api_key(consumer, held.saturating_sub(1))),
            5..8 => Some(api_key(consumer, held + 2)),
            8..12 => Some(format!("nobodys-{held}")),
            12..15 => None,
            _ => Some(api_key(consumer, held + u64::from(self.rng.random_bool(0.7)))),
        }
    }

    /// Draws an idempotency key from the open requests of other consumers.
    fn idempotency_key_of_another(&mut self, consumer: usize) -> Option<String> {
        let others = self.callers.open.values().map(|task| &task.caller);
        let others = others.filter(|other| other.consumer.is_some_and(|other| other != consumer));
        let keys: Vec<String> = others.map(|other| other.idempotency_key.clone()).collect();
        let drawn = self.rng.random_range(0..keys.len().max(1));
        keys.get(drawn).cloned()
    }

    /// Draws the API key for a retry: the same one, or another that the consumer holds.
    pub(crate) fn key_for_repeat(&mut self, caller: &Caller) -> Option<String> {
        let Some(consumer) = caller.consumer.filter(|_| caller.api_key.is_some()) else {
            return caller.api_key.clone();
        };
        let is_own = caller.api_key.as_ref().is_some_and(|key| key.starts_with("key-"));
        if is_own && self.rng.random_ratio(1, 3) {
            return Some(api_key(consumer, self.consumer_keys.acknowledged[consumer] + 1));
        }
        caller.api_key.clone()
    }

    /// Returns another service of the same class that requires a key.
    pub(crate) fn sibling_route(&self, service: &str) -> Option<String> {
        let class = |function: usize| self.class_of(function);
        let is_this = |function: &usize| service_of(*function) == service;
        let this = (0..self.plan.functions).find(is_this)?;
        let is_sibling = |other: &usize| *other != this && class(*other) == class(this) && !self.is_public(*other);
        (0..self.plan.functions).find(is_sibling).map(service_of)
    }
}
