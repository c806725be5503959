//! Simulated consumers and their request rates.

use quota::{ConsumerId, ConsumerLimit};
use std::time::Duration;

/// Period in which a consumer sends a multiple of its usual rate.
#[derive(Clone, Copy)]
pub struct Surge {
    pub from: Duration,
    pub to: Duration,
    pub factor: f64,
    /// If not zero, the surge alternates between on and off, each for this long.
    pub half_period: Duration,
}

#[derive(Clone)]
pub struct Consumer {
    pub id: ConsumerId,
    pub usual_per_s: f64,
    pub limit: ConsumerLimit,
    pub surges: Vec<Surge>,
}

impl Consumer {
    pub fn rate_per_s(&self, now: Duration) -> f64 {
        let is_on = |surge: &&Surge| {
            let inside = (surge.from..surge.to).contains(&now);
            let phase = now.saturating_sub(surge.from).as_nanos().checked_div(surge.half_period.as_nanos());
            inside && phase.is_none_or(|phase| phase.is_multiple_of(2))
        };
        self.usual_per_s * self.surges.iter().find(is_on).map_or(1.0, |surge| surge.factor)
    }
}

/// Creates `count` consumers, a few of them large, that send `total_per_s` requests together. The limit of each is 1.6
/// times its usual rate, with a burst of `burst_s` seconds of that.
pub fn consumers(count: usize, total_per_s: f64, burst_s: f64) -> Vec<Consumer> {
    let weight = |n: usize| 1.0 / (n as f64 + 1.0);
    let sum: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|n| {
            let usual_per_s = total_per_s * weight(n) / sum;
            let limit = ConsumerLimit { rate_per_s: usual_per_s * 1.6, burst: usual_per_s * 1.6 * burst_s };
            Consumer { id: ConsumerId(0x5151 + n as u64 * 7919), usual_per_s, limit, surges: Vec::new() }
        })
        .collect()
}
