//! Placement of starts: spread over zones, then over workers, and never on a worker that drains or is full.

mod common;

use common::ME;
use common::provider::{OwnerWithProvider, line, six_workers, worker};
use instance_provider::{InstanceState, StartReply};
use std::collections::BTreeSet;
use traffic::OwnerSettings;

fn ordered_workers(owner: &OwnerWithProvider) -> Vec<String> {
    owner.starts.iter().map(|order| order.worker.clone().unwrap_or_default()).collect()
}

#[test]
fn instances_are_spread_over_zones_and_then_over_workers() {
    let mut owner = OwnerWithProvider::new(6, six_workers());
    owner.pass(2000);
    let ordered_workers = ordered_workers(&owner);
    let zones: BTreeSet<usize> =
        ordered_workers[..3].iter().map(|name| name[1..].parse::<usize>().expect("a number") % 3).collect();
    assert_eq!(zones.len(), 3, "the first three: {ordered_workers:?}");
    assert_eq!(ordered_workers.iter().collect::<BTreeSet<_>>().len(), 6, "all six: {ordered_workers:?}");
    assert!(owner.starts.iter().all(|order| order.fence == 7 && order.memory_mb == 512 && order.nonce.len() <= 64));
}

#[test]
fn the_first_instance_goes_to_the_owners_zone_and_the_worker_with_more_free_memory() {
    let lines = vec![worker("w0", "b", 4096, true), worker("w1", "a", 2048, true), worker("w2", "a", 4096, true)];
    let mut owner = OwnerWithProvider::new(1, lines);
    owner.pass(200);
    assert_eq!(ordered_workers(&owner), ["w2"]);
}

#[test]
fn if_no_zone_loss_is_tolerated_instances_are_spread_over_the_workers_of_the_owners_zone() {
    let settings = OwnerSettings { tolerated_zone_losses: 0, ..OwnerSettings::default() };
    let mut owner = OwnerWithProvider::with_settings(settings, ME, 6, six_workers());
    owner.pass(2000);
    let mut placed = ordered_workers(&owner);
    placed.sort();
    assert_eq!(placed, ["w0", "w0", "w0", "w3", "w3", "w3"], "the two workers of the owner's zone");
}

#[test]
fn starts_move_to_another_zone_when_the_owners_zone_is_full() {
    let settings = OwnerSettings { tolerated_zone_losses: 0, ..OwnerSettings::default() };
    let lines = vec![worker("w0", "a", 600, true), worker("w1", "b", 4096, true)];
    let mut owner = OwnerWithProvider::with_settings(settings, ME, 3, lines);
    owner.pass(2000);
    assert_eq!(ordered_workers(&owner), ["w0", "w1", "w1"]);
}

#[test]
fn a_draining_worker_and_a_worker_without_memory_get_no_start() {
    let lines = vec![worker("w0", "a", 4096, false), worker("w1", "b", 500, true), worker("w2", "c", 600, true)];
    let mut owner = OwnerWithProvider::new(1, lines);
    owner.pass(200);
    assert_eq!(ordered_workers(&owner), ["w2"]);
}

#[test]
fn memory_of_starts_ordered_since_the_list_is_subtracted() {
    let mut owner = OwnerWithProvider::new(4, vec![worker("w0", "a", 1100, true), worker("w1", "a", 1100, true)]);
    owner.pass(100);
    let mut placed = ordered_workers(&owner);
    placed.sort();
    assert_eq!(placed, ["w0", "w0", "w1", "w1"]);
}

#[test]
fn after_no_room_on_a_worker_another_is_tried_at_once_under_the_same_nonce() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    for _ in 0..3 {
        owner.started(&nonce, StartReply::InsufficientMemory);
    }
    let ordered_workers = ordered_workers(&owner);
    assert_eq!(ordered_workers.iter().collect::<BTreeSet<_>>().len(), 4, "{ordered_workers:?}");
    assert!(owner.starts.iter().all(|order| order.nonce == nonce));
    owner.started(&nonce, StartReply::InsufficientMemory);
    assert_eq!((owner.starts.len(), owner.count("starting")), (4, 0), "after four workers the start is given up");
    owner.pass(1200);
    assert_ne!(owner.starts[4].nonce, nonce, "a new start is ordered after the pause");
}

#[test]
fn a_start_on_a_worker_that_is_no_longer_listed_is_lost_and_replaced() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let (nonce, place) = (owner.starts[0].nonce.clone(), ordered_workers(&owner)[0].clone());
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
fn an_instance_listed_as_leaving_is_replaced_at_once() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.accepted(&nonce, "i1");
    owner.probed("i1", true);
    owner.list(vec![line("i1", "w0", InstanceState::Leaving)]);
    owner.pass(100);
    assert_eq!((owner.count("ready"), owner.count("starting"), owner.starts.len()), (0, 1, 2));
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!(owner.count("ready"), 0, "an older list that arrives later must not undo it");
}
