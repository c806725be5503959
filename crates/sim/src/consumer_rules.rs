//! Rules on consumers: which consumer an instance is told, with which API keys requests run and which are denied,
//! what a repeated idempotency key may do, how many requests of a consumer run, and whether each consumer is served.

use crate::rules::Rules;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time after its acknowledgement within which a configuration version is in force everywhere.
pub const APPLIED: Duration = Duration::from_secs(3);
/// Number of entitled requests that may be denied, besides a share of all requests.
const MAX_DENIED: u64 = 5;
/// One request in this many may be denied though it is entitled.
const DENIED_SHARE: u64 = 500;

/// An API key and the consumer that holds it, as `tenant/name`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// API key.
    pub api_key: String,
    /// Consumer that holds the key.
    pub consumer: String,
}

/// A request as its caller sent it.
#[derive(Clone, Debug, Default)]
pub struct SentRequest {
    /// When it was sent.
    pub sent: Duration,
    /// Its API key, if it has one.
    pub api_key: Option<String>,
    /// Its idempotency key if it must run only once.
    pub operation: Option<String>,
    /// Whether its binding requires no API key.
    pub is_public: bool,
}

/// What an instance sees of a request that it runs.
#[derive(Clone, Debug, Default)]
pub struct SeenByInstance {
    /// Name of the consumer that the instance is told, without the tenant.
    pub consumer: Option<String>,
    /// Whether the request as the instance sees it contains the API key.
    pub has_api_key: bool,
}

#[derive(Debug)]
pub(crate) struct KeyRecord {
    pub(crate) consumer: String,
    acknowledged: Option<Duration>,
    /// Since when a configuration without the key may be in force.
    maybe_removed_since: Option<Duration>,
    /// When a configuration without the key was first acknowledged.
    removed_at: Option<Duration>,
}

#[derive(Debug, Default)]
pub(crate) struct ServiceRecord {
    pub(crate) asked: u64,
    pub(crate) served: u64,
}

/// State that the rules on consumers keep between steps.
#[derive(Default)]
pub struct ConsumerRecords {
    pub(crate) keys: BTreeMap<String, KeyRecord>,
    pub(crate) first_acknowledged_at: Option<Duration>,
    pub(crate) sent: BTreeMap<String, SentRequest>,
    pub(crate) ran: BTreeSet<String>,
    pub(crate) asked: u64,
    pub(crate) denied: u64,
    /// By consumer and idempotency key: the tries that ran, with the times at which they were sent.
    pub(crate) operations: BTreeMap<(String, String), Vec<(Duration, String)>>,
    pub(crate) limits: BTreeMap<String, (f64, f64)>,
    /// By limited consumer: the send times of the requests that ran.
    pub(crate) admitted: BTreeMap<String, VecDeque<Duration>>,
    /// By limited consumer: the number of requests left within its limit, and when that was computed.
    pub(crate) remaining_budget: BTreeMap<String, (f64, Duration)>,
    /// Requests that exceeded their consumers' limits.
    pub(crate) over_limit: BTreeSet<String>,
    pub(crate) service: BTreeMap<String, ServiceRecord>,
}

impl Rules {
    /// Records that a change was sent that declares exactly these keys. A removed key is never declared again.
    pub fn keys_offered(&mut self, now: Duration, held: &[KeyHolder]) {
        let keys = &mut self.consumers.keys;
        for holder in held {
            let consumer = holder.consumer.clone();
            let record = KeyRecord { consumer, acknowledged: None, maybe_removed_since: None, removed_at: None };
            keys.entry(holder.api_key.clone()).or_insert(record);
        }
        for (_, record) in keys.iter_mut().filter(|(key, _)| !is_held(held, key)) {
            record.maybe_removed_since.get_or_insert(now);
        }
    }

    /// Records the acknowledgement of a change that was sent at `offered` and declares exactly these keys.
    pub fn keys_acknowledged(&mut self, now: Duration, offered: Duration, held: &[KeyHolder]) {
        self.consumers.first_acknowledged_at.get_or_insert(now);
        for (key, record) in &mut self.consumers.keys {
            if is_held(held, key) {
                record.acknowledged.get_or_insert(now);
            } else if record.maybe_removed_since.is_some_and(|at| at <= offered) {
                record.removed_at.get_or_insert(now);
            }
        }
    }

    /// Records that a request was sent under a unique label.
    pub fn sent_by_consumer(&mut self, label: &str, request: SentRequest) {
        self.consumers.asked += 1;
        if let Some(consumer) = self.entitled_consumer(&request, request.sent) {
            if self.spend_from_limit(&consumer, request.sent) {
                self.consumers.service.entry(consumer).or_default().asked += 1;
            } else {
                self.consumers.over_limit.insert(label.to_owned());
            }
        }
        self.consumers.sent.insert(label.to_owned(), request);
    }

    /// Returns the consumer that holds the request's key in every configuration that may be in force, if there is one.
    pub(crate) fn entitled_consumer(&self, request: &SentRequest, until: Duration) -> Option<String> {
        let record = request.api_key.as_ref().and_then(|key| self.consumers.keys.get(key))?;
        let is_in_force = record.acknowledged.is_some_and(|at| request.sent > at + APPLIED);
        let is_doubtful = record.maybe_removed_since.is_some_and(|at| until >= at);
        (is_in_force && !is_doubtful).then(|| record.consumer.clone())
    }

    /// Returns the API key that a request was sent with.
    pub(crate) fn api_key_of(&self, label: &str) -> Option<&str> {
        self.consumers.sent.get(label).and_then(|request| request.api_key.as_deref())
    }

    /// Checks what an instance that runs a request was told of its consumer.
    pub fn ran_for_consumer(&mut self, now: Duration, label: &str, seen: &SeenByInstance) {
        let Some(request) = self.consumers.sent.get(label).cloned() else { return };
        if seen.has_api_key {
            self.report_violation(now, format!("{label}: an instance was shown the API key"));
        }
        let key = request.api_key.as_ref().and_then(|key| self.consumers.keys.get(key));
        let holder = key.map(|record| record.consumer.clone());
        let removed_at = key.and_then(|record| record.removed_at);
        let told_consumer = seen.consumer.clone();
        let expected = holder.as_deref().map(short_name);
        if told_consumer.is_some() && told_consumer.as_deref() != expected {
            self.report_violation(now, format!("{label} of {holder:?} ran as {told_consumer:?}"));
        }
        let is_late = removed_at.is_some_and(|at| request.sent > at + APPLIED);
        if told_consumer.is_some() && is_late {
            self.report_violation(
                now,
                format!("{label} ran with a key removed at {removed_at:?}, sent at {:?}", request.sent),
            );
        }
        if told_consumer.is_none() && !request.is_public {
            self.report_violation(now, format!("{label} ran without a consumer, its key belongs to {holder:?}'s"));
        }
        if told_consumer.is_none() && self.entitled_consumer(&request, now).is_some() {
            self.report_violation(now, format!("{label} of {holder:?} ran as nobody's"));
        }
        let consumer = holder.filter(|_| told_consumer.is_some()).unwrap_or_default();
        self.check_operation_run(now, label, &consumer, &request);
        if self.consumers.ran.insert(label.to_owned()) {
            self.check_rate_limit(now, &consumer, request.sent);
        }
    }

    /// Records that a request was denied, or answered that the route doesn't exist.
    pub fn denied(&mut self, now: Duration, label: &str, status: u16) {
        let Some(request) = self.consumers.sent.get(label).cloned() else { return };
        if self.consumers.ran.contains(label) {
            self.report_violation(now, format!("{label} was answered {status} though it ran"));
        }
        let is_founded = self.consumers.first_acknowledged_at.is_some_and(|at| request.sent > at + APPLIED);
        let is_open = request.is_public && is_founded;
        if is_open || self.entitled_consumer(&request, now).is_some() {
            self.consumers.denied += 1;
            let (denied, asked) = (self.consumers.denied, self.consumers.asked);
            if denied > MAX_DENIED + asked / DENIED_SHARE {
                self.report_violation(
                    now,
                    format!("{denied} of {asked} requests denied though entitled, the last {label}, {status}"),
                );
            }
        }
    }
}

fn is_held(held: &[KeyHolder], key: &str) -> bool {
    held.iter().any(|holder| holder.api_key == key)
}

fn short_name(consumer: &str) -> &str {
    consumer.split_once('/').map_or(consumer, |(_, name)| name)
}
