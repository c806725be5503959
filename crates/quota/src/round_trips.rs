//! Round-trip times of credit requests: a histogram for operators, and the timeout derived from them.

use std::time::Duration;

/// Upper bounds of the histogram buckets. A last bucket counts longer round trips.
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
/// Shortest and longest time to wait for an answer.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(65));
/// Weight of each measurement in the mean, as for the smoothed round-trip time of TCP.
const MEAN_GAIN: f64 = 0.125;
/// Weight of each measurement in the mean deviation, as for TCP.
const DEVIATION_GAIN: f64 = 0.25;
/// Number of mean deviations above the mean at which a request times out.
const DEVIATION_FACTOR: f64 = 4.0;

/// Distribution of round-trip times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundTrips {
    /// Number of round trips in each bucket: up to each of `ROUND_TRIP_BOUNDS` and above the previous bound, then above
    /// the last bound.
    pub counts: [u64; ROUND_TRIP_BOUNDS.len() + 1],
    /// Sum of all round-trip times.
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

    /// Returns the time after which another granter is asked.
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
