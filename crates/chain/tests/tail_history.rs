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
fn a_new_tail_learns_when_the_previous_tail_was_last_answered() {
    let mut net = Net::founded();
    net.advance(1000);
    let killed_at = net.now;
    net.members.remove(&3);
    net.advance(2000);
    assert_eq!(net.chain(2), vec![1, 2]);
    let until = bound(&net, 2).expect("both survivors reported");
    let heartbeat = Duration::from_millis(150);
    assert!(until + heartbeat >= killed_at && until <= killed_at, "{until:?} for a kill at {killed_at:?}");
}

#[test]
fn a_tail_that_stays_the_tail_keeps_its_first_view() {
    let mut net = Net::founded();
    net.advance(1000);
    let before = net.members[&3].tail_since_view();
    net.members.remove(&1);
    net.advance(2000);
    assert_eq!(net.chain(3), vec![2, 3]);
    assert!(before.is_some() && net.members[&3].tail_since_view() == before);
}

#[test]
fn another_tail_in_between_resets_the_first_view() {
    let mut net = Net::founded();
    net.advance(1000);
    let before = net.members[&3].tail_since_view();
    net.isolated = vec![3];
    net.advance(3000);
    net.isolated.clear();
    net.advance(8000);
    assert_eq!(net.chain(3), vec![1, 2, 3]);
    assert!(net.members[&3].tail_since_view() > before);
}

#[test]
fn a_report_is_sent_only_after_the_adoption_is_on_disk_and_a_single_one_sets_no_bound() {
    let mut net = Net::founded();
    net.advance(1000);
    net.members.remove(&3);
    let mut next = net.members[&1].view().clone();
    next.number += 1;
    next.chain = vec![1, 2].into();
    net.step(2, Input::Message { from: 1, message: ChainMessage::Decided { view: next.clone() } });
    net.deliver_all();
    net.stalled_disks = vec![1];
    net.step(1, Input::Message { from: 2, message: ChainMessage::Decided { view: next } });
    let has_report =
        |net: &Net| net.frames.iter().any(|(_, _, message)| matches!(message, ChainMessage::TailLastAnswered { .. }));
    assert!(!has_report(&net), "reported before the adoption is on disk");
    net.deliver_all();
    assert_eq!(bound(&net, 2), None, "one report of three voters is not a majority");
    net.stalled_disks.clear();
    net.deliver_all();
    assert!(bound(&net, 2).is_some());
}

#[test]
fn a_view_missed_in_between_leaves_the_bound_unknown() {
    let mut net = Net::founded();
    net.advance(1000);
    net.members.remove(&3);
    let mut next = net.members[&1].view().clone();
    next.number += 2;
    next.chain = vec![1, 2].into();
    for id in [1, 2] {
        net.step(id, Input::Message { from: 1, message: ChainMessage::Decided { view: next.clone() } });
    }
    net.deliver_all();
    assert_eq!((net.members[&2].tail_since_view(), bound(&net, 2)), (Some(next.number), None));
}
