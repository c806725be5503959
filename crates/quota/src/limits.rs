//! What consumers may use, and by how much the fleet may err.

use std::collections::BTreeMap;
use std::time::Duration;

/// Over so long a time what is left in a bucket is dealt out.
pub(crate) const DEAL_S: f64 = 1.5;
/// Over so long a time a debt is repaid; longer than reports and answers take, or the fleet would swing.
const REPAY_S: f64 = 0.75;
/// Of the slack, the part that a bucket holds besides its burst; the rest is for routers that run ahead.
const HELD_SLACK: f64 = 0.4;
/// Of the overrun, the part that it holds; routers run ahead by more, the larger the limit is.
const HELD_OVERRUN: f64 = 0.2;
/// Of the slack, the part that the bucket of an aggregator that begins anew holds.
const FIRST_SLACK: f64 = 0.25;

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
    pub fn most_in_window(&self, limit: ConsumerLimit) -> f64 {
        self.limit_in_window(limit) + self.allowance(limit)
    }

    /// What a consumer's bucket holds at most.
    pub(crate) fn capacity(&self, limit: ConsumerLimit) -> f64 {
        limit.burst + self.limit_in_window(limit) * self.overrun * HELD_OVERRUN + self.slack * HELD_SLACK
    }

    /// What it holds where nothing is known of what was used before.
    pub(crate) fn first_level(&self) -> f64 {
        self.slack * FIRST_SLACK
    }

    /// The deepest debt of a bucket: what is older than a window no longer counts.
    pub(crate) fn deepest_debt(&self, limit: ConsumerLimit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() / 2.0
    }
}

impl ConsumerLimit {
    /// Whether there is a limit at all.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Requests a second that are due to a consumer with so much left in its bucket.
    pub(crate) fn due_per_s(&self, level: f64) -> f64 {
        let horizon_s = if level < 0.0 { REPAY_S } else { DEAL_S };
        (self.rate_per_s + level / horizon_s).max(0.0)
    }
}
