//! Estimate of a request rate in which older requests have less weight.

use std::time::Duration;

/// Exponentially decaying mean rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateEstimate {
    per_s: f64,
    updated_at: Duration,
    time_constant_s: f64,
}

impl RateEstimate {
    pub(crate) fn new(now: Duration, time_constant: Duration) -> RateEstimate {
        RateEstimate { per_s: 0.0, updated_at: now, time_constant_s: time_constant.as_secs_f64() }
    }

    pub(crate) fn add(&mut self, now: Duration, count: f64) {
        self.per_s = self.per_s(now) + count / self.time_constant_s;
        self.updated_at = self.updated_at.max(now);
    }

    pub(crate) fn per_s(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / self.time_constant_s).exp()
    }
}
