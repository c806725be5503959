//! Time until the next acknowledgement after a registry's machine is lost, by the simulated clock; and no router may
//! serve by an older epoch once a newer one is acknowledged.

mod simulated_fleet;

use simulated_fleet::Fleet;
use std::time::Duration;
use test_case::test_case;
use wire::NodeId;

/// Time after an acknowledgement during which a router that has staged the new epoch may still serve by the older one.
const GUARD_MILLIS: u64 = 200;
const BOUND: Duration = Duration::from_secs(2);
const NO_ROUTERS: [NodeId; 0] = [];
/// Id of the first router.
const FIRST_ROUTER: NodeId = 1000;

fn registry_at(fleet: &Fleet, position: &str) -> NodeId {
    let chain = fleet.chain();
    match position {
        "head" => chain[0],
        "middle" => chain[1],
        _ => chain[chain.len() - 1],
    }
}

fn survivor(fleet: &Fleet) -> NodeId {
    *fleet.registries.keys().next().unwrap()
}

#[test_case(3, 8, "head", 0; "the head of three")]
#[test_case(3, 8, "middle", 0; "the middle of three")]
#[test_case(3, 8, "tail", 0; "the tail of three")]
#[test_case(3, 8, "head", 1; "the head of three with its router")]
#[test_case(3, 8, "middle", 1; "the middle of three with its router")]
#[test_case(3, 8, "tail", 1; "the tail of three with its router")]
#[test_case(6, 24, "head", 1; "the head of six with its router")]
#[test_case(6, 24, "tail", 1; "the tail of six with its router")]
#[test_case(8, 92, "head", 1; "the head of eight with its router")]
#[test_case(8, 92, "tail", 1; "the tail of eight with its router")]
#[test_case(8, 292, "head", 1; "the head of eight with its router among three hundred")]
#[test_case(8, 292, "tail", 1; "the tail of eight with its router among three hundred")]
fn the_next_acknowledgement_comes_within_two_seconds_of_a_kill(
    registries: NodeId,
    routers: usize,
    position: &str,
    lost_routers: NodeId,
) {
    let mut fleet = Fleet::start(registries, routers);
    let undisturbed = fleet.time_to_acknowledgement(survivor(&fleet), 1);
    assert!(undisturbed < Duration::from_millis(500), "{undisturbed:?} with all machines running");
    fleet.advance(2500);
    let killed = registry_at(&fleet, position);
    fleet.kill(killed);
    (0..lost_routers).for_each(|n| fleet.kill(FIRST_ROUTER + n));
    fleet.advance(20);
    let acknowledged_after = fleet.time_to_acknowledgement(survivor(&fleet), 2);
    println!(
        "{registries} registries, {routers} routers, {position} killed with {lost_routers} routers: {acknowledged_after:?}"
    );
    fleet.advance(GUARD_MILLIS);
    assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS);
    assert!(acknowledged_after < BOUND, "{acknowledged_after:?}");
}

#[test_case(100; "the joining registry still copies the state")]
#[test_case(900; "the joining registry is the tail")]
#[test_case(1800; "the joining registry has been the tail for a while")]
fn the_next_acknowledgement_comes_within_two_seconds_while_a_replacement_joins(wait: u64) {
    for position in ["head", "tail"] {
        let mut fleet = Fleet::start(3, 8);
        let killed = registry_at(&fleet, position);
        fleet.kill_and_wipe(killed);
        fleet.advance(2500);
        fleet.start_registry(killed);
        fleet.advance(wait);
        let acknowledged_after = fleet.time_to_acknowledgement(survivor(&fleet), 2);
        println!("{position} killed, change sent {wait} ms after its replacement started: {acknowledged_after:?}");
        fleet.advance(GUARD_MILLIS);
        assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS);
        assert!(acknowledged_after < BOUND, "{position}: {acknowledged_after:?}");
    }
}

#[test_case("head"; "the head")]
#[test_case("tail"; "the tail")]
fn a_router_cut_off_when_a_registry_is_killed_serves_no_older_epoch_once_the_change_is_acknowledged(position: &str) {
    for wait in [0, 40, 90, 200, 400, 800, 1000] {
        let mut fleet = Fleet::start(3, 8);
        let killed = registry_at(&fleet, position);
        fleet.cut_off.insert(FIRST_ROUTER + 3);
        fleet.advance(wait);
        fleet.kill(killed);
        let recipient = survivor(&fleet);
        let acknowledged_after = fleet.time_to_acknowledgement(recipient, 2);
        println!("{position} killed {wait} ms after the router was cut off: {acknowledged_after:?}");
        assert!(
            !fleet.routers_serving_older_epoch().contains(&(FIRST_ROUTER + 3)),
            "{position}, {wait} ms: serving by an older epoch at the acknowledgement"
        );
        fleet.advance(GUARD_MILLIS);
        assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS, "{position}, {wait} ms");
    }
}

/// The router's last proof came from a tail that is cut off together with it, so no other registry knows of that proof.
#[test]
fn a_router_cut_off_together_with_its_tail_serves_no_older_epoch_once_the_change_is_acknowledged() {
    let mut fleet = Fleet::start(3, 8);
    let tail = registry_at(&fleet, "tail");
    fleet.isolate_together(&[tail, FIRST_ROUTER + 3]);
    let recipient = registry_at(&fleet, "head");
    let acknowledged_after = fleet.time_to_acknowledgement(recipient, 2);
    println!("cut off with its tail: {acknowledged_after:?}");
    assert!(
        !fleet.routers_serving_older_epoch().contains(&(FIRST_ROUTER + 3)),
        "the router serves by an older epoch at the acknowledgement"
    );
    fleet.advance(GUARD_MILLIS);
    assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS);
    assert!(acknowledged_after < BOUND, "{acknowledged_after:?}");
}

/// Lets a replacement join, and returns its id as soon as its view, which makes it the tail, is adopted.
fn replace(fleet: &mut Fleet, position: &str) -> NodeId {
    let killed = registry_at(fleet, position);
    fleet.kill_and_wipe(killed);
    fleet.advance(2500);
    fleet.start_registry(killed);
    while fleet.chain().last() != Some(&killed) {
        fleet.advance(1);
    }
    killed
}

#[test_case("head"; "the head")]
#[test_case("tail"; "the tail")]
fn a_replacement_that_becomes_the_tail_takes_over_the_leases_of_the_previous_tail(position: &str) {
    let mut fleet = Fleet::start(3, 8);
    let joined = replace(&mut fleet, position);
    let recipient = fleet.registries.keys().copied().find(|id| *id != joined).unwrap();
    let acknowledged_after = fleet.time_to_acknowledgement(recipient, 2);
    println!("{position} replaced, change sent when its replacement became the tail: {acknowledged_after:?}");
    fleet.advance(GUARD_MILLIS);
    assert_eq!(fleet.routers_serving_older_epoch(), NO_ROUTERS);
    assert!(acknowledged_after < Duration::from_millis(500), "{acknowledged_after:?}");
}

#[test]
fn a_replacement_that_becomes_the_tail_waits_for_a_router_with_a_proof_of_the_previous_tail() {
    for wait in [0, 100, 400, 900] {
        let mut fleet = Fleet::start(3, 8);
        let killed = registry_at(&fleet, "head");
        fleet.kill_and_wipe(killed);
        fleet.advance(2500 - wait);
        fleet.cut_off.insert(FIRST_ROUTER + 3);
        fleet.advance(wait);
        let recipient = fleet.chain()[0];
        fleet.start_registry(killed);
        while fleet.chain().last() != Some(&killed) {
            fleet.advance(1);
        }
        let acknowledged_after = fleet.time_to_acknowledgement(recipient, 2);
        println!("router cut off {wait} ms before the replacement started: {acknowledged_after:?}");
        assert!(
            !fleet.routers_serving_older_epoch().contains(&(FIRST_ROUTER + 3)),
            "the router serves by an older epoch at the acknowledgement"
        );
        assert!(acknowledged_after < BOUND, "{acknowledged_after:?}");
    }
}
