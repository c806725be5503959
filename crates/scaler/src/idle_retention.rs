//! Decides whether an idle function keeps its instances. An idle instance costs its memory for every
//! second; a new one costs its start and its memory while it boots. At a steady arrival rate one of the two
//! is always cheaper: keeping pays if the next request is expected before the memory has cost as much.

use std::time::Duration;

/// Time constant of the exponential decay of counted arrivals.
const DECAY_TIME: Duration = Duration::from_secs(20);
/// Lower bound of the observation time used for a rate.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);
/// Number of mean gaps after which a pause means that the rate fell: at a steady rate, one gap in twenty
/// is as long.
const UNUSUAL_PAUSE_GAPS: f64 = 3.0;
const MB_PER_GB: f64 = 1024.0;

/// Exponentially weighted arrival rate of one function.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    observed_since: Duration,
    counted_at: Duration,
    last_arrival: Duration,
    /// Sum of the arrivals, each decayed by its age.
    weight: f64,
}

impl ArrivalRate {
    /// Creates the rate of a function that is observed from `now` on.
    pub fn new(now: Duration) -> ArrivalRate {
        ArrivalRate { observed_since: now, counted_at: now, last_arrival: now, weight: 0.0 }
    }

    /// Records the number of arrivals since the previous call.
    pub fn record(&mut self, now: Duration, arrivals: u32) {
        let elapsed = now.saturating_sub(self.counted_at);
        self.weight = self.weight * decay_factor(elapsed) + f64::from(arrivals);
        self.counted_at = now;
        if arrivals > 0 {
            self.last_arrival = now;
        }
    }

    /// Returns for how long arrivals have been counted.
    pub fn observed_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_since)
    }

    /// Returns the rate in requests per second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let weight = self.weight * decay_factor(now.saturating_sub(self.counted_at));
        let observed_for = self.observed_for(now).max(MIN_OBSERVATION);
        let rate = weight / (DECAY_TIME.as_secs_f64() * (1.0 - decay_factor(observed_for)));
        let pause = now.saturating_sub(self.last_arrival).as_secs_f64();
        if rate * pause > UNUSUAL_PAUSE_GAPS { UNUSUAL_PAUSE_GAPS / pause } else { rate }
    }
}

/// Returns the fraction of a weight that remains after a time.
fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Cost of an instance of one function.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCost {
    /// Memory of the instance.
    pub memory_mb: u32,
    /// Mean boot time.
    pub boot: Duration,
    /// Cost of one start, in gigabyte-seconds of memory.
    pub start_gb_seconds: f64,
}

impl InstanceCost {
    /// Returns for how long keeping an idle instance costs less than a new start.
    pub fn break_even(&self) -> Duration {
        let memory_gb = f64::from(self.memory_mb.max(1)) / MB_PER_GB;
        self.boot + Duration::from_secs_f64(self.start_gb_seconds / memory_gb)
    }

    /// Returns whether to keep an idle instance: the next request is expected within the break-even time, or
    /// the function has been observed for less than that time, for example after its owner changed.
    pub fn is_kept_idle(&self, now: Duration, arrivals: &ArrivalRate) -> bool {
        let break_even = self.break_even();
        arrivals.observed_for(now) < break_even || arrivals.per_second(now) * break_even.as_secs_f64() >= 1.0
    }
}
