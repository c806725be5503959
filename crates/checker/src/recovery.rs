//! Checks that service recovers: in every second that is more than 12 s after all machines returned and
//! before the next fault, it must reach a quarter of the baseline before the first fault.

use std::time::Duration;

/// Maximum time until service must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// A second with too few successful answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LowSecond {
    /// Seconds since the start of the run.
    pub second: u64,
    /// Number of successful answers in this second.
    pub served: u32,
    /// Mean number of successful answers per second before the first fault.
    pub baseline: u32,
}

/// Result of the check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of seconds far enough from any fault to be compared with the baseline.
    pub judged_seconds: usize,
    /// Compared seconds with less than a quarter of the baseline.
    pub low_seconds: Vec<LowSecond>,
}

/// Compares the seconds between `from` and `until` with the baseline. `good` holds the times of successful
/// answers, `faults` the time spans in which something failed.
pub fn check_recovery(good: &[Duration], faults: &[(Duration, Duration)], from: Duration, until: Duration) -> Recovery {
    let mut served_per_second = vec![0u32; until.as_secs() as usize + 1];
    for at in good.iter().filter(|at| **at < until) {
        served_per_second[at.as_secs() as usize] += 1;
    }
    let is_calm = |second: &u64| {
        let (begin, end) = (Duration::from_secs(*second), Duration::from_secs(*second + 1));
        faults.iter().all(|(from, to)| *from >= end || to.saturating_add(RECOVERY_TIME) <= begin)
    };
    let is_before_faults = |second: &u64| faults.iter().all(|(from, _)| from.as_secs() > *second);
    let before: Vec<u64> = (from.as_secs()..until.as_secs()).take_while(is_before_faults).collect();
    let baseline =
        before.iter().map(|second| served_per_second[*second as usize]).sum::<u32>() / before.len().max(1) as u32;
    let judged: Vec<u64> = (from.as_secs() + before.len() as u64..until.as_secs()).filter(is_calm).collect();
    let to_low_second =
        |second: &u64| LowSecond { second: *second, served: served_per_second[*second as usize], baseline };
    let low_seconds = judged.iter().map(to_low_second).filter(|low| low.served < baseline / 4).collect();
    Recovery { judged_seconds: judged.len(), low_seconds }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seconds(list: &[(u64, u64)]) -> Vec<(Duration, Duration)> {
        list.iter().map(|(from, to)| (Duration::from_secs(*from), Duration::from_secs(*to))).collect()
    }

    #[test]
    fn late_recovery_is_reported_unless_another_fault_is_active() {
        let good: Vec<Duration> = (0..600u64)
            .map(|n| Duration::from_millis(n * 100))
            .filter(|at| at.as_secs() < 8 || at.as_secs() >= 24)
            .collect();
        let check = |faults: &[(u64, u64)]| {
            check_recovery(&good, &seconds(faults), Duration::from_secs(2), Duration::from_secs(60))
        };
        assert_eq!(check(&[(8, 10)]).low_seconds, [22, 23].map(|second| LowSecond { second, served: 0, baseline: 10 }));
        assert_eq!(check(&[(8, 12)]), Recovery { judged_seconds: 36, low_seconds: Vec::new() });
        assert_eq!(check(&[(8, 10), (20, 30)]), Recovery { judged_seconds: 18, low_seconds: Vec::new() });
        assert_eq!(check(&[(8, u64::MAX)]).judged_seconds, 0, "a fault that never ends leaves no second to compare");
    }
}
