//! Token bucket for a granter's share of a consumer's limit.

use crate::limits::GrantPolicy;
use std::time::Duration;

/// Shortest and longest time after which a router may request credits again that were not granted.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Token bucket whose tokens are credits.
#[derive(Debug)]
pub(crate) struct GrantBucket {
    rate_per_s: f64,
    capacity: f64,
    level: f64,
    /// Credits that were requested and not granted, minus the refill since then.
    unmet: f64,
    refilled_at: Duration,
}

impl GrantBucket {
    /// Creates a bucket that is refilled from `start` on. It does not start full, since the credits granted before by
    /// other routers or by an earlier incarnation are unknown.
    pub(crate) fn new(start: Duration, policy: &GrantPolicy, share: f64) -> GrantBucket {
        let (rate_per_s, capacity) = (policy.rate_per_s * share, policy.capacity * share);
        GrantBucket { rate_per_s, capacity, level: policy.initial * share, unmet: 0.0, refilled_at: start }
    }

    /// Refills the bucket by its old share up to `now`, and uses the new share from then on.
    pub(crate) fn with_share(mut self, now: Duration, policy: &GrantPolicy, share: f64) -> GrantBucket {
        self.refill(now);
        let level = self.level.min(policy.capacity * share);
        GrantBucket { level, unmet: self.unmet, ..GrantBucket::new(now, policy, share) }
    }

    pub(crate) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Grants as many of the requested credits as are available.
    pub(crate) fn grant(&mut self, now: Duration, requested: u32) -> u32 {
        self.refill(now);
        let granted = requested.min(self.level as u32);
        self.level -= f64::from(granted);
        self.unmet =
            (self.unmet + f64::from(requested - granted)).min(self.rate_per_s * RETRY_AFTER_RANGE.1.as_secs_f64());
        granted
    }

    /// Returns the time after which a router may request more: when the refill also covers what other routers were
    /// refused.
    pub(crate) fn retry_after(&self) -> Duration {
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let wait_s = self.unmet.max(1.0 - self.level) / self.rate_per_s;
        Duration::try_from_secs_f64(wait_s).unwrap_or(longest).clamp(shortest, longest)
    }

    fn refill(&mut self, now: Duration) {
        let refilled = self.rate_per_s * now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + refilled).min(self.capacity);
        self.unmet = (self.unmet - refilled).max(0.0);
    }
}
