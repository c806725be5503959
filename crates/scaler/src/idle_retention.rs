//! Whether an idle function keeps its instances. Keeping one costs its memory by the second; starting
//! one anew costs the start, and its memory while it boots. At a steady rate of arrivals one of the two is
//! always cheaper: keeping pays if the next request is expected before the memory has cost as much.

use std::time::Duration;

/// How far back arrivals count, by an exponential decay.
const MEMORY: Duration = Duration::from_secs(20);
/// A function watched for less than this counts as watched for so long.
const MIN_WATCHED: Duration = Duration::from_secs(1);
/// A pause of so many times the usual gap is hardly chance (one in twenty at a steady rate): the rate fell.
const UNUSUAL_GAPS: f64 = 3.0;
const MB_PER_GB: f64 = 1024.0;

/// Arrivals a second over the last while, the newer ones weighing more.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    watched_since: Duration,
    counted_at: Duration,
    last_arrival: Duration,
    /// Arrivals, each decayed by its age.
    weight: f64,
}

impl ArrivalRate {
    /// Of a function that is watched from now on.
    pub fn new(now: Duration) -> ArrivalRate {
        ArrivalRate { watched_since: now, counted_at: now, last_arrival: now, weight: 0.0 }
    }

    /// Takes the arrivals since the call before.
    pub fn pass(&mut self, now: Duration, arrivals: u32) {
        let passed = now.saturating_sub(self.counted_at);
        self.weight = self.weight * remaining(passed) + f64::from(arrivals);
        self.counted_at = now;
        if arrivals > 0 {
            self.last_arrival = now;
        }
    }

    /// For how long arrivals have been counted.
    pub fn watched(&self, now: Duration) -> Duration {
        now.saturating_sub(self.watched_since)
    }

    /// Requests a second.
    pub fn per_second(&self, now: Duration) -> f64 {
        let weight = self.weight * remaining(now.saturating_sub(self.counted_at));
        let watched = self.watched(now).max(MIN_WATCHED);
        let rate = weight / (MEMORY.as_secs_f64() * (1.0 - remaining(watched)));
        let pause = now.saturating_sub(self.last_arrival).as_secs_f64();
        if rate * pause > UNUSUAL_GAPS { UNUSUAL_GAPS / pause } else { rate }
    }
}

/// What is left of a weight after so long.
fn remaining(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}

/// What an instance of one function costs.
#[derive(Clone, Copy, Debug)]
pub struct InstanceCost {
    /// The memory it takes.
    pub memory_mb: u32,
    /// How long it boots, on average.
    pub boot: Duration,
    /// What one start costs, in gigabytes of memory kept for a second.
    pub start_gb_seconds: f64,
}

impl InstanceCost {
    /// For how long the memory of an idle instance costs less than starting it anew.
    pub fn break_even(&self) -> Duration {
        let memory_gb = f64::from(self.memory_mb.max(1)) / MB_PER_GB;
        self.boot + Duration::from_secs_f64(self.start_gb_seconds / memory_gb)
    }

    /// Whether an idle instance is kept: the next request is expected within the break-even time, or the
    /// function has not been watched for as long, as after a change of its owner.
    pub fn is_kept_idle(&self, now: Duration, arrivals: &ArrivalRate) -> bool {
        let break_even = self.break_even();
        arrivals.watched(now) < break_even || arrivals.per_second(now) * break_even.as_secs_f64() >= 1.0
    }
}
