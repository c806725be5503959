//! Limits of consumers, the tolerated excess over them, and how granters divide both.

use std::collections::BTreeMap;
use std::time::Duration;

/// Fraction of the allowance for credits that are used late in their lifetime.
const LATE_USE_FRACTION: f64 = 0.4;
/// Fraction of the allowance that new buckets hold together. Without it, a consumer with few requests per second would
/// wait long after a restart of its granters.
const INITIAL_FRACTION: f64 = 0.1;
/// Fraction of the allowance that is reserved for new buckets. It covers two restarts of each granter in a window, or
/// one restart and what is added by a lease by peers that outlasts a membership and by limits that reach routers one
/// after the other.
const RESERVED_FRACTION: f64 = 0.2;
/// Shortest and longest lifetime of a credit.
const CREDIT_LIFETIME_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
/// Minimum rate of a granter in requests per second, if there are more than `MIN_SHARDS` granters.
const MIN_RATE_PER_SHARD: f64 = 8.0;
/// Minimum capacity of a granter's bucket in requests.
const MIN_CAPACITY_PER_SHARD: f64 = 1.5;
/// Minimum number of granters of a consumer, as far as the capacity suffices. With two, the loss of one granter would
/// halve a consumer's rate until another takes its place.
const MIN_SHARDS: f64 = 3.0;
/// Maximum number of granters of a consumer. More granters make each granter's part of a limit too small to serve the
/// usual load, which is about two thirds of the limit: eight refused 3% of it, although the loss of one of eight would
/// leave a consumer more than its usual load if that is at most two thirds of its rate.
const MAX_SHARDS: f64 = 4.0;

/// Identifies a consumer by the hash of its name, which is the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConsumerId(pub u64);

/// Limit of one consumer over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConsumerLimit {
    /// Requests per second; 0 or less means no limit.
    pub rate_per_s: f64,
    /// Additional requests in any window.
    pub burst: f64,
}

impl ConsumerLimit {
    /// Whether the consumer is limited.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// Limits in force by consumer. Consumers that are not listed have no limit.
pub type QuotaLimits = BTreeMap<ConsumerId, ConsumerLimit>;

/// Bounds on the excess over a limit, for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window in which requests are counted.
    pub window: Duration,
    /// Fraction of the limit by which the count in a window may exceed it.
    pub overrun: f64,
    /// Number of requests by which the count may exceed the limit in addition.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { window: Duration::from_secs(5), overrun: 0.1, slack: 20.0 }
    }
}

impl QuotaBounds {
    /// Returns the requests in a window that the limit itself permits.
    pub fn limit_in_window(&self, limit: ConsumerLimit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the requests in a window by which all routers together may exceed the limit.
    pub fn allowance(&self, limit: ConsumerLimit) -> f64 {
        self.limit_in_window(limit) * self.overrun + self.slack
    }

    /// Returns the maximum number of requests in any window.
    pub fn max_in_window(&self, limit: ConsumerLimit) -> f64 {
        self.limit_in_window(limit) + self.allowance(limit)
    }
}

/// Parameters by which all granters together grant one consumer's limit. In any window of length `w`,
/// `rate_per_s * (w + credit_lifetime) + capacity` stays within the allowed maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GrantPolicy {
    /// Refill rate of all buckets together, in requests per second.
    pub(crate) rate_per_s: f64,
    /// Capacity of all buckets together.
    pub(crate) capacity: f64,
    /// Initial level of new buckets, together.
    pub(crate) initial: f64,
    /// Lifetime of a credit, counted from the request for it.
    pub(crate) credit_lifetime: Duration,
    /// Number of granters that the limit is divided among.
    pub(crate) shards: usize,
}

impl GrantPolicy {
    pub(crate) fn new(bounds: &QuotaBounds, limit: ConsumerLimit) -> GrantPolicy {
        let (shortest, longest) = CREDIT_LIFETIME_RANGE;
        let lifetime_s = bounds.allowance(limit) * LATE_USE_FRACTION / limit.rate_per_s;
        let credit_lifetime = Duration::try_from_secs_f64(lifetime_s).unwrap_or(longest).clamp(shortest, longest);
        let granted_in_window = bounds.limit_in_window(limit) + bounds.allowance(limit) * (1.0 - RESERVED_FRACTION);
        let span_s = (bounds.window + credit_lifetime).as_secs_f64();
        // A capacity below one request would never grant anything, so the rate is reduced instead if so little is
        // allowed.
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
