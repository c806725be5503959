//! Tests of how long an idle instance is kept, depending on its cost and its function's arrival rate.

use scaler::{ArrivalRate, InstanceCost};
use std::time::Duration;
use test_case::test_case;

fn cost(memory_mb: u32, start_gb_seconds: f64) -> InstanceCost {
    InstanceCost { memory_mb, boot: Duration::from_millis(500), start_gb_seconds }
}

/// Arrival rate of a function called every `gap_ms` for a minute and then not for `idle_ms`.
fn called_every(gap_ms: u64, idle_ms: u64) -> (Duration, ArrivalRate) {
    let mut arrival_rate = ArrivalRate::new(Duration::ZERO);
    let end = 60_000 / gap_ms * gap_ms;
    for at in (gap_ms..=end).step_by(gap_ms as usize) {
        arrival_rate.record(Duration::from_millis(at), 1);
    }
    let now = Duration::from_millis(end + idle_ms);
    arrival_rate.record(now, 0);
    (now, arrival_rate)
}

#[test_case(128, 0.2 => 2100; "a start costs as much as 1.6 s of 128 MB, plus the boot time")]
#[test_case(1024, 0.2 => 700; "a large instance is kept for less time")]
#[test_case(128, 0.0 => 500; "with free starts only the boot time counts")]
fn break_even_time_depends_on_memory_and_start_cost(memory_mb: u32, start_gb_seconds: f64) -> u128 {
    cost(memory_mb, start_gb_seconds).break_even().as_millis()
}

#[test_case(1000, 0 => true; "called every second")]
#[test_case(1000, 10_000 => false; "called every second until ten seconds ago")]
#[test_case(1500, 200 => true; "called slightly more often than the break-even time")]
#[test_case(5000, 200 => false; "called every five seconds")]
#[test_case(60_000, 0 => false; "called for the first time in a minute")]
fn idle_instance_is_kept_if_the_next_request_is_expected_soon_enough(gap_ms: u64, idle_ms: u64) -> bool {
    let (now, arrival_rate) = called_every(gap_ms, idle_ms);
    cost(128, 0.2).is_kept_idle(now, &arrival_rate)
}

#[test]
fn instances_are_kept_while_a_function_was_observed_too_briefly() {
    let arrival_rate = ArrivalRate::new(Duration::from_secs(100));
    let cost = cost(128, 0.2);
    assert!(cost.is_kept_idle(Duration::from_secs(101), &arrival_rate));
    assert!(!cost.is_kept_idle(Duration::from_secs(103), &arrival_rate));
}

#[test]
fn rate_matches_the_arrivals_at_any_gap() {
    for gap_ms in [100, 1000, 4000] {
        let (now, arrival_rate) = called_every(gap_ms, 0);
        let expected = 1000.0 / gap_ms as f64;
        assert!(
            (arrival_rate.per_second(now) / expected - 1.0).abs() < 0.15,
            "{gap_ms}: {}",
            arrival_rate.per_second(now)
        );
    }
}
