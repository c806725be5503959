//! Both errors of the limits in simulated fleets under faults: requests admitted over a limit in any window, and
//! requests refused within one. The columns of the printed table are: scenario, routers, largest fraction used of the
//! allowance in a window, requests over the limit in it, fraction refused of the requests of consumers within their
//! limits (all, the worst consumer), fraction refused of hot consumers' requests while within their limits, their
//! admitted requests relative to a single global token bucket, messages per second, and kilobytes per second (the
//! median router, the busiest). `cargo test -p quota --test fleet -- --nocapture --test-threads 1` prints the table.

mod common;
mod random_faults;

use common::faults::Fault;
use common::fleet::Fleet;
use common::limit_checker::Errors;
use common::load::{Surge, consumers};
use quota::{ConsumerLimit, QuotaBounds};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

const REQUESTS_PER_ROUTER: f64 = 1200.0 / 79.0;
const HOT: usize = 0;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn fleet(seed: u64, routers: usize, burst_s: f64) -> Fleet {
    let load = consumers(79, REQUESTS_PER_ROUTER * routers as f64, burst_s);
    // QUOTA_SEED=1, 2, ... selects other random seeds.
    let extra_seed = std::env::var("QUOTA_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(0);
    Fleet::new(seed + 1000 * extra_seed, routers, QuotaBounds::default(), load)
}

fn surge(fleet: &mut Fleet, consumer: usize, factor: f64, half_period: f64) {
    let surge = Surge { from: s(8.0), to: s(20.0), factor, half_period: s(half_period) };
    fleet.consumers[consumer].surges.push(surge);
}

/// Kills a router, and starts it again after `after` seconds.
fn restart(fleet: &mut Fleet, router: usize, at: f64, after: f64) {
    fleet.inject(s(at), Fault::Kill(router));
    fleet.inject(s(at + after), Fault::Start(router));
}

/// Runs a fleet to the end, prints its line of the table and returns its errors.
fn measure(name: &str, routers: usize, mut fleet: Fleet) -> Errors {
    let end = s(28.0);
    fleet.run(end);
    let errors = fleet.limit_checker.errors(&fleet.consumers);
    let per_s = |count: u64| count as f64 / end.as_secs_f64();
    let most_messages = fleet.network.traffic.values().map(|traffic| per_s(traffic.messages)).fold(0.0, f64::max);
    let mut kilobytes: Vec<f64> = fleet.network.traffic.values().map(|traffic| per_s(traffic.bytes) / 1000.0).collect();
    kilobytes.sort_by(f64::total_cmp);
    println!(
        "| {name} | {routers} | {:.0}% | {:.0} | {:.3}% | {:.2}% | {:.2}% | {:.2} | {most_messages:.0} | {:.1} | {:.0} |",
        errors.allowance_used * 100.0,
        errors.over,
        errors.refused * 100.0,
        errors.refused_worst * 100.0,
        errors.hot_refused * 100.0,
        errors.hot_admitted,
        kilobytes[kilobytes.len() / 2],
        kilobytes[kilobytes.len() - 1],
    );
    errors
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
#[test_case(430; "430 routers")]
fn usual_load_is_not_refused(routers: usize) {
    let errors = measure("usual load", routers, fleet(1, routers, 0.5));
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.002, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn usual_load_with_limits_without_a_burst_is_not_refused(routers: usize) {
    let errors = measure("usual load, limits without a burst", routers, fleet(2, routers, 0.0));
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.002, "{errors:?}");
}

#[test_case(79, HOT, 0.5; "79 routers, the largest")]
#[test_case(79, HOT, 0.0; "79 routers, the largest, without a burst")]
#[test_case(79, 20, 0.5; "79 routers, a middle one")]
#[test_case(79, 78, 0.0; "79 routers, the smallest")]
#[test_case(300, HOT, 0.5; "300 routers, the largest")]
#[test_case(300, HOT, 0.0; "300 routers, the largest, without a burst")]
#[test_case(300, 20, 0.5; "300 routers, a middle one")]
#[test_case(300, 78, 0.0; "300 routers, the smallest")]
#[test_case(430, HOT, 0.5; "430 routers, the largest")]
#[test_case(430, 78, 0.0; "430 routers, the smallest")]
fn a_hot_consumer_is_limited_and_others_are_not_refused(routers: usize, consumer: usize, burst_s: f64) {
    let mut fleet = fleet(3, routers, burst_s);
    surge(&mut fleet, consumer, 7.5, 0.0);
    let errors = measure(&format!("number {consumer} hot, burst {burst_s} s"), routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.003, "{errors:?}");
}

#[test_case(79, 1.0; "79 routers, each second")]
#[test_case(79, 0.4; "79 routers, each 400 ms")]
#[test_case(300, 1.0; "300 routers, each second")]
#[test_case(300, 0.4; "300 routers, each 400 ms")]
fn an_intermittently_hot_consumer_is_limited(routers: usize, half_period: f64) {
    let mut fleet = fleet(4, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, half_period);
    let errors = measure(&format!("hot off and on, {half_period} s"), routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.02, "{errors:?}");
}

#[test_case(5; "5 routers")]
#[test_case(79; "79 routers")]
fn a_jump_of_a_consumer_at_its_limit_is_limited(routers: usize) {
    let mut fleet = fleet(12, routers, 0.5);
    let jump = Surge { from: s(10.0), to: s(14.0), factor: 12.0, half_period: s(0.0) };
    fleet.consumers[HOT].surges.push(jump);
    surge(&mut fleet, HOT, 1.6, 0.0);
    let errors = measure("one at its limit jumps to 12 times its usual", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.02, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn all_consumers_slightly_over_their_limits_are_limited(routers: usize) {
    let mut fleet = fleet(5, routers, 0.5);
    (0..79).for_each(|consumer| surge(&mut fleet, consumer, 2.3, 0.0));
    let errors = measure("all at 2.3 times their usual", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.hot_admitted > 0.95, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn router_restarts_exceed_no_limit(routers: usize) {
    let mut fleet = fleet(6, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, 0.0);
    // A sixth of the routers, none of them granters, restart under new incarnations.
    (10..10 + routers / 6).for_each(|n| restart(&mut fleet, n, 10.0, 3.0));
    let errors = measure("a sixth killed and back", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.005, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn granter_restarts_exceed_no_limit(routers: usize) {
    let mut fleet = fleet(7, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, 0.0);
    for (n, at) in [(0, 10.0), (1, 12.0), (2, 13.0), (3, 15.0)] {
        restart(&mut fleet, n, at, 3.5);
    }
    let errors = measure("granters killed one after the other", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.02, "{errors:?}");
}

#[test_case(79, 0; "79 routers, small machines")]
#[test_case(79, 2; "79 routers, with two granters")]
#[test_case(300, 0; "300 routers, small machines")]
#[test_case(300, 2; "300 routers, with two granters")]
fn a_partition_of_a_third_exceeds_no_limit(routers: usize, granters: usize) {
    let mut fleet = fleet(8, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, 0.0);
    let partition: BTreeSet<usize> = (6..6 + routers / 3).chain(0..granters).collect();
    fleet.inject(s(11.0), Fault::Partition(partition));
    fleet.inject(s(16.0), Fault::Heal);
    let errors = measure(&format!("a third cut off with {granters} granters"), routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.03, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn added_routers_exceed_no_limit(routers: usize) {
    let mut fleet = fleet(9, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, 0.0);
    (routers..routers * 3 / 2).for_each(|n| fleet.inject(s(12.0), Fault::Start(n)));
    let errors = measure("half as many routers added", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.005, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn a_lowered_limit_is_applied(routers: usize) {
    let mut fleet = fleet(10, routers, 0.5);
    surge(&mut fleet, HOT, 7.5, 0.0);
    let before = fleet.consumers[HOT].limit;
    let lower = ConsumerLimit { rate_per_s: before.rate_per_s / 4.0, burst: before.burst / 4.0 };
    fleet.inject(s(13.0), Fault::SetLimit(HOT, lower));
    let errors = measure("the hot one's limit lowered to a quarter", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.005, "{errors:?}");
}

#[test_case(79; "79 routers")]
#[test_case(300; "300 routers")]
fn lost_messages_exceed_no_limit(routers: usize) {
    let mut fleet = fleet(11, routers, 0.5);
    fleet.network.loss = 0.1;
    surge(&mut fleet, HOT, 7.5, 0.0);
    let errors = measure("a tenth of the messages lost", routers, fleet);
    assert!(errors.allowance_used <= 1.0 && errors.refused < 0.03, "{errors:?}");
}

#[test_case(0; "the largest")]
#[test_case(5; "number 5")]
#[test_case(30; "number 30")]
fn rolling_restarts_exceed_no_limit(hot: usize) {
    for gap_s in [0.05, 0.15] {
        let mut fleet = fleet(22, 77, 0.5);
        surge(&mut fleet, hot, 12.0, 0.0);
        (0..77).for_each(|n| restart(&mut fleet, n, 9.0 + gap_s * n as f64, 0.6));
        let errors = measure(&format!("each killed in turn every {gap_s} s, number {hot} hot"), 77, fleet);
        assert!(errors.allowance_used <= 1.0, "{errors:?}");
    }
}

#[test_case(0, 12.0; "the largest")]
#[test_case(5, 12.0; "number 5")]
#[test_case(20, 30.0; "number 20")]
fn late_messages_exceed_no_limit(hot: usize, factor: f64) {
    for delay_s in [0.2, 0.6, 1.5] {
        let mut fleet = fleet(23, 77, 0.5);
        fleet.network.longest_delay = s(delay_s);
        surge(&mut fleet, hot, factor, 0.0);
        let errors = measure(&format!("messages up to {delay_s} s, number {hot} hot"), 77, fleet);
        assert!(errors.allowance_used <= 1.0, "{errors:?}");
    }
}

#[test_case(0.0; "no losses")]
#[test_case(0.3; "a third of the messages lost")]
fn restarting_most_routers_twice_exceeds_no_limit(loss: f64) {
    let mut fleet = fleet(24, 77, 0.5);
    fleet.network.loss = loss;
    surge(&mut fleet, 2, 12.0, 0.0);
    for (n, at) in (0..60).flat_map(|n| [(n, 10.0), (n, 14.0)]) {
        restart(&mut fleet, n, at, 1.0);
    }
    let errors = measure(&format!("60 killed twice, {loss} of the messages lost"), 77, fleet);
    assert!(errors.allowance_used <= 1.0, "{errors:?}");
}

#[test_case(0, 0.5; "the largest")]
#[test_case(5, 0.0; "number 5 without a burst")]
#[test_case(40, 0.5; "a small one")]
fn restarting_all_routers_exceeds_no_limit(hot: usize, burst_s: f64) {
    let mut fleet = fleet(21, 77, burst_s);
    surge(&mut fleet, hot, 12.0, 0.0);
    (0..77).for_each(|n| restart(&mut fleet, n, 12.0, 1.0));
    let errors = measure(&format!("all killed and back, number {hot} hot"), 77, fleet);
    assert!(errors.allowance_used <= 1.0, "{errors:?}");
}
