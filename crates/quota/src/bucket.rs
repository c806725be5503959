//! The token bucket of one consumer over all routers, as an aggregator keeps it.

use crate::limits::{ConsumerLimit, QuotaBounds};
use crate::rate::RateEstimate;
use std::time::Duration;

/// How soon the demand that is told follows a rise.
const FAST_DEMAND: Duration = Duration::from_millis(500);
/// Over so long demand is taken together, against the chance in the fast estimate.
const SLOW_DEMAND: Duration = Duration::from_secs(2);
/// How slowly a peak is forgotten, so that a consumer that pauses and comes back does not begin anew.
const PEAK_FADES_S: f64 = 6.0;
/// A bucket that holds less than this part of what it may goes by the peak.
const SCARCE_PART: f64 = 0.85;

/// A router's first report tells arrivals of about so long.
const FIRST_COUNT: Duration = Duration::from_millis(200);
/// So many requests in the time of the fast estimate say as much about routers not heard as the limit does.
const TELLING_REQUESTS: f64 = 3.0;

/// Refilled by the limit's rate, drained by what routers report; below zero where they ran ahead.
#[derive(Debug)]
pub(crate) struct ConsumerBucket {
    limit: ConsumerLimit,
    level: f64,
    at: Duration,
    /// Arrivals are known from here on.
    counted_from: Duration,
    fast: RateEstimate,
    slow: RateEstimate,
    /// The highest fast estimate lately, and when that was.
    peak: (f64, Duration),
    is_scarce: bool,
    /// The part of the rate that routers not heard of lately may go on using.
    pub(crate) silent_part: f64,
}

impl ConsumerBucket {
    /// One that has been refilled since a moment at which nothing was known of it.
    pub(crate) fn new(
        now: Duration,
        known_from: Duration,
        limit: ConsumerLimit,
        bounds: &QuotaBounds,
    ) -> ConsumerBucket {
        let mut bucket = ConsumerBucket {
            limit,
            level: bounds.first_level(),
            at: known_from,
            fast: RateEstimate::new(now, FAST_DEMAND),
            slow: RateEstimate::new(now, SLOW_DEMAND),
            peak: (0.0, now),
            is_scarce: false,
            silent_part: 0.0,
            counted_from: known_from,
        };
        bucket.refill(now, limit, bounds);
        bucket
    }

    /// Refills it up to now by the limit that is in force.
    pub(crate) fn refill(&mut self, now: Duration, limit: ConsumerLimit, bounds: &QuotaBounds) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let heard_part = 1.0 - self.silent_part;
        self.limit = limit;
        self.level = (self.level + limit.rate_per_s * heard_part * elapsed).min(bounds.capacity(limit));
        self.level = self.level.max(-bounds.deepest_debt(limit));
        self.is_scarce = self.level < bounds.capacity(limit) * SCARCE_PART;
        self.at = self.at.max(now);
    }

    /// A router reported so many more requests used, less those given back, and so many more arrived.
    pub(crate) fn take(&mut self, now: Duration, used: f64, arrived: f64) {
        self.level -= used;
        self.fast.add(now, arrived);
        self.slow.add(now, arrived);
        self.peak = (self.peak_per_s(now), now);
    }

    fn peak_per_s(&self, now: Duration) -> f64 {
        let (peak, at) = self.peak;
        let fade = (-now.saturating_sub(at).as_secs_f64() / PEAK_FADES_S).exp();
        self.fast.per_s(now).max(peak * fade)
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Requests that arrive a second at all routers, by those that are heard.
    pub(crate) fn demand_per_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_from) + FIRST_COUNT;
        let recent = self.fast.per_s_after(now, age).max(self.slow.per_s_after(now, age));
        let peak = if self.is_scarce { self.peak_per_s(now) } else { 0.0 };
        let heard = recent.max(peak);
        heard + self.silent_demand_per_s(heard)
    }

    /// What comes at routers that are not heard, by what comes at the others and, where that is little, by the limit.
    fn silent_demand_per_s(&self, heard_per_s: f64) -> f64 {
        let heard_part = 1.0 - self.silent_part;
        let limit_per_s = self.limit.rate_per_s;
        let weight = TELLING_REQUESTS / (limit_per_s * FAST_DEMAND.as_secs_f64());
        self.silent_part * (heard_per_s + weight * limit_per_s) / (heard_part + weight)
    }

    /// The part of the demand that is due; over 1 where all of it is and more.
    pub(crate) fn due_part(&self, now: Duration) -> f64 {
        self.limit.due_per_s(self.level) / self.demand_per_s(now).max(f64::MIN_POSITIVE)
    }
}
