//! Names of a registry's metrics, which operators' dashboards rely on.

use super::*;
use serde_json::json;

#[test]
fn every_metric_has_its_documented_name() {
    let status = json!({
        "view": {"number": 4}, "positions": {"synced": 9, "committed": 8},
        "revision": {"active": 2, "latest": 3, "active_step": 5}, "roster": 6, "claims": 1, "deferred": 2, "invalid_changes": 12,
        "waits": 3, "jobs": 4, "members": [{}, {}], "leaving": {"waits_for": "successor"}, "pending": {"routers": ["a", "b", "c"], "waited_ms": 2500},
    });
    let page = metrics_text(&status, InboxLoad { depth: 7, refused: 11 });
    for line in [
        "view_number 4",
        "entries_synced 9",
        "entries_committed 8",
        "revision_active 2",
        "revision_latest 3",
        "step_active 5",
        "roster_number 6",
        "claims 1",
        "deferred 2",
        "waits 3",
        "jobs 4",
        "members 2",
        "activation_waits_for_routers 3",
        "activation_wait_ms 2500",
        "leaving 1",
        "inbox_depth 7",
        "invalid_changes_total 12",
        "inbox_refused_total 11",
    ] {
        assert!(page.lines().any(|found| found == format!("heronlink_registry_{line}")), "{line} in {page}");
    }
    assert!(page.ends_with("# EOF\n"));
}

#[test]
fn missing_status_values_count_as_zero() {
    let page = metrics_text(&Value::Null, InboxLoad { depth: 0, refused: 0 });
    assert!(page.contains("heronlink_registry_members 0\n"), "{page}");
}
