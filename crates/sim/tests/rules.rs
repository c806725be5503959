//! Each rule of the simulator reports a scenario with a violation and accepts the same scenario without it.

use sim::{CoreCopies, Rules};
use std::time::Duration;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run_once_task_runs_twice(rules: &mut Rules, is_faulty: bool) {
    rules.request_sent(ms(0), "7#1", "t1/f1");
    rules.ran(ms(1), "7#1", "t1/f1");
    if is_faulty {
        rules.ran(ms(2), "7#2", "t1/f1");
    }
}

fn runs_after_reported_not_run(rules: &mut Rules, is_faulty: bool) {
    rules.not_run(ms(1), "8#1");
    rules.ran(ms(2), if is_faulty { "8#1" } else { "8#2" }, "t0/f0");
}

fn reported_not_run_after_running(rules: &mut Rules, is_faulty: bool) {
    rules.ran(ms(1), "8#1", "t0/f0");
    rules.not_run(ms(2), if is_faulty { "8#1" } else { "8#2" });
}

fn answer_of_another_task(rules: &mut Rules, is_faulty: bool) {
    rules.ran(ms(1), "3#1", "t0/f0");
    rules.answered(ms(2), "3#1", "3", if is_faulty { b"4#1" } else { b"3#1" });
}

fn served_by_outdated_revision(rules: &mut Rules, is_faulty: bool) {
    rules.revision_acknowledged(ms(0), 5);
    rules.served_by_revision(ms(if is_faulty { 3001 } else { 2999 }), 4);
}

fn served_by_older_revision_again(rules: &mut Rules, is_faulty: bool) {
    rules.served_by_revision(ms(0), 5);
    rules.served_by_revision(ms(if is_faulty { 251 } else { 249 }), 4);
}

fn twelve_rejections(rules: &mut Rules, is_faulty: bool) {
    let count = if is_faulty { 12 } else { 11 };
    (0..count).for_each(|n| rules.rejected(ms(n * 400), "t0/f0", true));
}

fn too_many_second_tries(rules: &mut Rules, is_faulty: bool) {
    let count = if is_faulty { 62 } else { 61 };
    (0..count).for_each(|n| rules.ran(ms(n), "9#1", "t0/f0"));
}

fn try_sent_to_three_instances(rules: &mut Rules, is_faulty: bool) {
    let instances = ["i1", "i2", "i2", if is_faulty { "i3" } else { "i1" }];
    instances.iter().for_each(|instance| rules.sent_to_instance(ms(1), "5#1", instance, 2));
    rules.sent_to_instance(ms(2), "5#2", "i4", 2);
}

fn single_run_try_runs_twice(rules: &mut Rules, is_faulty: bool) {
    rules.single_run_try_sent("6#1");
    rules.ran(ms(1), "6#1", "t0/f3");
    rules.ran(ms(2), if is_faulty { "6#1" } else { "6#2" }, "t0/f3");
}

/// Ten tasks per second, a fault from 8 to 10 s, and throughput again from 22 s on, or too late.
fn no_recovery_in_time(rules: &mut Rules, is_faulty: bool) {
    rules.add_fault_span(ms(8_000), ms(10_000));
    let resumed_at = if is_faulty { 24_000 } else { 22_000 };
    (0..600u64)
        .map(|n| n * 100)
        .filter(|at| *at < 8_000 || *at >= resumed_at)
        .for_each(|at| rules.request_succeeded(ms(at)));
    assert_eq!(rules.check_recovery(ms(2_000), ms(60_000)), 38, "the seconds from 22 to 59 are checked");
}

/// No throughput is accepted during another fault and for 12 s after it.
fn low_throughput_after_second_fault(rules: &mut Rules, is_faulty: bool) {
    rules.add_fault_span(ms(8_000), ms(10_000));
    rules.add_fault_span(ms(20_000), ms(if is_faulty { 20_500 } else { 30_000 }));
    (0..600u64)
        .map(|n| n * 100)
        .filter(|at| *at < 8_000 || *at >= 40_000)
        .for_each(|at| rules.request_succeeded(ms(at)));
    rules.check_recovery(ms(2_000), ms(60_000));
}

fn too_few_copies(rules: &mut Rules, is_faulty: bool) {
    let synced = if is_faulty { 2 } else { 3 };
    rules.check_synced_copies(ms(1), CoreCopies { entry: 7, synced, losses: 2, lost: 0 });
}

/// One copy is enough while two disks are lost, but there must always be one.
fn no_synced_copy(rules: &mut Rules, is_faulty: bool) {
    let synced = if is_faulty { 0 } else { 1 };
    rules.check_synced_copies(ms(1), CoreCopies { entry: 7, synced, losses: 2, lost: 2 });
}

fn no_majority_after_losses(rules: &mut Rules, is_faulty: bool) {
    let running = if is_faulty { 3 } else { 4 };
    rules.check_loss_tolerance(ms(1), 4, running, 4, 1);
}

fn no_copy_left_in_chain(rules: &mut Rules, is_faulty: bool) {
    rules.check_loss_tolerance(ms(1), 3, 3, if is_faulty { 1 } else { 2 }, 1);
}

fn too_few_voter_disks(rules: &mut Rules, is_faulty: bool) {
    rules.check_disk_majority(ms(1), 8, if is_faulty { 6 } else { 7 }, 2);
}

fn registry_not_back_in_chain(rules: &mut Rules, is_faulty: bool) {
    rules.check_all_in_chain(ms(if is_faulty { 25_001 } else { 25_000 }), ms(5_000), 1);
    rules.check_all_in_chain(ms(60_000), ms(5_000), 0);
}

fn acknowledged_by_isolated_registry(rules: &mut Rules, is_faulty: bool) {
    rules.check_isolated_acknowledgement(ms(3_000), Some(ms(if is_faulty { 1_499 } else { 1_500 })));
    rules.check_isolated_acknowledgement(ms(60_000), None);
}

#[test_case(too_few_copies; "entry committed with too few copies")]
#[test_case(no_synced_copy; "entry that no disk holds")]
#[test_case(no_majority_after_losses; "no majority of voters after one loss")]
#[test_case(no_copy_left_in_chain; "no copy in the chain after one loss")]
#[test_case(too_few_voter_disks; "too few voters with a disk")]
#[test_case(registry_not_back_in_chain; "registry not back in the chain in time")]
#[test_case(acknowledged_by_isolated_registry; "acknowledgement by an isolated registry")]
#[test_case(no_recovery_in_time; "throughput not recovered in time")]
#[test_case(low_throughput_after_second_fault; "low throughput after the last fault")]
#[test_case(run_once_task_runs_twice; "run-once task runs twice")]
#[test_case(runs_after_reported_not_run; "task runs after it was reported as not run")]
#[test_case(reported_not_run_after_running; "task reported as not run though it ran")]
#[test_case(answer_of_another_task; "answer of another task")]
#[test_case(served_by_outdated_revision; "older revision three seconds after the acknowledgement")]
#[test_case(served_by_older_revision_again; "older revision a quarter second after a newer one")]
#[test_case(twelve_rejections; "twelfth rejection in five seconds")]
#[test_case(try_sent_to_three_instances; "try sent to more instances than its route allows")]
#[test_case(single_run_try_runs_twice; "try that may run once runs twice")]
#[test_case(too_many_second_tries; "too many second tries")]
fn rule_reports_only_the_faulty_scenario(scenario: fn(&mut Rules, bool)) {
    for is_faulty in [false, true] {
        let mut rules = Rules::default();
        scenario(&mut rules, is_faulty);
        assert_eq!(!rules.violations.is_empty(), is_faulty, "{:?}", rules.violations);
    }
}
