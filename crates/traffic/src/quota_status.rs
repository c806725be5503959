//! Status of consumers' limits at one router: what it admitted and refused, how fast its granters answer, and what it
//! grants itself.

use crate::front::Front;
use crate::front_quota::FrontQuota;
use quota::{ROUND_TRIP_BOUNDS, RoundTrips};
use serde_json::{Map, Value, json};
use std::cmp::Reverse;
use std::time::Duration;

/// Maximum number of consumers in the status: those with the most requests at this router.
const MAX_CONSUMERS_SHOWN: usize = 40;

impl Front {
    /// Returns the limits, their use and statistics of the granting of credits, for operators.
    pub fn quota_status(&self, now: Duration) -> Value {
        let (meter, granter) = (self.quota.meter.statistics(now), self.quota.granter.statistics());
        json!({
            "refused_over_limit": meter.refused_over_limit, "waiting": self.quota.waiting(),
            "requests": meter.requests, "timeouts": meter.timeouts, "expired_grants": meter.expired_grants,
            "silent_granters": meter.silent_granters, "round_trips": round_trips(&meter.round_trips),
            "granter": {
                "requests": granter.requests, "granted": granter.granted, "refused": granter.refused,
                "not_granting": granter.not_granting, "consumers": granter.consumers,
                "is_settled": u8::from(granter.is_settled),
            },
            "consumers": consumers(&self.quota),
        })
    }
}

fn consumers(quota: &FrontQuota) -> Map<String, Value> {
    let used = quota.names.iter().filter_map(|(id, name)| Some((id, name, quota.meter.usage(*id)?)));
    let mut used: Vec<_> = used.filter(|(.., usage)| usage.arrived > 0).collect();
    used.sort_by_key(|(.., usage)| Reverse(usage.arrived));
    let shown = used.into_iter().take(MAX_CONSUMERS_SHOWN).map(|(id, name, usage)| {
        let limit = quota.limits.get(id).map_or(0.0, |limit| limit.rate_per_s);
        let status = json!({
            "limit_per_s": limit, "used": usage.admitted - usage.refunded, "arrived": usage.arrived,
            "repeated": usage.extra_attempts, "refused": usage.refused,
        });
        (name.clone(), status)
    });
    shown.collect()
}

/// Returns the round-trip times of granters' answers as the cumulative counts of a histogram.
fn round_trips(measured: &RoundTrips) -> Value {
    let mut cumulative = 0;
    let buckets: Vec<Value> = ROUND_TRIP_BOUNDS
        .iter()
        .zip(measured.counts)
        .map(|(bound, count)| {
            cumulative += count;
            json!({ "up_to_ms": bound.as_millis() as u64, "count": cumulative })
        })
        .collect();
    let count: u64 = measured.counts.iter().sum();
    json!({ "buckets": buckets, "count": count, "sum_ms": measured.sum.as_millis() as u64 })
}
