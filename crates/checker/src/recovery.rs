//! Whether service came back: in every second that lies more than 12 s after all machines returned
//! and before anything fails anew, it must be at a quarter of the level before the first fault.

use std::time::Duration;

/// How long service may take to return.
const RETURN: Duration = Duration::from_secs(12);

/// A second in which too little was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Low {
    /// Seconds since the run's beginning.
    pub second: u64,
    /// Good answers in this second.
    pub served: u32,
    /// Mean of good answers a second before the first fault.
    pub level: u32,
}

/// What the check came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// How many seconds were calm enough to be held to the level.
    pub judged: usize,
    /// Those that fell short of it.
    pub low: Vec<Low>,
}

/// `good` are the moments of good answers, `faults` the spans in which something failed.
pub fn recovery(good: &[Duration], faults: &[(Duration, Duration)], from: Duration, until: Duration) -> Recovery {
    let mut levels = vec![0u32; until.as_secs() as usize + 1];
    for at in good.iter().filter(|at| **at < until) {
        levels[at.as_secs() as usize] += 1;
    }
    let whole = |second: &u64| {
        let (begin, end) = (Duration::from_secs(*second), Duration::from_secs(*second + 1));
        faults.iter().all(|(from, to)| *from >= end || to.saturating_add(RETURN) <= begin)
    };
    let calm = |second: &u64| faults.iter().all(|(from, _)| from.as_secs() > *second);
    let before: Vec<u64> = (from.as_secs()..until.as_secs()).take_while(calm).collect();
    let level = before.iter().map(|second| levels[*second as usize]).sum::<u32>() / before.len().max(1) as u32;
    let judged: Vec<u64> = (from.as_secs() + before.len() as u64..until.as_secs()).filter(whole).collect();
    let served = |second: &u64| Low { second: *second, served: levels[*second as usize], level };
    let low = judged.iter().map(served).filter(|low| low.served < level / 4).collect();
    Recovery { judged: judged.len(), low }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seconds(list: &[(u64, u64)]) -> Vec<(Duration, Duration)> {
        list.iter().map(|(from, to)| (Duration::from_secs(*from), Duration::from_secs(*to))).collect()
    }

    #[test]
    fn a_return_that_is_late_is_seen_and_one_under_another_fault_is_not_judged() {
        let good: Vec<Duration> = (0..600u64)
            .map(|n| Duration::from_millis(n * 100))
            .filter(|at| at.as_secs() < 8 || at.as_secs() >= 24)
            .collect();
        let judge =
            |faults: &[(u64, u64)]| recovery(&good, &seconds(faults), Duration::from_secs(2), Duration::from_secs(60));
        assert_eq!(judge(&[(8, 10)]).low, [22, 23].map(|second| Low { second, served: 0, level: 10 }));
        assert_eq!(judge(&[(8, 12)]), Recovery { judged: 36, low: Vec::new() });
        assert_eq!(judge(&[(8, 10), (20, 30)]), Recovery { judged: 18, low: Vec::new() });
        assert_eq!(judge(&[(8, u64::MAX)]).judged, 0, "what never returns is never judged");
    }
}
