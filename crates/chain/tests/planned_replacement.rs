//! Planned replacement: a successor is started, and shortly after that its predecessor is told to leave.

mod net;

use net::Net;
use std::time::Duration;
use test_case::test_case;
use wire::NodeId;

/// Tells the predecessor to leave this long after the successor starts, and returns the chain at the moment at which
/// the predecessor may stop.
fn leave_after(millis: u64) -> (Net, Vec<NodeId>) {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(millis);
    net.step(3, chain::Input::Leave { within: Duration::from_secs(4) });
    for _ in 0..40 {
        net.advance(100);
        if net.members[&3].may_stop() {
            break;
        }
    }
    assert!(net.members[&3].may_stop(), "it may not stop");
    let chain = net.chain(1);
    (net, chain)
}

#[test_case(700; "as soon as the successor has asked to join")]
#[test_case(1000; "a second later")]
#[test_case(2500; "while it waits for a vote")]
#[test_case(4000; "once it has a vote")]
fn a_member_leaves_only_after_its_successor_is_in_the_chain(millis: u64) {
    let (mut net, chain) = leave_after(millis);
    assert!(chain.contains(&4) && chain.len() == 3, "chain {chain:?} is left");
    net.members.remove(&3);
    net.members.remove(&1);
    net.disks.remove(&1);
    net.advance(3000);
    let head = net.chain(2)[0];
    let op = net.propose_entry(head, "after the loss");
    net.advance(1000);
    assert!(
        net.finished.iter().any(|(_, done, appended)| *done == op && *appended),
        "no majority is left, or too few replicas"
    );
    assert!(net.members[&2].committed_state().contains_key("kept"));
}

#[test]
fn a_member_whose_successor_is_never_admitted_leaves_anyway() {
    let mut net = Net::founded();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(1000);
    net.members.get_mut(&1).unwrap().defer_joins(true);
    net.members.get_mut(&2).unwrap().defer_joins(true);
    net.members.get_mut(&3).unwrap().defer_joins(true);
    net.step(3, chain::Input::Leave { within: Duration::from_secs(4) });
    net.advance(4000);
    assert!(net.members[&3].may_stop());
}
