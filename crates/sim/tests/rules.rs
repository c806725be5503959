//! Each of the simulator's own checks catches a fault planted for it, and passes what is right.

use sim::{CoreCopies, Rules};
use std::time::Duration;
use test_case::test_case;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run_once_twice(rules: &mut Rules, planted: bool) {
    rules.request_sent(ms(0), "7#1", "t1/f1");
    rules.ran(ms(1), "7#1", "t1/f1");
    if planted {
        rules.ran(ms(2), "7#2", "t1/f1");
    }
}

fn not_run_then_run(rules: &mut Rules, planted: bool) {
    rules.not_run(ms(1), "8#1");
    rules.ran(ms(2), if planted { "8#1" } else { "8#2" }, "t0/f0");
}

fn run_then_not_run(rules: &mut Rules, planted: bool) {
    rules.ran(ms(1), "8#1", "t0/f0");
    rules.not_run(ms(2), if planted { "8#1" } else { "8#2" });
}

fn anothers_answer(rules: &mut Rules, planted: bool) {
    rules.ran(ms(1), "3#1", "t0/f0");
    rules.answered(ms(2), "3#1", "3", if planted { b"4#1" } else { b"3#1" });
}

fn older_than_acknowledged(rules: &mut Rules, planted: bool) {
    rules.revision_acknowledged(ms(0), 5);
    rules.served_by_revision(ms(if planted { 3001 } else { 2999 }), 4);
}

fn slipped_back(rules: &mut Rules, planted: bool) {
    rules.served_by_revision(ms(0), 5);
    rules.served_by_revision(ms(if planted { 251 } else { 249 }), 4);
}

fn twelve_rejections(rules: &mut Rules, planted: bool) {
    let count = if planted { 12 } else { 11 };
    (0..count).for_each(|n| rules.rejected(ms(n * 400), "t0/f0", true));
}

fn second_tries(rules: &mut Rules, planted: bool) {
    let count = if planted { 62 } else { 61 };
    (0..count).for_each(|n| rules.ran(ms(n), "9#1", "t0/f0"));
}

fn sent_to_three_instances(rules: &mut Rules, planted: bool) {
    let instances = ["i1", "i2", "i2", if planted { "i3" } else { "i1" }];
    instances.iter().for_each(|instance| rules.sent_to_instance(ms(1), "5#1", instance, 2));
    rules.sent_to_instance(ms(2), "5#2", "i4", 2);
}

fn single_run_twice(rules: &mut Rules, planted: bool) {
    rules.single_run_try_sent("6#1");
    rules.ran(ms(1), "6#1", "t0/f3");
    rules.ran(ms(2), if planted { "6#1" } else { "6#2" }, "t0/f3");
}

/// Ten tasks a second, a fault from 8 to 10 s, and service again from 23 s on, or too late.
fn stays_low_after_the_return(rules: &mut Rules, planted: bool) {
    rules.add_fault_span(ms(8_000), ms(10_000));
    let back = if planted { 24_000 } else { 22_000 };
    (0..600u64).map(|n| n * 100).filter(|at| *at < 8_000 || *at >= back).for_each(|at| rules.request_succeeded(ms(at)));
    assert_eq!(rules.check_recovery(ms(2_000), ms(60_000)), 38, "seconds from 22 to 59 are judged");
}

/// The same silence is let pass while something else fails, and for 12 s after.
fn low_while_another_fault_lasts(rules: &mut Rules, planted: bool) {
    rules.add_fault_span(ms(8_000), ms(10_000));
    rules.add_fault_span(ms(20_000), ms(if planted { 20_500 } else { 30_000 }));
    (0..600u64)
        .map(|n| n * 100)
        .filter(|at| *at < 8_000 || *at >= 40_000)
        .for_each(|at| rules.request_succeeded(ms(at)));
    rules.check_recovery(ms(2_000), ms(60_000));
}

fn too_few_copies(rules: &mut Rules, planted: bool) {
    let synced = if planted { 2 } else { 3 };
    rules.check_synced_copies(ms(1), CoreCopies { entry: 7, synced, losses: 2, lost: 0 });
}

/// While two disks are lost one copy is enough, and there is never to be none.
fn no_copy_after_losses(rules: &mut Rules, planted: bool) {
    let synced = if planted { 0 } else { 1 };
    rules.check_synced_copies(ms(1), CoreCopies { entry: 7, synced, losses: 2, lost: 2 });
}

fn no_majority_after_losses(rules: &mut Rules, planted: bool) {
    let running = if planted { 3 } else { 4 };
    rules.check_loss_tolerance(ms(1), 4, running, 4, 1);
}

fn no_copy_left_after_losses(rules: &mut Rules, planted: bool) {
    rules.check_loss_tolerance(ms(1), 3, 3, if planted { 1 } else { 2 }, 1);
}

fn disks_of_voters_gone(rules: &mut Rules, planted: bool) {
    rules.check_disk_majority(ms(1), 8, if planted { 6 } else { 7 }, 2);
}

fn not_back_in_the_chain(rules: &mut Rules, planted: bool) {
    rules.check_all_in_chain(ms(if planted { 25_001 } else { 25_000 }), ms(5_000), 1);
    rules.check_all_in_chain(ms(60_000), ms(5_000), 0);
}

fn acknowledged_alone(rules: &mut Rules, planted: bool) {
    rules.check_isolated_acknowledgement(ms(3_000), Some(ms(if planted { 1_499 } else { 1_500 })));
    rules.check_isolated_acknowledgement(ms(60_000), None);
}

#[test_case(too_few_copies; "an entry committed with a copy too few")]
#[test_case(no_copy_after_losses; "an entry that no disk holds")]
#[test_case(no_majority_after_losses; "voters of whom a loss leaves no majority")]
#[test_case(no_copy_left_after_losses; "a chain of which a loss leaves none")]
#[test_case(disks_of_voters_gone; "voters whose disks are gone")]
#[test_case(not_back_in_the_chain; "a registry that does not come back")]
#[test_case(acknowledged_alone; "an acknowledgement by one cut off")]
#[test_case(stays_low_after_the_return; "service that does not come back in time")]
#[test_case(low_while_another_fault_lasts; "service low with nothing failing any longer")]
#[test_case(run_once_twice; "a run-once task that runs twice")]
#[test_case(not_run_then_run; "a task that runs after not-run")]
#[test_case(run_then_not_run; "not-run told of a task that ran")]
#[test_case(anothers_answer; "the answer to another task")]
#[test_case(older_than_acknowledged; "an older revision three seconds on")]
#[test_case(slipped_back; "a slip back after a quarter second")]
#[test_case(twelve_rejections; "a twelfth turn-away in five seconds")]
#[test_case(sent_to_three_instances; "a try sent to more instances than its route allows")]
#[test_case(single_run_twice; "a try that may run once runs twice")]
#[test_case(second_tries; "second tries beyond their share")]
fn a_planted_fault_is_caught_and_its_absence_is_not(plant: fn(&mut Rules, bool)) {
    for planted in [false, true] {
        let mut rules = Rules::default();
        plant(&mut rules, planted);
        assert_eq!(!rules.violations.is_empty(), planted, "{:?}", rules.violations);
    }
}
