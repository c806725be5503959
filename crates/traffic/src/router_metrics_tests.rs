//! What a scraper reads of a router.

use super::RouterMetrics;
use serde_json::json;

#[test]
fn names_that_dashboards_know_stay_and_refusals_and_blocked_time_have_labels() {
    let page = json!({
        "revision": 7, "step": 3, "staged": 4, "roster": 9,
        "traffic": {
            "front": 5, "front_refusals": 11, "tasks": 6, "running": 2, "refusals": 13, "inbox": 1,
            "outcomes": {"answered": 20},
            "refused": {"expected_wait": {"own": 3, "continued": 4}},
            "blocked_ms": {"no_free_slot": 1500},
            "functions": {"t/f": {"blocked_ms": {"rejection_risk": 250}}},
        },
    });
    let text = RouterMetrics::of(&page).encode();
    for line in [
        "heronlink_router_revision 7",
        "heronlink_router_step 3",
        "heronlink_router_staged 4",
        "heronlink_router_roster 9",
        "heronlink_router_front_tasks 5",
        "heronlink_router_front_refusals_total 11",
        "heronlink_router_home_tasks 6",
        "heronlink_router_home_running 2",
        "heronlink_router_home_refusals_total 13",
        "heronlink_router_inbox_depth 1",
        "heronlink_router_outcomes_total{outcome=\"answered\"} 20",
        "heronlink_router_owner_refused_total{reason=\"expected_wait\",deadline=\"own\"} 3",
        "heronlink_router_owner_refused_total{reason=\"expected_wait\",deadline=\"continued\"} 4",
        "heronlink_router_queue_blocked_seconds_total{cause=\"no_free_slot\"} 1.5",
        "heronlink_router_function_queue_blocked_seconds_total{function=\"t/f\",cause=\"rejection_risk\"} 0.25",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn a_status_without_figures_gives_zeros() {
    let text = RouterMetrics::of(&json!({})).encode();
    assert!(text.contains("heronlink_router_front_refusals_total 0\n"), "{text}");
}

#[test]
fn limits_of_consumers_are_shown_with_what_is_used_of_them() {
    let ada =
        json!({"limit_per_s": 12.5, "used": 40, "refused": 3, "run_ahead": 2, "level": -1.5, "demand_per_s": 9.0});
    let quota = json!({
        "refused_over_limit": 3, "refused_run_ahead": 1, "run_ahead": 2, "aggregator_changes": 4,
        "totals_age_ms": 250, "merges": 17, "rejected_reports": 5, "silent_members": 6, "over_limit": 7,
        "consumers": {"t/ada": ada},
    });
    let text = RouterMetrics::of(&json!({"traffic": {"quota": quota}})).encode();
    for line in [
        "heronlink_router_quota_refused_total 3",
        "heronlink_router_quota_refused_run_ahead_total 1",
        "heronlink_router_quota_run_ahead 2",
        "heronlink_router_quota_aggregator_changes_total 4",
        "heronlink_router_quota_totals_age_milliseconds 250",
        "heronlink_router_quota_merges_total 17",
        "heronlink_router_quota_rejected_reports_total 5",
        "heronlink_router_quota_silent_members 6",
        "heronlink_router_quota_consumers_over_limit 7",
        "heronlink_router_consumer_used_total{consumer=\"t/ada\"} 40",
        "heronlink_router_consumer_refused_total{consumer=\"t/ada\"} 3",
        "heronlink_router_consumer_limit{consumer=\"t/ada\"} 12.5",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}
