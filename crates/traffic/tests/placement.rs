//! Where starts go: over zones, then over workers, and never to a worker that drains or is full.

mod common;

use common::supplied::{Supplied, line, six_workers, worker};
use instance_provider::{InstanceState, StartReply};
use std::collections::BTreeSet;

fn places(home: &Supplied) -> Vec<String> {
    home.starts.iter().map(|order| order.worker.clone().unwrap_or_default()).collect()
}

#[test]
fn instances_are_spread_over_zones_and_then_over_workers() {
    let mut home = Supplied::new(6, six_workers());
    home.pass(2000);
    let places = places(&home);
    let zones: BTreeSet<usize> =
        places[..3].iter().map(|name| name[1..].parse::<usize>().expect("a number") % 3).collect();
    assert_eq!(zones.len(), 3, "the first three: {places:?}");
    assert_eq!(places.iter().collect::<BTreeSet<_>>().len(), 6, "all six: {places:?}");
    assert!(home.starts.iter().all(|order| order.fence == 7 && order.memory_mb == 512 && order.nonce.len() <= 64));
}

#[test]
fn the_first_goes_to_the_homes_own_zone_and_the_emptier_worker() {
    let lines = vec![worker("w0", "b", 4096, true), worker("w1", "a", 2048, true), worker("w2", "a", 4096, true)];
    let mut home = Supplied::new(1, lines);
    home.pass(200);
    assert_eq!(places(&home), ["w2"]);
}

#[test]
fn a_draining_worker_and_one_without_memory_get_nothing() {
    let lines = vec![worker("w0", "a", 4096, false), worker("w1", "b", 500, true), worker("w2", "c", 600, true)];
    let mut home = Supplied::new(1, lines);
    home.pass(200);
    assert_eq!(places(&home), ["w2"]);
}

#[test]
fn what_was_ordered_since_the_list_was_read_is_taken_off_its_memory() {
    let mut home = Supplied::new(4, vec![worker("w0", "a", 1100, true), worker("w1", "a", 1100, true)]);
    home.pass(100);
    let mut placed = places(&home);
    placed.sort();
    assert_eq!(placed, ["w0", "w0", "w1", "w1"]);
}

#[test]
fn a_worker_without_room_is_passed_over_at_once_under_the_same_nonce() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    for _ in 0..3 {
        home.started(&nonce, StartReply::NoRoom);
    }
    let places = places(&home);
    assert_eq!(places.iter().collect::<BTreeSet<_>>().len(), 4, "{places:?}");
    assert!(home.starts.iter().all(|order| order.nonce == nonce));
    home.started(&nonce, StartReply::NoRoom);
    assert_eq!((home.starts.len(), home.count("starting")), (4, 0), "after four it rests");
    home.pass(1200);
    assert_ne!(home.starts[4].nonce, nonce, "then it is wished anew");
}

#[test]
fn a_worker_that_is_down_takes_what_was_starting_there_with_it() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let (nonce, place) = (home.starts[0].nonce.clone(), places(&home)[0].clone());
    home.accepted(&nonce, "i1");
    home.pass(2000);
    home.workers(six_workers().into_iter().filter(|line| line.name != place).collect());
    home.pass(100);
    assert_eq!(home.starts.len(), 2);
    assert_ne!(home.starts[1].worker.as_deref(), Some(place.as_str()));
    home.list(vec![line("i1", &place, InstanceState::Leaving)]);
    assert_eq!(home.count("ready"), 0);
}

#[test]
fn one_on_a_draining_worker_is_replaced_as_soon_as_the_list_tells() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    home.accepted(&nonce, "i1");
    home.probed("i1", true);
    home.list(vec![line("i1", "w0", InstanceState::Leaving)]);
    home.pass(100);
    assert_eq!((home.count("ready"), home.count("starting"), home.starts.len()), (0, 1, 2));
    home.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!(home.count("ready"), 0, "an older list says otherwise later");
}
