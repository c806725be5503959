//! Records consumers' requests for the rules, and repeats idempotency keys after a successful answer: seconds later,
//! at another router, or on another route.

use crate::callers::SimTask;
use crate::consumer_rules::{SeenByInstance, SentRequest};
use crate::consumers::{CONSUMER_HEADER, consumer_name};
use crate::world::{Event, World};
use rand::RngExt;
use std::time::Duration;
use wire::RequestHead;

/// Number of tries of a caller that doesn't retry, whatever the answer.
const MAX_TRIES: u32 = 9;
/// Delay between a successful answer and the repeat of its key.
const REPEAT_DELAY_MS: std::ops::Range<u64> = 30..25_000;

impl World {
    /// Records a request as its caller sends it.
    pub(crate) fn record_sent_request(&mut self, task: &SimTask) {
        if !self.has_consumers() {
            return;
        }
        let number = task.service.rsplit('f').next().and_then(|number| number.parse().ok());
        let request = SentRequest {
            sent: self.now,
            api_key: task.caller.api_key.clone(),
            operation: (task.class == "once").then(|| task.caller.idempotency_key.clone()),
            is_public: number.is_some_and(|function| self.is_public(function)),
        };
        self.rules.sent_by_consumer(&task.label, request);
    }

    /// Records the scope under which a consumer's accepted task is stored.
    pub(crate) fn record_task_scope(&mut self, task: &SimTask) {
        let (Some(consumer), Some(_)) = (task.caller.consumer, &task.caller.api_key) else { return };
        let scope = format!("consumer/{}/k-{}", consumer_name(consumer), task.caller.idempotency_key);
        self.callers.scopes.insert(task.key.clone(), scope);
    }

    /// Returns what the instance can read about the consumer of a request.
    pub(crate) fn seen_by_instance(&self, label: &str, head: &[u8], body: &[u8]) -> SeenByInstance {
        let fields = wire::from_bytes::<RequestHead>(head).map(|head| head.headers.into_vec()).unwrap_or_default();
        let named: Vec<String> = fields
            .iter()
            .filter(|field| field.name.as_str() == CONSUMER_HEADER)
            .map(|field| String::from_utf8_lossy(field.value.as_slice()).into_owned())
            .collect();
        let consumer = (!named.is_empty()).then(|| named.join(","));
        let has_api_key =
            self.rules.api_key_of(label).is_some_and(|key| contains_bytes(head, key) || contains_bytes(body, key));
        SeenByInstance { consumer, has_api_key }
    }

    /// Repeats some of the consumers' run-once keys after a successful answer.
    pub(crate) fn maybe_repeat(&mut self, task: &SimTask) {
        if !self.has_consumers() || task.class != "once" || !self.rng.random_ratio(1, 4) {
            return;
        }
        let mut again = task.clone();
        let wait = Duration::from_millis(self.rng.random_range(REPEAT_DELAY_MS));
        self.callers.last_number += 1;
        let number = self.callers.last_number;
        again.caller.api_key = self.key_for_repeat(&task.caller);
        if self.rng.random_ratio(1, 3) && again.caller.consumer.is_some() {
            let other = self.sibling_route(&task.service);
            again.service = other.unwrap_or(again.service);
            again.path = format!("/{}", again.service);
        }
        again.label = format!("{}#later{number}", task.key);
        again.resends = MAX_TRIES;
        again.started = self.now + wait;
        self.callers.retries.insert(number, again);
        self.schedule_after(wait, Event::TaskRetry { task: number });
    }
}

fn contains_bytes(bytes: &[u8], word: &str) -> bool {
    bytes.windows(word.len().max(1)).any(|window| window == word.as_bytes())
}
