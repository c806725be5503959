//! A router's metrics in OpenMetrics format, built from its status page.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::Value;
use std::sync::atomic::AtomicU64;

/// Gauges: name, help text and JSON pointer to the value in the status page.
const GAUGES: [(&str, &str, &str); 15] = [
    ("revision", "Revision of the configuration in force", "/revision"),
    ("step", "Configuration epoch in force", "/step"),
    ("staged", "Configuration epoch staged", "/staged"),
    ("roster", "Number of the membership", "/roster"),
    ("front_tasks", "Requests of callers that are open at this front", "/traffic/front"),
    ("home_tasks", "Requests that this owner has", "/traffic/tasks"),
    ("home_running", "Requests of this owner that are on instances", "/traffic/running"),
    ("quota_waiting", "Requests that wait for a credit of their consumer's limit", "/traffic/quota/waiting"),
    ("quota_silent_granters", "Granters that do not answer this router at present", "/traffic/quota/silent_granters"),
    (
        "quota_granted_consumers",
        "Consumers whose limits this router deals out in part",
        "/traffic/quota/granter/consumers",
    ),
    (
        "quota_granters_agree",
        "Whether all granters are known to divide limits by the same membership",
        "/traffic/quota/granter/is_settled",
    ),
    ("keyed_running", "Operations under a key that are under way at this owner", "/traffic/keyed/running"),
    ("keyed_answers", "Answers of operations under a key that this owner has in memory", "/traffic/keyed/answers"),
    ("keyed_answer_bytes", "What these answers take", "/traffic/keyed/answer_bytes"),
    ("inbox_depth", "Messages waiting for the traffic thread", "/traffic/inbox"),
];

/// Counters: name, help text and JSON pointer to the value in the status page.
const COUNTERS: [(&str, &str, &str); 17] = [
    ("front_refusals", "Requests that this front refused", "/traffic/front_refusals"),
    ("shed_connections", "Connections of idle or slow callers that gave way to others", "/traffic/shed_connections"),
    ("quota_refused", "Requests refused beyond their consumers' limits", "/traffic/quota/refused_over_limit"),
    ("quota_requests", "Requests for credits sent", "/traffic/quota/requests"),
    ("quota_timeouts", "Requests for credits that no granter answered", "/traffic/quota/timeouts"),
    ("quota_expired_grants", "Grants that came after their credits had expired", "/traffic/quota/expired_grants"),
    ("quota_granted", "Credits granted here", "/traffic/quota/granter/granted"),
    ("quota_not_granted", "Credits asked for here and not granted", "/traffic/quota/granter/refused"),
    (
        "quota_not_granting",
        "Requests for credits that came while this router granted none",
        "/traffic/quota/granter/not_granting",
    ),
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
struct UpToLabel {
    up_to_ms: u64,
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

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemoryLabel {
    kind: String,
}

type Seconds = Counter<f64, AtomicU64>;

/// Snapshot of a router's metrics.
pub struct RouterMetrics {
    registry: Registry,
}

impl RouterMetrics {
    /// Reads the metrics from a status page. Missing values count as zero.
    pub fn from_status(page: &Value) -> RouterMetrics {
        let mut registry = Registry::with_prefix("heronlink_router");
        for (name, help, path) in GAUGES {
            let gauge = Gauge::<i64>::default();
            gauge.set(page.pointer(path).and_then(Value::as_i64).unwrap_or_default());
            registry.register(name, help, gauge);
        }
        for (name, help, path) in COUNTERS {
            let counter = Counter::<u64>::default();
            counter.inc_by(page.pointer(path).and_then(Value::as_u64).unwrap_or_default());
            registry.register(name, help, counter);
        }
        let mut metrics = RouterMetrics { registry };
        metrics.outcomes(&page["traffic"]["outcomes"]);
        metrics.refusals(&page["traffic"]["refused"]);
        metrics.blocked(&page["traffic"]);
        metrics.consumers(&page["traffic"]["quota"]["consumers"]);
        metrics.memory(&page["traffic"]["memory"]);
        metrics.quota_round_trips(&page["traffic"]["quota"]["round_trips"]);
        metrics
    }

    fn consumers(&mut self, consumers: &Value) {
        let (used, refused) =
            (Family::<ConsumerLabel, Counter>::default(), Family::<ConsumerLabel, Counter>::default());
        let limit = Family::<ConsumerLabel, Gauge<f64, AtomicU64>>::default();
        for (consumer, usage) in consumers.as_object().into_iter().flatten() {
            let label = ConsumerLabel { consumer: consumer.clone() };
            used.get_or_create(&label).inc_by(usage["used"].as_u64().unwrap_or_default());
            refused.get_or_create(&label).inc_by(usage["refused"].as_u64().unwrap_or_default());
            limit.get_or_create(&label).set(usage["limit_per_s"].as_f64().unwrap_or_default());
        }
        let registry = &mut self.registry;
        registry.register("consumer_used", "Requests of a consumer admitted here and not given back", used);
        registry.register("consumer_refused", "Requests of a consumer refused here by its limit", refused);
        registry.register("consumer_limit", "Requests a second that a consumer may make at all routers", limit);
    }

    /// Registers the round-trip times of granters' answers, as the cumulative counts of a histogram.
    fn quota_round_trips(&mut self, round_trips: &Value) {
        let answers_up_to = Family::<UpToLabel, Counter>::default();
        for bucket in round_trips["buckets"].as_array().into_iter().flatten() {
            let label = UpToLabel { up_to_ms: bucket["up_to_ms"].as_u64().unwrap_or_default() };
            answers_up_to.get_or_create(&label).inc_by(bucket["count"].as_u64().unwrap_or_default());
        }
        let (count, sum) = (Counter::<u64>::default(), Counter::<u64>::default());
        count.inc_by(round_trips["count"].as_u64().unwrap_or_default());
        sum.inc_by(round_trips["sum_ms"].as_u64().unwrap_or_default());
        let registry = &mut self.registry;
        registry.register(
            "quota_answers_up_to",
            "Answers of granters that took no longer than `up_to_ms`",
            answers_up_to,
        );
        registry.register("quota_answers", "Answers of granters", count);
        registry.register("quota_answers_milliseconds", "What these answers took in all", sum);
    }

    fn memory(&mut self, budgets: &Value) {
        let (capacity, reserved) = (Family::<MemoryLabel, Gauge>::default(), Family::<MemoryLabel, Gauge>::default());
        let shortages = Family::<MemoryLabel, Counter>::default();
        for (kind, budget) in budgets.as_object().into_iter().flatten() {
            let label = MemoryLabel { kind: kind.clone() };
            capacity.get_or_create(&label).set(budget["capacity_bytes"].as_i64().unwrap_or_default());
            reserved.get_or_create(&label).set(budget["reserved_bytes"].as_i64().unwrap_or_default());
            shortages.get_or_create(&label).inc_by(budget["shortages"].as_u64().unwrap_or_default());
        }
        let registry = &mut self.registry;
        registry.register_with_unit(
            "memory_capacity",
            "Memory that requests or answers may take",
            Unit::Bytes,
            capacity,
        );
        registry.register_with_unit("memory_reserved", "Memory that they take", Unit::Bytes, reserved);
        registry.register("memory_shortages", "Requests and answers that found no free memory", shortages);
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

    /// Returns the text for a scraper.
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
