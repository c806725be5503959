//! A registry's metrics as OpenMetrics text, derived from its status.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use serde_json::Value;

/// Gauges: name, help text and JSON pointer to the value in the status.
const GAUGES: [(&str, &str, &str); 11] = [
    ("view_number", "Number of the chain's view", "/view/number"),
    ("entries_synced", "Newest log entry on this disk", "/positions/synced"),
    ("entries_committed", "Newest log entry known to be committed", "/positions/committed"),
    ("revision_active", "Revision of the configuration in force", "/revision/active"),
    ("revision_latest", "Newest revision taken", "/revision/latest"),
    ("step_active", "Configuration epoch in force", "/revision/active_step"),
    ("roster_number", "Number of the membership", "/roster"),
    ("claims", "Run-once claims kept", "/claims"),
    ("deferred", "Deferred requests kept", "/deferred"),
    ("waits", "Proposals that are not committed", "/waits"),
    ("jobs", "Requests of routers that wait for a round", "/jobs"),
];

/// Gauges that count the elements of a list in the status: name, help text and JSON pointer to the list.
const COUNTS: [(&str, &str, &str); 2] = [
    ("members", "Member routers", "/members"),
    ("activation_waits_for_routers", "Routers that a staged configuration epoch waits for", "/pending/routers"),
];

/// Load of the control thread's inbox.
#[derive(Clone, Copy, Debug)]
pub struct InboxLoad {
    /// Number of waiting messages.
    pub depth: usize,
    /// Number of messages refused since the start because the inbox was full.
    pub refused: u64,
}

/// Renders the metrics of a status page. Values that the page lacks count as zero.
pub fn metrics_text(status: &Value, inbox: InboxLoad) -> String {
    let mut registry = Registry::with_prefix("heronlink_registry");
    for (name, help, at) in GAUGES {
        let value = status.pointer(at).and_then(Value::as_i64).unwrap_or_default();
        add_gauge(&mut registry, name, help, value);
    }
    for (name, help, at) in COUNTS {
        let count = status.pointer(at).and_then(Value::as_array).map_or(0, Vec::len);
        add_gauge(&mut registry, name, help, count as i64);
    }
    let waited_ms = status.pointer("/pending/waited_ms").and_then(Value::as_i64).unwrap_or_default();
    add_gauge(&mut registry, "activation_wait_ms", "How long a staged epoch has waited at this tail", waited_ms);
    let is_leaving = status.get("leaving").is_some_and(|leaving| !leaving.is_null());
    add_gauge(
        &mut registry,
        "leaving",
        "1 while a planned stop waits until the others can do without",
        is_leaving.into(),
    );
    add_gauge(&mut registry, "inbox_depth", "Messages waiting for the control thread", inbox.depth as i64);
    let invalid = status.pointer("/invalid_changes").and_then(Value::as_u64).unwrap_or_default();
    add_counter(&mut registry, "invalid_changes", "Changes of the configuration refused as invalid", invalid);
    let refused = "Messages refused because the control thread's inbox was full";
    add_counter(&mut registry, "inbox_refused", refused, inbox.refused);
    let mut page = String::new();
    text::encode(&mut page, &registry).expect("writing to a string succeeds");
    page
}

fn add_gauge(registry: &mut Registry, name: &str, help: &str, value: i64) {
    let gauge = Gauge::<i64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

fn add_counter(registry: &mut Registry, name: &str, help: &str, count: u64) {
    let counter = Counter::<u64>::default();
    counter.inc_by(count);
    registry.register(name, help, counter);
}

#[cfg(test)]
#[path = "registry_metrics_tests.rs"]
mod registry_metrics_tests;
