//! What consumers may use, by how much the fleet may err, and how both are dealt out.

use std::collections::BTreeMap;
use std::time::Duration;

/// The part of the allowed error that credits may take by being used late.
const LATE_USE_FRACTION: f64 = 0.4;
/// The part of the allowed error that new buckets hold together: a consumer with few requests a second would else
/// wait for long after its granters restarted.
const INITIAL_FRACTION: f64 = 0.1;
/// The part of the allowed error that is kept for new buckets, of two restarts of each granter in a window, or of one
/// and of what a lease by peers that outlasts a membership and limits that reach routers one after the other add.
const RESERVED_FRACTION: f64 = 0.2;
/// The shortest and the longest time for which a credit is valid.
const CREDIT_LIFETIME_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
/// A granter deals at least so many requests a second, where there are more than `MIN_SHARDS`.
const MIN_RATE_PER_SHARD: f64 = 8.0;
/// A granter's bucket holds at least so many requests.
const MIN_CAPACITY_PER_SHARD: f64 = 1.5;
/// With one granter of two lost, a consumer keeps half of its rate.
const MIN_SHARDS: f64 = 3.0;
/// With one granter of eight lost, a consumer keeps more than its usual if that is two thirds of its rate.
const MAX_SHARDS: f64 = 4.0;

/// Names a consumer: the hash of its name, the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConsumerId(pub u64);

/// What one consumer may use over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConsumerLimit {
    /// Requests a second; 0 or less for no limit.
    pub rate_per_s: f64,
    /// Requests besides, in any window.
    pub burst: f64,
}

impl ConsumerLimit {
    /// Whether there is a limit at all.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// The limits in force. Consumers that are not listed have none.
pub type QuotaLimits = BTreeMap<ConsumerId, ConsumerLimit>;

/// By how much all routers together may go beyond a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window in which requests are counted.
    pub window: Duration,
    /// The part of the limit by which a window's count may be over it.
    pub overrun: f64,
    /// Requests by which it may be over it besides.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { window: Duration::from_secs(5), overrun: 0.1, slack: 20.0 }
    }
}

impl QuotaBounds {
    /// What a consumer may use in a window by its limit alone.
    pub fn limit_in_window(&self, limit: ConsumerLimit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }

    /// The requests in a window by which the fleet may err.
    pub fn allowance(&self, limit: ConsumerLimit) -> f64 {
        self.limit_in_window(limit) * self.overrun + self.slack
    }

    /// The most requests in any window.
    pub fn max_in_window(&self, limit: ConsumerLimit) -> f64 {
        self.limit_in_window(limit) + self.allowance(limit)
    }
}

/// How one consumer's limit is dealt out over all granters together, so that in any window of length `w`
/// `rate_per_s * (w + credit_lifetime) + capacity` is within what is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantPolicy {
    /// Requests a second by which the buckets are refilled.
    pub(crate) rate_per_s: f64,
    /// What the buckets hold at most.
    pub(crate) capacity: f64,
    /// What new buckets hold.
    pub(crate) initial: f64,
    /// For how long a credit is valid, from when it was requested.
    pub(crate) credit_lifetime: Duration,
    /// Among how many granters the limit is divided.
    pub(crate) shards: usize,
}

impl GrantPolicy {
    pub(crate) fn new(bounds: &QuotaBounds, limit: ConsumerLimit) -> GrantPolicy {
        let (shortest, longest) = CREDIT_LIFETIME_RANGE;
        let lifetime_s = bounds.allowance(limit) * LATE_USE_FRACTION / limit.rate_per_s;
        let credit_lifetime = Duration::try_from_secs_f64(lifetime_s).unwrap_or(longest).clamp(shortest, longest);
        let granted_in_window = bounds.limit_in_window(limit) + bounds.allowance(limit) * (1.0 - RESERVED_FRACTION);
        let span_s = (bounds.window + credit_lifetime).as_secs_f64();
        // Less than one request could never be granted: where so little is allowed, the rate gives way.
        let capacity = (granted_in_window - limit.rate_per_s * span_s).max(1.0);
        let rate_per_s = limit.rate_per_s.min((granted_in_window - capacity).max(0.0) / span_s);
        let shards = (rate_per_s / MIN_RATE_PER_SHARD).ceil().clamp(MIN_SHARDS, MAX_SHARDS);
        let shards = shards.min((capacity / MIN_CAPACITY_PER_SHARD).floor()).max(1.0) as usize;
        let initial = (bounds.allowance(limit) * INITIAL_FRACTION).min(capacity);
        GrantPolicy { rate_per_s, capacity, initial, credit_lifetime, shards }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(260.0, 260.0, 0.1, 20.0; "a large one")]
    #[test_case(260.0, 0.0, 0.1, 20.0; "a large one without a burst")]
    #[test_case(3.3, 3.3, 0.1, 20.0; "a small one")]
    #[test_case(0.01, 0.0, 0.1, 20.0; "a tiny one")]
    #[test_case(50.0, 10.0, 0.0, 0.0; "no error allowed")]
    #[test_case(50.0, 0.0, 0.0, 2.0; "hardly any error allowed")]
    fn credits_granted_in_a_window_stay_within_the_allowed_maximum(
        rate_per_s: f64,
        burst: f64,
        overrun: f64,
        slack: f64,
    ) {
        let bounds = QuotaBounds { overrun, slack, ..QuotaBounds::default() };
        let limit = ConsumerLimit { rate_per_s, burst };
        let policy = GrantPolicy::new(&bounds, limit);
        let granted = policy.rate_per_s * (bounds.window + policy.credit_lifetime).as_secs_f64() + policy.capacity;
        assert!(granted <= bounds.max_in_window(limit) + 1e-6, "{policy:?}: {granted}");
        assert!(policy.capacity >= 1.0 && policy.rate_per_s > 0.0, "{policy:?}");
    }
}
