//! Where starts go: over zones, then over workers, and never to a worker that drains or is full.

mod common;

use common::ME;
use common::provider::{OwnerWithProvider, line, six_workers, worker};
use instance_provider::{InstanceState, StartReply};
use std::collections::BTreeSet;
use traffic::OwnerSettings;

fn places(owner: &OwnerWithProvider) -> Vec<String> {
    owner.starts.iter().map(|order| order.worker.clone().unwrap_or_default()).collect()
}

#[test]
fn instances_are_spread_over_zones_and_then_over_workers() {
    let mut owner = OwnerWithProvider::new(6, six_workers());
    owner.pass(2000);
    let places = places(&owner);
    let zones: BTreeSet<usize> =
        places[..3].iter().map(|name| name[1..].parse::<usize>().expect("a number") % 3).collect();
    assert_eq!(zones.len(), 3, "the first three: {places:?}");
    assert_eq!(places.iter().collect::<BTreeSet<_>>().len(), 6, "all six: {places:?}");
    assert!(owner.starts.iter().all(|order| order.fence == 7 && order.memory_mb == 512 && order.nonce.len() <= 64));
}

#[test]
fn the_first_goes_to_the_owners_own_zone_and_the_emptier_worker() {
    let lines = vec![worker("w0", "b", 4096, true), worker("w1", "a", 2048, true), worker("w2", "a", 4096, true)];
    let mut owner = OwnerWithProvider::new(1, lines);
    owner.pass(200);
    assert_eq!(places(&owner), ["w2"]);
}

#[test]
fn where_no_zone_need_be_lost_instances_stand_near_their_owner_on_workers_apart() {
    let settings = OwnerSettings { tolerated_zone_losses: 0, ..OwnerSettings::default() };
    let mut owner = OwnerWithProvider::with_settings(settings, ME, 6, six_workers());
    owner.pass(2000);
    let mut placed = places(&owner);
    placed.sort();
    assert_eq!(placed, ["w0", "w0", "w0", "w3", "w3", "w3"], "the two workers of the owner's zone");
}

#[test]
fn a_full_zone_is_left_for_another() {
    let settings = OwnerSettings { tolerated_zone_losses: 0, ..OwnerSettings::default() };
    let lines = vec![worker("w0", "a", 600, true), worker("w1", "b", 4096, true)];
    let mut owner = OwnerWithProvider::with_settings(settings, ME, 3, lines);
    owner.pass(2000);
    assert_eq!(places(&owner), ["w0", "w1", "w1"]);
}

#[test]
fn a_draining_worker_and_one_without_memory_get_nothing() {
    let lines = vec![worker("w0", "a", 4096, false), worker("w1", "b", 500, true), worker("w2", "c", 600, true)];
    let mut owner = OwnerWithProvider::new(1, lines);
    owner.pass(200);
    assert_eq!(places(&owner), ["w2"]);
}

#[test]
fn what_was_ordered_since_the_list_was_read_is_taken_off_its_memory() {
    let mut owner = OwnerWithProvider::new(4, vec![worker("w0", "a", 1100, true), worker("w1", "a", 1100, true)]);
    owner.pass(100);
    let mut placed = places(&owner);
    placed.sort();
    assert_eq!(placed, ["w0", "w0", "w1", "w1"]);
}

#[test]
fn a_worker_without_capacity_is_passed_over_at_once_under_the_same_nonce() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    for _ in 0..3 {
        owner.started(&nonce, StartReply::NoRoom);
    }
    let places = places(&owner);
    assert_eq!(places.iter().collect::<BTreeSet<_>>().len(), 4, "{places:?}");
    assert!(owner.starts.iter().all(|order| order.nonce == nonce));
    owner.started(&nonce, StartReply::NoRoom);
    assert_eq!((owner.starts.len(), owner.count("starting")), (4, 0), "after four it rests");
    owner.pass(1200);
    assert_ne!(owner.starts[4].nonce, nonce, "then it is wished anew");
}

#[test]
fn a_worker_that_is_down_takes_what_was_starting_there_with_it() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let (nonce, place) = (owner.starts[0].nonce.clone(), places(&owner)[0].clone());
    owner.accepted(&nonce, "i1");
    owner.pass(2000);
    owner.workers(six_workers().into_iter().filter(|line| line.name != place).collect());
    owner.pass(100);
    assert_eq!(owner.starts.len(), 2);
    assert_ne!(owner.starts[1].worker.as_deref(), Some(place.as_str()));
    owner.list(vec![line("i1", &place, InstanceState::Leaving)]);
    assert_eq!(owner.count("ready"), 0);
}

#[test]
fn one_on_a_draining_worker_is_replaced_as_soon_as_the_list_tells() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.accepted(&nonce, "i1");
    owner.probed("i1", true);
    owner.list(vec![line("i1", "w0", InstanceState::Leaving)]);
    owner.pass(100);
    assert_eq!((owner.count("ready"), owner.count("starting"), owner.starts.len()), (0, 1, 2));
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!(owner.count("ready"), 0, "an older list says otherwise later");
}
