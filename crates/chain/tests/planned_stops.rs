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
    net.deliver_all();
    net
}

fn start_newcomer(net: &mut Net) {
    net.seeds.insert(NEWCOMER, vec![1, 2, 3]);
    net.start_with_founders(NEWCOMER, 0);
}

fn tell_to_stop(net: &mut Net, id: NodeId) {
    net.step(id, Input::Leave { within: GRACE });
    net.deliver_all();
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
    net.advance(4000);
    let at = *net.members.keys().next().unwrap();
    let head = net.chain(at)[0];
    let op = net.propose_entry(head, "after the loss");
    net.advance(1000);
    assert!(net.finished.iter().any(|(_, done, appended)| *done == op && *appended), "{what}: no majority is left");
    assert!(net.members[&head].committed_state().contains_key("kept"), "{what}: an entry is missing");
}

#[test]
fn a_leaver_without_a_successor_stays_a_full_member_until_shortly_before_its_deadline() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.advance(3200);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
    assert_eq!(wait(&net, LEAVER), Some(DepartureWait::Successor));
    let op = net.propose_entry(1, "more");
    net.deliver_all();
    assert!(net.finished.contains(&(1, op, true)), "it forwards entries");
    net.advance(700);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 2], None), "a crash would block every entry");
}

#[test]
fn a_newcomer_takes_the_vote_in_the_view_in_which_it_joins() {
    for millis in (0..2500).step_by(100) {
        let mut net = founded();
        tell_to_stop(&mut net, LEAVER);
        net.advance(millis);
        start_newcomer(&mut net);
        let mut passed = 0;
        while !net.members[&LEAVER].may_stop() && passed < 3000 - millis {
            net.advance(50);
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
fn a_leaver_killed_at_any_moment_leaves_a_majority_once_the_newcomer_has_its_vote(also_lost: NodeId) {
    for millis in (0..1500).step_by(20) {
        let mut net = founded();
        start_newcomer(&mut net);
        net.advance(600);
        net.step(LEAVER, Input::Leave { within: GRACE });
        net.advance_finely(millis);
        let is_replaced = voters(&net, 1).contains(&NEWCOMER) && net.members[&1].view().learner == 0;
        lose(&mut net, LEAVER);
        if is_replaced {
            lose(&mut net, also_lost);
        }
        assert_takes_changes(&mut net, &format!("{millis} ms, replaced: {is_replaced}"));
    }
}

#[test]
fn the_vote_of_a_leaver_killed_beside_a_voting_newcomer_is_removed_in_the_same_view() {
    let mut net = founded();
    start_newcomer(&mut net);
    net.advance(8000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4]);
    net.step(LEAVER, Input::Leave { within: GRACE });
    // Its announcement is delivered, its proposal is lost.
    net.frames.retain(|(_, _, message)| matches!(message, wire::ChainMessage::Leaving { .. }));
    net.deliver_all();
    lose(&mut net, LEAVER);
    net.advance(1500);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]));
    lose(&mut net, 2);
    assert_takes_changes(&mut net, "after a second loss");
}

#[test]
fn one_of_two_in_the_chain_waits_for_the_third() {
    let mut net = founded();
    net.isolated = vec![2];
    net.advance(1500);
    assert_eq!(net.chain(1), vec![1, 3]);
    tell_to_stop(&mut net, LEAVER);
    net.advance(1000);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 3], Some(DepartureWait::Replicas)));
    net.isolated.clear();
    net.advance(2800);
    assert_eq!((net.chain(1), wait(&net, LEAVER)), (vec![1, 2], None));
    lose(&mut net, LEAVER);
    assert_takes_changes(&mut net, "with both remaining replicas");
}

#[test]
fn one_of_two_whose_peer_never_returns_waits_until_its_deadline() {
    let mut net = founded();
    net.isolated = vec![2];
    net.advance(1500);
    tell_to_stop(&mut net, LEAVER);
    net.advance(4000);
    assert_eq!(net.chain(1), vec![1, 3], "no view may have a single replica");
    assert_eq!(wait(&net, LEAVER), Some(DepartureWait::Replicas));
}

#[test]
fn all_that_are_told_to_stop_at_once_do_not_wait_for_each_other() {
    let mut net = founded();
    for id in 1..=3 {
        net.step(id, Input::Leave { within: GRACE });
    }
    net.advance(300);
    assert!((1..=3).all(|id| net.members[&id].may_stop()));
    assert_eq!(net.chain(1), vec![1, 2, 3], "the next start finds the same chain");
}

#[test]
fn all_that_are_told_to_stop_at_once_hand_over_to_a_newcomer_that_asks() {
    let mut net = founded();
    start_newcomer(&mut net);
    net.advance(300);
    for id in 1..=3 {
        net.step(id, Input::Leave { within: GRACE });
    }
    net.advance(2000);
    assert!(net.chain(NEWCOMER).contains(&NEWCOMER), "{:?}", net.members[&NEWCOMER].view());
}

#[test]
fn a_stop_asked_for_twice_keeps_its_first_deadline() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    let deadline = net.members[&LEAVER].departure_deadline();
    net.advance(1000);
    tell_to_stop(&mut net, LEAVER);
    assert_eq!(net.members[&LEAVER].departure_deadline(), deadline);
}

#[test]
fn a_stop_is_withdrawn_by_a_restart() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.advance(500);
    net.start(LEAVER);
    net.advance(2000);
    assert_eq!(net.chain(1), vec![1, 2, 3]);
    start_newcomer(&mut net);
    net.advance(2500);
    assert_eq!(voters(&net, 1), vec![1, 2, 3], "it lost its vote although the stop was withdrawn");
}

#[test]
fn the_only_replica_may_stop_soon_after_it_is_told() {
    let mut net = Net::new(&[]);
    net.start_with_founders(1, 1);
    net.advance(2000);
    assert_eq!(net.chain(1), vec![1]);
    tell_to_stop(&mut net, 1);
    net.advance(300);
    assert!(net.members[&1].may_stop());
}

#[test]
fn a_learner_that_is_told_to_stop_is_taken_out_again() {
    let mut net = founded();
    net.append_blocked = vec![NEWCOMER];
    start_newcomer(&mut net);
    net.advance(4000);
    assert_eq!(net.members[&1].view().learner, NEWCOMER);
    tell_to_stop(&mut net, NEWCOMER);
    net.append_blocked.clear();
    net.advance(3000);
    assert!(!net.chain(1).contains(&NEWCOMER));
    assert_eq!((voters(&net, 1), wait(&net, NEWCOMER)), (vec![1, 2, 3], None));
}

#[test]
fn a_lost_newcomer_gives_the_vote_back_to_the_leaver_that_is_still_there() {
    let mut net = founded();
    tell_to_stop(&mut net, LEAVER);
    net.append_blocked = vec![NEWCOMER];
    start_newcomer(&mut net);
    net.advance(700);
    assert_eq!((voters(&net, 1), net.members[&1].view().learner), (vec![1, 2, 4], NEWCOMER));
    lose(&mut net, NEWCOMER);
    net.advance(2500);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
}

#[test]
fn of_two_successive_leavers_the_first_leaves_at_once_and_returns_before_the_second_leaves() {
    let mut net = founded();
    tell_to_stop(&mut net, 2);
    net.advance(1500);
    tell_to_stop(&mut net, 3);
    net.advance(300);
    assert_eq!((net.chain(1), wait(&net, 2)), (vec![1, 3], None));
    net.members.remove(&2);
    net.advance(1000);
    net.start(2);
    net.advance(2600);
    assert_eq!((net.chain(1), wait(&net, 3)), (vec![1, 2], None));
}
