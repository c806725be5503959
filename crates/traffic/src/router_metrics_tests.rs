//! Names, labels and values of a router's metrics.

use super::RouterMetrics;
use serde_json::json;

#[test]
fn metrics_keep_their_names_and_label_refusals_and_blocked_time() {
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
    let text = RouterMetrics::from_status(&page).encode();
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
fn values_missing_in_the_status_are_zero() {
    let text = RouterMetrics::from_status(&json!({})).encode();
    assert!(text.contains("heronlink_router_front_refusals_total 0\n"), "{text}");
}

#[test]
fn limits_of_consumers_are_shown_with_their_use() {
    let ada = json!({"limit_per_s": 12.5, "used": 40, "arrived": 44, "refused": 3});
    let buckets = json!([{"up_to_ms": 2, "count": 8}, {"up_to_ms": 5, "count": 11}]);
    let quota = json!({
        "refused_over_limit": 3, "waiting": 1, "requests": 15, "timeouts": 4, "expired_grants": 5,
        "silent_granters": 2, "round_trips": {"buckets": buckets, "count": 12, "sum_ms": 90},
        "granter": {
            "requests": 20, "granted": 17, "refused": 6, "not_granting": 9, "consumers": 7, "is_settled": 1,
        },
        "consumers": {"t/ada": ada},
    });
    let text = RouterMetrics::from_status(&json!({"traffic": {"quota": quota}})).encode();
    for line in [
        "heronlink_router_quota_refused_total 3",
        "heronlink_router_quota_waiting 1",
        "heronlink_router_quota_requests_total 15",
        "heronlink_router_quota_timeouts_total 4",
        "heronlink_router_quota_expired_grants_total 5",
        "heronlink_router_quota_silent_granters 2",
        "heronlink_router_quota_answers_up_to_total{up_to_ms=\"5\"} 11",
        "heronlink_router_quota_answers_total 12",
        "heronlink_router_quota_answers_milliseconds_total 90",
        "heronlink_router_quota_granted_total 17",
        "heronlink_router_quota_not_granted_total 6",
        "heronlink_router_quota_not_granting_total 9",
        "heronlink_router_quota_granted_consumers 7",
        "heronlink_router_quota_granters_agree 1",
        "heronlink_router_consumer_used_total{consumer=\"t/ada\"} 40",
        "heronlink_router_consumer_refused_total{consumer=\"t/ada\"} 3",
        "heronlink_router_consumer_limit{consumer=\"t/ada\"} 12.5",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn memory_is_shown_by_kind() {
    let answers = json!({"capacity_bytes": 800, "reserved_bytes": 300, "shortages": 2});
    let page = json!({"traffic": {"memory": {"arriving_answers": answers}, "shed_connections": 4}});
    let text = RouterMetrics::from_status(&page).encode();
    for line in [
        "heronlink_router_memory_capacity_bytes{kind=\"arriving_answers\"} 800",
        "heronlink_router_memory_reserved_bytes{kind=\"arriving_answers\"} 300",
        "heronlink_router_memory_shortages_total{kind=\"arriving_answers\"} 2",
        "heronlink_router_shed_connections_total 4",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}
