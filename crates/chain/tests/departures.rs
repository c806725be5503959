//! Losses right after a departure, a return or a replacement, in cases that the model explorer found.

mod net;

use net::{Net, node};
use std::time::Duration;
use wire::{ChainMessage, NodeId};

fn voters(net: &Net, id: NodeId) -> Vec<NodeId> {
    let mut voters: Vec<NodeId> = net.members[&id].view().voters.iter().map(|node| node.id).collect();
    voters.sort_unstable();
    voters
}

/// Returns a cluster of three founders and a fourth member that joined with a vote of its own.
fn with_successor() -> Net {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    net.pass(8000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4]);
    net
}

fn grown(count: NodeId) -> Net {
    let mut net = Net::new(&[]);
    for id in 1..=count {
        net.seeds.insert(id, vec![1, 2, 3]);
        net.start_bearing(id, if id <= 3 { 3 } else { 0 }, 2);
    }
    net.pass(16_000);
    assert_eq!(voters(&net, 1).len(), count as usize);
    net
}

fn assert_takes_changes(net: &mut Net, at: NodeId) {
    let head = net.chain(at)[0];
    let op = net.propose_entry(head, "after the loss");
    net.pass(1000);
    assert!(net.done.iter().any(|(_, done, appended)| *done == op && *appended), "no majority is left");
    assert!(net.members[&at].committed_state().contains_key("kept"), "a copy is missing");
}

#[test]
fn a_loss_right_after_a_replaced_member_left_leaves_a_majority() {
    for lost in [1, 2, 4] {
        let mut net = with_successor();
        net.feed(3, chain::Input::Leave { within: Duration::from_secs(4) });
        net.settle();
        assert!(!net.members[&3].is_in_chain(), "it is still in the chain");
        for id in [3, lost] {
            net.members.remove(&id);
            net.disks.remove(&id);
        }
        net.pass(5000);
        let left = *net.members.keys().next().unwrap();
        assert_takes_changes(&mut net, left);
    }
}

#[test]
fn a_member_that_was_taken_out_before_it_leaves_gives_its_vote_up_too() {
    let mut net = with_successor();
    net.cut = vec![3];
    net.pass(1500);
    assert_eq!(
        (net.chain(1), voters(&net, 1)),
        (vec![1, 2, 4], vec![1, 2, 4]),
        "its vote keeps the others from tolerating a loss"
    );
    net.cut.clear();
    net.feed(3, chain::Input::Leave { within: Duration::from_secs(4) });
    net.pass(300);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]));
}

#[test]
fn a_member_asked_to_leave_while_another_joins_leaves_as_soon_as_it_may() {
    let mut net = Net::founded();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    while net.members[&1].view().learner == 0 {
        net.now += Duration::from_millis(50);
        (1..=4).for_each(|id| net.feed(id, chain::Input::Tick));
        while net.members[&1].view().learner == 0 && !net.frames.is_empty() {
            let (from, to, message) = net.frames.pop_front().unwrap();
            net.feed(to, chain::Input::Message { from, message });
            (1..=4).for_each(|id| net.land(id));
        }
    }
    net.feed(2, chain::Input::Leave { within: Duration::from_secs(4) });
    net.pass(300);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 3, 4], vec![1, 3, 4]));
}

#[test]
fn a_member_that_hears_no_majority_takes_nobody_out_once_its_messages_arrive() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    let mut late = Vec::new();
    for _ in 0..28 {
        net.now += Duration::from_millis(50);
        (1..=3).for_each(|id| net.feed(id, chain::Input::Tick));
        while let Some((from, to, message)) = net.frames.pop_front() {
            let heartbeat = matches!(message, ChainMessage::Heartbeat { .. } | ChainMessage::HeartbeatAck { .. });
            match heartbeat {
                true if from == 2 || to == 2 => {}
                true => net.feed(to, chain::Input::Message { from, message }),
                false => late.push((from, to, message)),
            }
        }
    }
    late.sort_by_key(|(from, ..)| *from != 2);
    net.frames.extend(late);
    net.settle();
    assert_ne!(net.chain(2), vec![2], "it removed all others and holds the only copy");
    net.members.remove(&2);
    net.disks.remove(&2);
    net.pass(4000);
    assert_takes_changes(&mut net, 1);
}

#[test]
fn a_wiped_machine_gets_no_second_vote_while_its_old_identity_is_in_the_chain() {
    let mut net = grown(6);
    net.members.remove(&4);
    net.pass(2000);
    assert_eq!(net.chain(2).len(), 5, "one voter is absent");
    net.members.remove(&1);
    net.addresses.insert(11, node(1).address);
    net.seeds.insert(11, vec![2, 3]);
    net.start_bearing(11, 0, 2);
    for _ in 0..160 {
        net.pass(50);
        let at_its_address = net.members[&2].view().voters.iter().filter(|voter| voter.address == node(1).address);
        assert!(at_its_address.count() <= 1, "{:?}", net.members[&2].view());
    }
    assert!(voters(&net, 2).contains(&11));
}

#[test]
fn a_prepare_that_arrives_twice_does_not_end_the_proposal() {
    let mut net = Net::founded();
    net.members.remove(&3);
    for _ in 0..60 {
        net.now += Duration::from_millis(50);
        [1, 2].into_iter().for_each(|id| net.feed(id, chain::Input::Tick));
        while let Some((from, to, message)) = net.frames.pop_front() {
            if matches!(message, ChainMessage::Prepare { .. }) {
                net.feed(to, chain::Input::Message { from, message: message.clone() });
            }
            net.feed(to, chain::Input::Message { from, message });
        }
        net.settle();
    }
    assert_eq!(net.chain(1), vec![1, 2]);
}

#[test]
fn a_joiner_does_not_take_the_vote_of_a_member_that_is_about_to_return() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net.cut = vec![3];
    net.pass(1500);
    net.cut.clear();
    net.pass(200);
    assert_eq!(net.chain(1), vec![1, 2], "a member that is removed early is readmitted later");
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    net.pass(500);
    assert!(voters(&net, 1).contains(&3), "{:?}", voters(&net, 1));
}

#[test]
fn no_vote_is_taken_away_while_a_member_is_being_brought_in() {
    let mut net = grown(8);
    net.members.remove(&7);
    net.members.remove(&8);
    net.pass(2000);
    net.starved = vec![9];
    net.seeds.insert(9, vec![1, 2, 3]);
    net.start_bearing(9, 0, 2);
    net.pass(3000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (9, 7), "one voter is absent");
    net.pass(10_000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (9, 7));
    net.starved.clear();
    net.pass(12_000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (0, 7));
}

#[test]
fn a_member_asked_to_leave_while_it_copies_does_not_join() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    net.stalled = vec![4];
    net.pass(4000);
    assert!(net.writes.iter().any(|(id, ..)| *id == 4), "its snapshot is not being written");
    net.feed(4, chain::Input::Leave { within: Duration::from_secs(4) });
    net.stalled.clear();
    for _ in 0..60 {
        net.pass(50);
        assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
    }
}

#[test]
fn a_joiner_gets_no_vote_beside_that_of_a_machine_just_lost() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    net.pass(2600);
    net.members.remove(&1);
    for _ in 0..80 {
        net.pass(50);
        assert_eq!(voters(&net, 2).len(), 3, "four voters with one absent do not tolerate a loss");
    }
    assert_eq!(voters(&net, 2), vec![2, 3, 4]);
}

#[test]
fn a_confirmation_of_an_earlier_process_does_not_count_for_the_next() {
    let mut net = Net::founded();
    let round = net.members.get_mut(&3).unwrap().request_confirmation();
    net.feed(3, chain::Input::Confirm);
    let (_, _, heartbeat) = net.frames.iter().find(|(_, to, _)| *to == 1).cloned().unwrap();
    net.frames.clear();
    net.feed(1, chain::Input::Message { from: 3, message: heartbeat });
    let (_, _, reply) = net.frames.pop_back().unwrap();
    net.restart_numbering_from(3, round + 1000);
    net.pass(500);
    assert!(net.members[&3].is_current_tail());
    net.cut = vec![3];
    net.pass(3000);
    assert_eq!((net.chain(1), net.chain(3)), (vec![1, 2], vec![1, 2, 3]));
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.feed(3, chain::Input::Confirm);
    net.feed(3, chain::Input::Message { from: 1, message: reply });
    assert!(net.confirmed.is_empty(), "a replaced tail was confirmed by an old answer");
}
