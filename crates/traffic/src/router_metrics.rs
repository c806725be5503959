//! A router's metrics as OpenMetrics text, made from its status.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::Value;
use std::sync::atomic::AtomicU64;

/// Gauges, by name, help and where their value stands in the status.
const GAUGES: [(&str, &str, &str); 15] = [
    ("revision", "Revision of the configuration in force", "/revision"),
    ("step", "Configuration epoch in force", "/step"),
    ("staged", "Configuration epoch staged", "/staged"),
    ("roster", "Number of the membership", "/roster"),
    ("front_tasks", "Requests of callers that are open at this front", "/traffic/front"),
    ("home_tasks", "Requests that this owner has", "/traffic/tasks"),
    ("home_running", "Requests of this owner that are on instances", "/traffic/running"),
    ("quota_run_ahead", "Requests admitted that are not confirmed as counted", "/traffic/quota/run_ahead"),
    ("quota_totals_age_milliseconds", "Age of the newest word on all routers' counts", "/traffic/quota/totals_age_ms"),
    ("quota_silent_members", "Routers this one adds up for and has not heard lately", "/traffic/quota/silent_members"),
    (
        "quota_consumers_over_limit",
        "Consumers over their limits, where this router adds up",
        "/traffic/quota/over_limit",
    ),
    ("keyed_running", "Operations under a key that are under way at this owner", "/traffic/keyed/running"),
    ("keyed_answers", "Answers of operations under a key that this owner has in memory", "/traffic/keyed/answers"),
    ("keyed_answer_bytes", "What these answers take", "/traffic/keyed/answer_bytes"),
    ("inbox_depth", "Messages waiting for the traffic thread", "/traffic/inbox"),
];

/// Counters, by name, help and where their value stands in the status.
const COUNTERS: [(&str, &str, &str); 14] = [
    ("front_refusals", "Requests that this front refused", "/traffic/front_refusals"),
    ("quota_refused", "Requests refused beyond their consumers' limits", "/traffic/quota/refused_over_limit"),
    ("quota_refused_run_ahead", "Requests refused since too little is known", "/traffic/quota/refused_run_ahead"),
    ("quota_aggregator_changes", "Turns to another router that adds up", "/traffic/quota/aggregator_changes"),
    ("quota_merges", "Reports of routers merged here", "/traffic/quota/merges"),
    ("quota_rejected_reports", "Reports or counts refused here", "/traffic/quota/rejected_reports"),
    ("home_refusals", "Requests that this owner answered as not run", "/traffic/refusals"),
    ("keyed_granted", "Claims of keys that the registries granted", "/traffic/keyed/granted"),
    ("keyed_released", "Claims given back, their requests sent nowhere", "/traffic/keyed/released"),
    ("keyed_from_memory", "Repeats answered from this owner's memory", "/traffic/keyed/from_memory"),
    (
        "keyed_from_registries",
        "Repeats answered with what the registries had recorded",
        "/traffic/keyed/from_registries",
    ),
    ("keyed_waited", "Repeats that waited for an operation under way", "/traffic/keyed/waited"),
    ("keyed_refused_as_running", "Repeats told that their key is in work", "/traffic/keyed/refused_as_running"),
    ("keyed_unknown", "Repeats whose first lost its owner unanswered", "/traffic/keyed/unknown"),
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: String,
    deadline: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConsumerLabel {
    consumer: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BlockLabel {
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FunctionBlockLabels {
    function: String,
    cause: String,
}

type Seconds = Counter<f64, AtomicU64>;

/// The metrics of one moment.
pub struct RouterMetrics {
    registry: Registry,
}

impl RouterMetrics {
    /// Reads them from a status page; what is missing there counts as zero.
    pub fn of(page: &Value) -> RouterMetrics {
        let mut registry = Registry::with_prefix("heronlink_router");
        for (name, help, at) in GAUGES {
            let gauge = Gauge::<i64>::default();
            gauge.set(page.pointer(at).and_then(Value::as_i64).unwrap_or_default());
            registry.register(name, help, gauge);
        }
        for (name, help, at) in COUNTERS {
            let counter = Counter::<u64>::default();
            counter.inc_by(page.pointer(at).and_then(Value::as_u64).unwrap_or_default());
            registry.register(name, help, counter);
        }
        let mut metrics = RouterMetrics { registry };
        metrics.outcomes(&page["traffic"]["outcomes"]);
        metrics.refusals(&page["traffic"]["refused"]);
        metrics.blocked(&page["traffic"]);
        metrics.consumers(&page["traffic"]["quota"]["consumers"]);
        metrics
    }

    fn consumers(&mut self, consumers: &Value) {
        let (used, refused) =
            (Family::<ConsumerLabel, Counter>::default(), Family::<ConsumerLabel, Counter>::default());
        let limit = Family::<ConsumerLabel, Gauge<f64, AtomicU64>>::default();
        for (consumer, shown) in consumers.as_object().into_iter().flatten() {
            let label = ConsumerLabel { consumer: consumer.clone() };
            used.get_or_create(&label).inc_by(shown["used"].as_u64().unwrap_or_default());
            refused.get_or_create(&label).inc_by(shown["refused"].as_u64().unwrap_or_default());
            limit.get_or_create(&label).set(shown["limit_per_s"].as_f64().unwrap_or_default());
        }
        let registry = &mut self.registry;
        registry.register("consumer_used", "Requests of a consumer admitted here and not given back", used);
        registry.register("consumer_refused", "Requests of a consumer refused here by its limit", refused);
        registry.register("consumer_limit", "Requests a second that a consumer may make at all routers", limit);
    }

    fn outcomes(&mut self, outcomes: &Value) {
        let family = Family::<OutcomeLabel, Counter>::default();
        for (outcome, count) in outcomes.as_object().into_iter().flatten() {
            let label = OutcomeLabel { outcome: outcome.clone() };
            family.get_or_create(&label).inc_by(count.as_u64().unwrap_or_default());
        }
        self.registry.register("outcomes", "Answers to callers by outcome", family);
    }

    fn refusals(&mut self, refused: &Value) {
        let family = Family::<RefusalLabels, Counter>::default();
        for (reason, kinds) in refused.as_object().into_iter().flatten() {
            for (deadline, count) in kinds.as_object().into_iter().flatten() {
                let labels = RefusalLabels { reason: reason.clone(), deadline: deadline.clone() };
                family.get_or_create(&labels).inc_by(count.as_u64().unwrap_or_default());
            }
        }
        let help = "Requests that this owner refused by itself; deadline is `continued` for nested calls and retries";
        self.registry.register("owner_refused", help, family);
    }

    fn blocked(&mut self, traffic: &Value) {
        let total = Family::<BlockLabel, Seconds>::default();
        for (cause, ms) in traffic["blocked_ms"].as_object().into_iter().flatten() {
            total.get_or_create(&BlockLabel { cause: cause.clone() }).inc_by(seconds(ms));
        }
        let by_function = Family::<FunctionBlockLabels, Seconds>::default();
        for (function, status) in traffic["functions"].as_object().into_iter().flatten() {
            for (cause, ms) in status["blocked_ms"].as_object().into_iter().flatten() {
                let labels = FunctionBlockLabels { function: function.clone(), cause: cause.clone() };
                by_function.get_or_create(&labels).inc_by(seconds(ms));
            }
        }
        let registry = &mut self.registry;
        let help = "Time that queues of functions were not sent on, by cause";
        registry.register_with_unit("queue_blocked", help, Unit::Seconds, total);
        let help = "The same by function, for the functions that this router owns now";
        registry.register_with_unit("function_queue_blocked", help, Unit::Seconds, by_function);
    }

    /// The text that a scraper reads.
    pub fn encode(&self) -> String {
        let mut lines = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut lines, &self.registry);
        lines
    }
}

fn seconds(ms: &Value) -> f64 {
    ms.as_f64().unwrap_or_default() / 1000.0
}

#[cfg(test)]
#[path = "router_metrics_tests.rs"]
mod tests;
