//! Simultaneous restarts of many machines while a change is in progress.

mod fleet_net;

use fleet_net::Fleet;
use std::time::Duration;
use wire::NodeId;

const NOBODY: [NodeId; 0] = [];
const FIRST_NEW_ROUTER: NodeId = 1100;
/// Default peer hold of `FollowerTiming`, and the same in `CoreTiming` with its margin for clock rate differences.
const PEER_HOLD_SECONDS: u64 = 300;
const PEERS_OVER_SECONDS: u64 = 320;

fn steps(fleet: &Fleet) -> (u64, u64) {
    let state = fleet.head().state();
    (control::read_number(state, "c/active"), control::read_number(state, "c/latest"))
}

fn start_new_routers(fleet: &mut Fleet, count: u64) {
    (0..count).for_each(|n| fleet.start_router(FIRST_NEW_ROUTER + n));
}

/// Waits until the staged epoch is in force, and returns the seconds it took. Meanwhile no router may serve by an older
/// epoch than the active one.
fn seconds_until_in_force(fleet: &mut Fleet) -> u64 {
    for seconds in 0..PEERS_OVER_SECONDS + 10 {
        let (active, latest) = steps(fleet);
        if active == latest {
            return seconds;
        }
        for _ in 0..10 {
            fleet.pass(100);
            assert_eq!(fleet.serving_by_older(), NOBODY, "after {seconds} s");
        }
    }
    panic!("steps {:?} after {PEERS_OVER_SECONDS} s and more", steps(fleet));
}

#[test]
fn a_change_comes_into_force_though_all_routers_of_its_quorum_are_gone_for_good() {
    let mut fleet = Fleet::started(3, 6);
    fleet.acknowledged_after(1, 1);
    fleet.routers.clear();
    fleet.change(1, 2);
    start_new_routers(&mut fleet, 6);
    fleet.pass(5000);
    let (active, latest) = steps(&fleet);
    assert!(active < latest, "silent routers may be cut off and still serve");
    let seconds = seconds_until_in_force(&mut fleet);
    assert!((PEER_HOLD_SECONDS..PEERS_OVER_SECONDS).contains(&seconds), "{seconds} s");
    assert!(fleet.acknowledged_after(1, 3) < Duration::from_secs(1), "the quorum has only running routers");
}

#[test]
fn routers_that_are_cut_off_together_stop_before_a_newer_step_is_in_force() {
    let mut fleet = Fleet::started(3, 6);
    fleet.acknowledged_after(1, 1);
    let old: Vec<NodeId> = fleet.routers.keys().copied().collect();
    fleet.isolate_together(&old);
    fleet.change(1, 2);
    start_new_routers(&mut fleet, 6);
    fleet.pass(60_000);
    let serves = |fleet: &mut Fleet| {
        let now = fleet.now;
        old.iter().filter(|id| fleet.routers.get_mut(id).unwrap().serves_until() > now).count()
    };
    assert_eq!(serves(&mut fleet), old.len(), "routers bridge a minute without the core by their peers' proofs");
    seconds_until_in_force(&mut fleet);
    assert_eq!(serves(&mut fleet), 0);
    fleet.isolate_together(&[]);
    fleet.pass(5000);
    assert!(
        fleet.routers.values().all(|router| router.step_number() == steps(&fleet).0),
        "all routers have the active epoch"
    );
}

#[test]
fn all_registries_restart_in_the_middle_and_what_was_taken_comes_into_force() {
    let mut fleet = Fleet::started(3, 6);
    fleet.acknowledged_after(1, 1);
    fleet.routers.clear();
    fleet.change(1, 2);
    fleet.pass(1000);
    for round in 0..3 {
        (1..=3).for_each(|id| fleet.kill(id));
        (1..=3).for_each(|id| fleet.start_registry(id));
        fleet.routers.clear();
        (0..6).for_each(|n| fleet.start_router(FIRST_NEW_ROUTER + 10 * round + n));
        fleet.pass(7000);
    }
    seconds_until_in_force(&mut fleet);
}
