//! Planned stops: what a replica that is told to stop waits for, which replica takes its vote, and what the others
//! can still do if it is killed at any moment.

mod net;

use chain::{DepartureWait, Input};
use net::Net;
use std::time::Duration;
use test_case::test_case;
use wire::NodeId;

const GRACE: Duration = Duration::from_secs(4);
const LEAVER: NodeId = 3;
const NEWCOMER: NodeId = 4;

fn founded() -> Net {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net
}

fn start_newcomer(net: &mut Net) {
    net.seeds.insert(NEWCOMER, vec![1, 2, 3]);
    net.start_founding(NEWCOMER, 0);
}

fn tell_to_stop(net: &mut Net, id: NodeId) {
    net.feed(id, Input::Leave { within: GRACE });
    net.settle();
}

fn lose(net: &mut Net, id: NodeId) {
    net.members.remove(&id);
    net.disks.remove(&id);
}

fn voters(net: &Net, id: NodeId) -> Vec<NodeId> {
    let mut voters: Vec<NodeId> = net.members[&id].view().voters.iter().map(|node| node.id).collect();
    voters.sort_unstable();
    voters
}

fn wait(net: &Net, id: NodeId) -> Option<DepartureWait> {
    net.members[&id].departure_wait()
}

fn assert_takes_changes(net: &mut Net, what: &str) {
    net.pass(4000);
    let at = *net.members.keys().next().unwrap();
    let head = net.chain(at)[0];
    let op = net.propose_entry(head, "after the loss");
    net.pass(1000);
    assert!(net.done.iter().any(|(_, done, appended)| *done == op && *appended), "{what}: no majority is left");
    assert!(net.members[&head].committed_state().contains_key("kept"), "{what}: an entry is missing");
}

#[test]
fn without_a_successor_it_stays_a_full_member_until_shortly_before_its_deadline() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.pass(3200);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
    assert_eq!(wait(&net, LEAVER), Some(DepartureWait::Successor));
    let op = net.propose_entry(1, "more");
    net.settle();
    assert!(net.done.contains(&(1, op, true)), "it forwards entries");
    net.pass(700);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 2], None), "a crash would block every entry");
}

#[test]
fn a_newcomer_takes_the_vote_in_the_view_in_which_it_joins() {
    for millis in (0..2500).step_by(100) {
        let mut net = founded();
        tell_to_stop(&mut net, LEAVER);
        net.pass(millis);
        start_newcomer(&mut net);
        let mut passed = 0;
        while !net.members[&LEAVER].may_stop() && passed < 3000 - millis {
            net.pass(50);
            passed += 50;
            assert_eq!(voters(&net, 1).len(), 3, "{millis} ms");
            assert!(net.chain(1).len() >= 3, "{millis} ms: {:?}", net.chain(1));
        }
        assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]), "{millis} ms");
    }
}

#[test_case(1; "with the head")]
#[test_case(2; "with the middle")]
#[test_case(4; "with the newcomer")]
fn killed_at_any_moment_it_leaves_a_majority_once_the_newcomer_has_its_vote(also_lost: NodeId) {
    for millis in (0..1500).step_by(20) {
        let mut net = founded();
        start_newcomer(&mut net);
        net.pass(600);
        net.feed(LEAVER, Input::Leave { within: GRACE });
        net.pass_finely(millis);
        let is_replaced = voters(&net, 1).contains(&NEWCOMER) && net.members[&1].view().learner == 0;
        lose(&mut net, LEAVER);
        if is_replaced {
            lose(&mut net, also_lost);
        }
        assert_takes_changes(&mut net, &format!("{millis} ms, replaced: {is_replaced}"));
    }
}

#[test]
fn its_vote_goes_in_the_same_view_if_it_is_killed_beside_a_newcomer_with_one_of_its_own() {
    let mut net = founded();
    start_newcomer(&mut net);
    net.pass(8000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4]);
    net.feed(LEAVER, Input::Leave { within: GRACE });
    // Its announcement is delivered, its proposal is lost.
    net.frames.retain(|(_, _, message)| matches!(message, wire::ChainMessage::Leaving { .. }));
    net.settle();
    lose(&mut net, LEAVER);
    net.pass(1500);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]));
    lose(&mut net, 2);
    assert_takes_changes(&mut net, "after a second loss");
}

#[test]
fn one_of_two_in_the_chain_waits_for_the_third() {
    let mut net = founded();
    net.cut = vec![2];
    net.pass(1500);
    assert_eq!(net.chain(1), vec![1, 3]);
    tell_to_stop(&mut net, LEAVER);
    net.pass(1000);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 3], Some(DepartureWait::Replicas)));
    net.cut.clear();
    net.pass(2800);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 2], None));
    lose(&mut net, LEAVER);
    assert_takes_changes(&mut net, "with both remaining replicas");
}

#[test]
fn one_of_two_whose_peer_is_gone_for_good_waits_to_the_end() {
    let mut net = founded();
    net.cut = vec![2];
    net.pass(1500);
    tell_to_stop(&mut net, LEAVER);
    net.pass(4000);
    assert_eq!(net.chain(1), vec![1, 3], "no view may have a single replica");
    assert_eq!(wait(&net, LEAVER), Some(DepartureWait::Replicas));
}

#[test]
fn all_that_are_told_to_stop_at_once_do_not_wait_for_each_other() {
    let mut net = founded();
    for id in 1..=3 {
        net.feed(id, Input::Leave { within: GRACE });
    }
    net.pass(300);
    assert!((1..=3).all(|id| net.members[&id].may_stop()));
    assert_eq!(net.chain(1), vec![1, 2, 3], "the next start finds the same chain");
}

#[test]
fn all_that_are_told_to_stop_at_once_hand_over_to_a_newcomer_that_asks() {
    let mut net = founded();
    start_newcomer(&mut net);
    net.pass(300);
    for id in 1..=3 {
        net.feed(id, Input::Leave { within: GRACE });
    }
    net.pass(2000);
    assert!(net.chain(NEWCOMER).contains(&NEWCOMER), "{:?}", net.members[&NEWCOMER].view());
}

#[test]
fn a_stop_asked_for_twice_keeps_its_first_deadline() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    let deadline = net.members[&LEAVER].departure_deadline();
    net.pass(1000);
    tell_to_stop(&mut net, LEAVER);
    assert_eq!(net.members[&LEAVER].departure_deadline(), deadline);
}

#[test]
fn a_stop_is_withdrawn_by_a_restart() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.pass(500);
    net.start(LEAVER);
    net.pass(2000);
    assert_eq!(net.chain(1), vec![1, 2, 3]);
    start_newcomer(&mut net);
    net.pass(2500);
    assert_eq!(voters(&net, 1), vec![1, 2, 3], "it lost its vote although the stop was withdrawn");
}

#[test]
fn the_only_replica_may_stop_soon_after_it_is_told() {
    let mut net = Net::new(&[]);
    net.start_founding(1, 1);
    net.pass(2000);
    assert_eq!(net.chain(1), vec![1]);
    tell_to_stop(&mut net, 1);
    net.pass(300);
    assert!(net.members[&1].may_stop());
}

#[test]
fn a_learner_that_is_told_to_stop_is_taken_out_again() {
    let mut net = founded();
    net.starved = vec![NEWCOMER];
    start_newcomer(&mut net);
    net.pass(4000);
    assert_eq!(net.members[&1].view().learner, NEWCOMER);
    tell_to_stop(&mut net, NEWCOMER);
    net.starved.clear();
    net.pass(3000);
    assert!(!net.chain(1).contains(&NEWCOMER));
    assert_eq!((voters(&net, 1), wait(&net, NEWCOMER)), (vec![1, 2, 3], None));
}

#[test]
fn a_lost_newcomer_gives_the_vote_back_to_the_leaver_that_is_still_there() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.starved = vec![NEWCOMER];
    start_newcomer(&mut net);
    net.pass(700);
    assert_eq!((voters(&net, 1), net.members[&1].view().learner), (vec![1, 2, 4], NEWCOMER));
    lose(&mut net, NEWCOMER);
    net.pass(2500);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
}

#[test]
fn of_two_that_are_told_one_after_the_other_the_first_goes_at_once_and_is_back_before_the_second_goes() {
    let mut net = founded();
    tell_to_stop(&mut net, 2);
    net.pass(1500);
    tell_to_stop(&mut net, 3);
    net.pass(300);
    assert_eq!((net.chain(1), wait(&net, 2)), (vec![1, 3], None));
    net.members.remove(&2);
    net.pass(1000);
    net.start(2);
    net.pass(2600);
    assert_eq!((net.chain(1), wait(&net, 3)), (vec![1, 2], None));
}
