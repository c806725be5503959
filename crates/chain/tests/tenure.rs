//! Bound on the last confirmed round of the previous tail, which a new tail learns from a majority of the voters.
//! Each voter reports once its adoption of the new view is on disk.

mod net;

use chain::Input;
use net::Net;
use std::time::Duration;
use wire::ChainMessage;

fn bound(net: &Net, id: u64) -> Option<Duration> {
    net.members[&id].last_answer_to_earlier_tails()
}

#[test]
fn a_new_tail_learns_when_the_one_before_was_last_answered() {
    let mut net = Net::founded();
    net.pass(1000);
    let killed = net.now;
    net.members.remove(&3);
    net.pass(2000);
    assert_eq!(net.chain(2), vec![1, 2]);
    let until = bound(&net, 2).expect("both survivors reported");
    let heartbeat = Duration::from_millis(150);
    assert!(until + heartbeat >= killed && until <= killed, "{until:?} for a kill at {killed:?}");
}

#[test]
fn a_tail_that_stays_the_tail_goes_on_with_its_tenure() {
    let mut net = Net::founded();
    net.pass(1000);
    let before = net.members[&3].tail_since_view();
    net.members.remove(&1);
    net.pass(2000);
    assert_eq!(net.chain(3), vec![2, 3]);
    assert!(before.is_some() && net.members[&3].tail_since_view() == before);
}

#[test]
fn another_tail_in_between_ends_a_tenure() {
    let mut net = Net::founded();
    net.pass(1000);
    let before = net.members[&3].tail_since_view();
    net.cut = vec![3];
    net.pass(3000);
    net.cut.clear();
    net.pass(8000);
    assert_eq!(net.chain(3), vec![1, 2, 3]);
    assert!(net.members[&3].tail_since_view() > before);
}

#[test]
fn a_report_leaves_only_once_the_adoption_is_on_disk_and_one_alone_bounds_nothing() {
    let mut net = Net::founded();
    net.pass(1000);
    net.members.remove(&3);
    let mut next = net.members[&1].view().clone();
    next.number += 1;
    next.chain = vec![1, 2].into();
    net.feed(2, Input::Message { from: 1, message: ChainMessage::Decided { view: next.clone() } });
    net.settle();
    net.stalled = vec![1];
    net.feed(1, Input::Message { from: 2, message: ChainMessage::Decided { view: next } });
    let told =
        |net: &Net| net.frames.iter().any(|(_, _, message)| matches!(message, ChainMessage::TailLastAnswered { .. }));
    assert!(!told(&net), "reported before the adoption is on disk");
    net.settle();
    assert_eq!(bound(&net, 2), None, "one report of three voters is not a majority");
    net.stalled.clear();
    net.settle();
    assert!(bound(&net, 2).is_some());
}

#[test]
fn a_view_missed_in_between_leaves_the_bound_unknown() {
    let mut net = Net::founded();
    net.pass(1000);
    net.members.remove(&3);
    let mut next = net.members[&1].view().clone();
    next.number += 2;
    next.chain = vec![1, 2].into();
    for id in [1, 2] {
        net.feed(id, Input::Message { from: 1, message: ChainMessage::Decided { view: next.clone() } });
    }
    net.settle();
    assert_eq!((net.members[&2].tail_since_view(), bound(&net, 2)), (Some(next.number), None));
}
