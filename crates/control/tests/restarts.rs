//! Simultaneous restarts of many machines while a change is in progress.

mod simulated_fleet;

use simulated_fleet::Fleet;
use std::time::Duration;
use wire::NodeId;

const NO_ROUTERS: [NodeId; 0] = [];
const FIRST_NEW_ROUTER: NodeId = 1100;
/// Default peer hold of `FollowerTiming`, and the same in `CoreTiming` with its margin for clock rate differences.
const PEER_HOLD_SECONDS: u64 = 300;
const PEER_PROOF_EXPIRY_SECONDS: u64 = 320;

fn active_and_latest_epoch(fleet: &Fleet) -> (u64, u64) {
    let state = fleet.head().state();
    (control::read_number(state, "c/active"), control::read_number(state, "c/latest"))
}

fn start_new_routers(fleet: &mut Fleet, count: u64) {
    (0..count).for_each(|n| fleet.start_router(FIRST_NEW_ROUTER + n));
}

/// Waits until the staged epoch is in force, and returns the seconds it took. Meanwhile no router may serve by an older
/// epoch than the active one.
fn seconds_until_in_force(fleet: &mut Fleet) -> u64 {
    for seconds in 0..PEER_PROOF_EXPIRY_SECONDS + 10 {
        let (active, latest) = active_and_latest_epoch(fleet);
        if active == latest {
            return seconds;
        }
        for _ in 0..10 {
            fleet.advance(100);
            assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS, "after {seconds} s");
        }
    }
    panic!("active and latest epoch {:?} after {PEER_PROOF_EXPIRY_SECONDS} s and more", active_and_latest_epoch(fleet));
}

#[test]
fn a_change_comes_into_force_after_all_routers_of_its_quorum_are_lost() {
    let mut fleet = Fleet::start(3, 6);
    fleet.time_to_acknowledgement(1, 1);
    fleet.routers.clear();
    fleet.change(1, 2);
    start_new_routers(&mut fleet, 6);
    fleet.advance(5000);
    let (active, latest) = active_and_latest_epoch(&fleet);
    assert!(active < latest, "silent routers may be cut off and still serve");
    let seconds = seconds_until_in_force(&mut fleet);
    assert!((PEER_HOLD_SECONDS..PEER_PROOF_EXPIRY_SECONDS).contains(&seconds), "{seconds} s");
    assert!(fleet.time_to_acknowledgement(1, 3) < Duration::from_secs(1), "the quorum has only running routers");
}

#[test]
fn routers_that_are_cut_off_together_stop_serving_before_a_newer_epoch_is_in_force() {
    let mut fleet = Fleet::start(3, 6);
    fleet.time_to_acknowledgement(1, 1);
    let isolated: Vec<NodeId> = fleet.routers.keys().copied().collect();
    fleet.isolate_together(&isolated);
    fleet.change(1, 2);
    start_new_routers(&mut fleet, 6);
    fleet.advance(60_000);
    let serving_count = |fleet: &mut Fleet| {
        let now = fleet.now;
        isolated.iter().filter(|id| fleet.routers.get_mut(id).unwrap().serves_until() > now).count()
    };
    assert_eq!(
        serving_count(&mut fleet),
        isolated.len(),
        "routers bridge a minute without the core by their peers' proofs"
    );
    seconds_until_in_force(&mut fleet);
    assert_eq!(serving_count(&mut fleet), 0);
    fleet.isolate_together(&[]);
    fleet.advance(5000);
    assert!(
        fleet.routers.values().all(|router| router.active_epoch() == active_and_latest_epoch(&fleet).0),
        "all routers have the active epoch"
    );
}

#[test]
fn a_pending_change_comes_into_force_after_repeated_restarts_of_all_registries() {
    let mut fleet = Fleet::start(3, 6);
    fleet.time_to_acknowledgement(1, 1);
    fleet.routers.clear();
    fleet.change(1, 2);
    fleet.advance(1000);
    for round in 0..3 {
        (1..=3).for_each(|id| fleet.kill(id));
        (1..=3).for_each(|id| fleet.start_registry(id));
        fleet.routers.clear();
        (0..6).for_each(|n| fleet.start_router(FIRST_NEW_ROUTER + 10 * round + n));
        fleet.advance(7000);
    }
    seconds_until_in_force(&mut fleet);
}
