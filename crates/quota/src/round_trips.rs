//! How long granters take to answer: a histogram for operators, and how long to wait for an answer.

use std::time::Duration;

/// The upper ends of the histogram's buckets; what took longer is in the last one.
pub const ROUND_TRIP_BOUNDS: [Duration; 9] = [
    Duration::from_millis(2),
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(1000),
];
/// The shortest and the longest time to wait for an answer.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(65));
/// Of each measurement, the part by which the mean and the mean deviation follow, as TCP's do.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 4.0;

/// Answers by how long they took.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundTrips {
    /// Answers within each of `ROUND_TRIP_BOUNDS` and above the bound before it, then those above the last.
    pub counts: [u64; ROUND_TRIP_BOUNDS.len() + 1],
    /// The sum of all.
    pub sum: Duration,
    mean_s: Option<f64>,
    deviation_s: f64,
}

impl RoundTrips {
    pub(crate) fn record(&mut self, took: Duration) {
        let bucket = ROUND_TRIP_BOUNDS.iter().position(|bound| took <= *bound);
        self.counts[bucket.unwrap_or(ROUND_TRIP_BOUNDS.len())] += 1;
        self.sum += took;
        let took_s = took.as_secs_f64();
        let mean_s = self.mean_s.unwrap_or(took_s);
        self.deviation_s += ((took_s - mean_s).abs() - self.deviation_s) * DEVIATION_GAIN;
        self.mean_s = Some(mean_s + (took_s - mean_s) * MEAN_GAIN);
    }

    /// After so long another granter is asked.
    pub(crate) fn timeout(&self) -> Duration {
        let (shortest, longest) = TIMEOUT_RANGE;
        let Some(mean_s) = self.mean_s else { return longest };
        Duration::try_from_secs_f64(mean_s + self.deviation_s * DEVIATION_FACTOR)
            .unwrap_or(longest)
            .clamp(shortest, longest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_timeout_follows_the_measured_round_trips() {
        let mut round_trips = RoundTrips::default();
        assert_eq!(round_trips.timeout(), TIMEOUT_RANGE.1);
        (0..100).for_each(|_| round_trips.record(Duration::from_millis(3)));
        assert_eq!(round_trips.timeout(), TIMEOUT_RANGE.0);
        (0..20).for_each(|n| round_trips.record(Duration::from_millis(20 + 4 * (n % 5))));
        assert!(round_trips.timeout() > Duration::from_millis(30), "{:?}", round_trips.timeout());
        assert_eq!(round_trips.counts.iter().sum::<u64>(), 120);
    }
}
