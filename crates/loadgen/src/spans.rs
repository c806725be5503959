//! Time spans of faults and planned work, as recorded by `fleet`. Recovery is checked after each fault. In
//! stretches with only planned stops and changes, every task must be answered completely, with at most a few
//! refusals by the fleet itself.

use crate::tally::Attempt;
use serde::Deserialize;
use std::time::Duration;

/// Maximum number of refusals by the fleet itself in stretches without faults.
const MAX_OWN_REFUSALS: usize = 5;
/// Time after a fault that is excluded from stretches without faults.
const AFTERMATH_MS: u64 = 20_000;

/// A fault or planned work; times in milliseconds of the wall clock.
#[derive(Clone, Debug, Deserialize)]
pub struct Span {
    pub from: u64,
    pub to: u64,
    pub planned: bool,
}

/// Returns whether the attempt was answered or accepted without a server error.
pub fn is_served(attempt: &Attempt) -> bool {
    matches!(attempt.outcome.as_str(), "answered" | "accepted") && (1..500).contains(&attempt.status)
}

/// Returns whether the fleet itself, not an instance, refused the attempt or lost its outcome.
pub fn is_own_refusal(attempt: &Attempt) -> bool {
    attempt.outcome == "not-run" && attempt.status == 503 || attempt.outcome == "unknown"
}

/// Checks that service recovers after each fault.
pub fn check_recovery(attempts: &[Attempt], spans: &[Span]) -> checker::Recovery {
    let Some(started) = attempts.iter().map(|attempt| attempt.at).min() else { return checker::Recovery::default() };
    let since = |at: u64| Duration::from_millis(at.saturating_sub(started));
    let last = attempts.iter().map(|attempt| attempt.at).max().unwrap_or(started);
    let good: Vec<Duration> = attempts.iter().filter(|a| is_served(a)).map(|a| since(a.at + a.took)).collect();
    let faults: Vec<(Duration, Duration)> =
        spans.iter().filter(|span| !span.planned).map(|span| (since(span.from), since(span.to))).collect();
    checker::check_recovery(&good, &faults, Duration::from_secs(5), since(last))
}

/// Returns the number of attempts in stretches without a fault or its aftermath, those that were cut or not
/// answered, and the refusals by the fleet itself if there are more than `MAX_OWN_REFUSALS`. A connection that is
/// refused because the listener is already closed is not counted as cut: no task was accepted on it.
pub fn check_planned(attempts: &[Attempt], spans: &[Span]) -> (usize, Vec<String>, Vec<String>) {
    let failing: Vec<&Span> = spans.iter().filter(|span| !span.planned).collect();
    let is_calm = |attempt: &&Attempt| {
        let end = attempt.at + attempt.took;
        failing.iter().all(|span| end < span.from || attempt.at > span.to.saturating_add(AFTERMATH_MS))
    };
    let calm: Vec<&Attempt> = attempts.iter().filter(is_calm).collect();
    let cut = calm.iter().filter(|a| a.status == 0 && !a.body.contains("Connect"));
    let cut = cut.map(|a| format!("{} at {}: {}", a.label, a.target, a.body)).collect();
    let own: Vec<String> =
        calm.iter().filter(|a| is_own_refusal(a)).map(|a| format!("{} {} {}", a.label, a.status, a.outcome)).collect();
    (calm.len(), cut, if own.len() > MAX_OWN_REFUSALS { own } else { Vec::new() })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn attempts(low: std::ops::Range<u64>) -> Vec<Attempt> {
        let one = |n: u64| {
            let status = if low.contains(&(n / 10)) { 0 } else { 200 };
            Attempt { at: 1000 + n * 100, took: 1, status, outcome: "answered".into(), ..Attempt::default() }
        };
        (0..600).map(one).collect()
    }

    fn span(from: u64, to: u64, planned: bool) -> Span {
        Span { from: 1000 + from * 1000, to: 1000 + to * 1000, planned }
    }

    #[test]
    fn low_service_and_cut_work_in_planned_stretches_are_reported() {
        let late = attempts(10..30);
        assert_eq!(check_recovery(&late, &[span(10, 12, false)]).low_seconds.len(), 6, "seconds 24 to 29");
        assert!(check_recovery(&late, &[span(10, 18, false)]).low_seconds.is_empty());
        assert!(check_recovery(&attempts(0..0), &[span(10, 12, false)]).judged_seconds > 30);
        assert_eq!(check_planned(&late, &[span(10, 12, true)]).1.len(), 200, "cut work counts during planned stops");
        assert!(
            check_planned(&late, &[span(10, 12, false)]).1.is_empty(),
            "cut work does not count in the aftermath of a fault"
        );
        let mut refused = attempts(0..0);
        refused.iter_mut().take(6).for_each(|a| (a.status, a.outcome) = (503, "not-run".into()));
        assert_eq!(check_planned(&refused, &[]).2.len(), 6);
        assert!(check_planned(&refused[1..], &[]).2.is_empty(), "five refusals are within the limit");
    }
}
