//! Retries and rejections counted in windows, by one owner and by successive owners.

use rand::{RngExt, SeedableRng};
use std::time::Duration;
use traffic::{Allowances, OwnerLimit, RejectionLimit, RetryBudget, SendResult, UsageWindow};

#[test]
fn retries_stay_below_a_fifth_and_sixty_in_every_ten_seconds() {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let allowances = Allowances::default();
    let mut budget = RetryBudget::new(Duration::ZERO, &allowances);
    let (mut firsts, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    let mut refused = 0;
    for ms in 0..60_000u64 {
        let now = Duration::from_millis(ms);
        if ms == 30_000 {
            budget = RetryBudget::new(Duration::from_millis(ms), &allowances);
        }
        if rng.random_ratio(1 + (ms / 20_000) as u32, 10) {
            budget.record_request(now);
            firsts.push(ms);
        }
        if rng.random_ratio(3, 10) {
            if budget.try_retry(now) {
                retries.push(ms);
            } else {
                refused += 1;
            }
        }
        let within = |list: &Vec<u64>| list.iter().rev().take_while(|at| **at + 10_000 >= ms).count();
        assert!(within(&retries) <= within(&firsts) / 5 + 60, "at {ms} ms");
    }
    assert!(retries.len() > 100 && refused > 1000);
}

/// The owner's clock runs 0.5 % fast, and the owner uses its whole limit as early as it can.
#[test]
fn a_fast_clock_does_not_shorten_the_window() {
    let length = Allowances::lengthened_window(Duration::from_secs(5));
    let mut spent = UsageWindow::new(Duration::ZERO, length, length);
    let limit = OwnerLimit { informed: 7, uninformed: 4 };
    let mut times: Vec<u64> = Vec::new();
    for ms in 20_000..60_000u64 {
        let reported = Duration::from_millis(ms).mul_f64(1.005);
        if spent.capacity(reported, limit) > 0 {
            spent.add(reported);
            times.push(ms);
        }
    }
    assert!(times.windows(8).all(|w| w[7] - w[0] > 5_000), "eight within five seconds: {times:?}");
    assert!(times.len() > 40);
}

/// Instances reject every request after a random time. The owner crashes meanwhile, and the next one starts without
/// its count.
#[test]
fn two_successive_owners_stay_within_eleven_rejections() {
    for seed in 0..40u64 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut limit = RejectionLimit::new(Duration::ZERO, &Allowances::default());
        let crash = Duration::from_millis(rng.random_range(6_000..9_000));
        let mut crashed = false;
        let mut open: Vec<(Duration, u64, Duration)> = Vec::new();
        let mut all: Vec<Duration> = Vec::new();
        for order in 0..30_000u64 {
            let now = Duration::from_millis(order);
            for (_, number, started) in open.extract_if(.., |(at, ..)| *at <= now) {
                all.push(now);
                if !crashed || started >= crash {
                    limit.record_result(now, number, started, SendResult::Rejected);
                }
            }
            if now >= crash && !crashed {
                crashed = true;
                limit = RejectionLimit::new(now, &Allowances::default());
            }
            if now > Duration::from_secs(4) && limit.may_send(now, false) {
                limit.record_sent(now, order, false);
                open.push((now + Duration::from_millis(rng.random_range(1..20)), order, now));
            }
        }
        let violations = all.windows(12).filter(|w| w[11] - w[0] <= Duration::from_secs(5)).count();
        assert_eq!(violations, 0, "seed {seed}: twelve rejections within five seconds");
        assert!(all.len() > 20, "seed {seed}: service did not go on, only {} were sent", all.len());
    }
}

/// After a crash, the next owner treats instances that have answered it as proven. If these then reject everything,
/// the rejections must not exceed the limit of an owner without full knowledge, however many requests were in flight.
#[test]
fn cautious_owner_stays_within_its_limit_on_proven_instances() {
    let allowances = Allowances::default();
    let mut limit = RejectionLimit::new(Duration::ZERO, &allowances);
    let mut rejected = 0;
    for order in 0..4_000u64 {
        let now = Duration::from_millis(order);
        if limit.may_send(now, true) {
            limit.record_sent(now, order, true);
            limit.record_result(now, order, now, SendResult::Rejected);
            rejected += 1;
        }
    }
    assert_eq!(rejected, allowances.rejection_limit().uninformed);
}

/// Answers have grown the congestion window beyond the rejection limit, but another owner may have filled the
/// instances since.
#[test]
fn congestion_window_is_reset_when_another_owner_may_have_served() {
    let allowances = Allowances::default();
    let known = allowances.rejection_limit().informed;
    let mut limit = RejectionLimit::new(Duration::ZERO, &allowances);
    let mut order = 0;
    let mut fill = |limit: &mut RejectionLimit, now: Duration| {
        let first = order;
        while limit.may_send(now, true) {
            order += 1;
            limit.record_sent(now, order, true);
        }
        first + 1..order + 1
    };
    let start = Duration::from_secs(10);
    for round in 0..20u32 {
        let now = start + round * Duration::from_millis(20);
        for sent in fill(&mut limit, now) {
            limit.record_result(now, sent, now, SendResult::Answered);
            limit.may_send(now, true);
        }
    }
    let now = Duration::from_secs(11);
    let grown = fill(&mut limit, now).count();
    limit.begin_caution(now);
    for pass in 0..10u32 {
        limit.may_send(now + pass * Duration::from_millis(100), true);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!((grown > known, fill(&mut limit, later).count()), (true, known), "{grown} of {known}");
}

/// A standby copy is outdated: the owner that it was copied from has used more since.
#[test]
fn owner_that_begins_from_a_standby_copy_uses_only_the_uninformed_limit() {
    let (at, now) = (Duration::from_secs(20), Duration::from_millis(20_400));
    let limit = OwnerLimit { informed: 7, uninformed: 4 };
    let mut spent = UsageWindow::new(now, Duration::from_secs(5), Duration::from_secs(5));
    spent.adopt_count(now, at, 1, false);
    assert_eq!(spent.capacity(now, limit), 4, "not six, as by the copied count");
    spent.add(now);
    assert_eq!((spent.capacity(now, limit), spent.reported(now, limit)), (3, 4));
    let mut handed = UsageWindow::new(now, Duration::from_secs(5), Duration::from_secs(5));
    handed.adopt_count(now, now, 1, true);
    assert_eq!(handed.capacity(now, limit), 6, "a table from a handover is complete");
}
