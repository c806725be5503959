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
    net.deliver_all();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(8000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4]);
    net
}

fn grow_cluster(count: NodeId) -> Net {
    let mut net = Net::new(&[]);
    for id in 1..=count {
        net.seeds.insert(id, vec![1, 2, 3]);
        net.start_tolerating(id, if id <= 3 { 3 } else { 0 }, 2);
    }
    net.advance(16_000);
    assert_eq!(voters(&net, 1).len(), count as usize);
    net
}

fn assert_takes_changes(net: &mut Net, at: NodeId) {
    let head = net.chain(at)[0];
    let op = net.propose_entry(head, "after the loss");
    net.advance(1000);
    assert!(net.finished.iter().any(|(_, done, appended)| *done == op && *appended), "no majority is left");
    assert!(net.members[&at].committed_state().contains_key("kept"), "a copy is missing");
}

#[test]
fn a_majority_survives_a_loss_right_after_a_replaced_member_left() {
    for lost in [1, 2, 4] {
        let mut net = with_successor();
        net.step(3, chain::Input::Leave { within: Duration::from_secs(4) });
        net.deliver_all();
        assert!(!net.members[&3].is_in_chain(), "it is still in the chain");
        for id in [3, lost] {
            net.members.remove(&id);
            net.disks.remove(&id);
        }
        net.advance(5000);
        let left = *net.members.keys().next().unwrap();
        assert_takes_changes(&mut net, left);
    }
}

#[test]
fn a_member_removed_before_it_leaves_gives_up_its_vote_too() {
    let mut net = with_successor();
    net.isolated = vec![3];
    net.advance(1500);
    assert_eq!(
        (net.chain(1), voters(&net, 1)),
        (vec![1, 2, 4], vec![1, 2, 4]),
        "its vote keeps the others from tolerating a loss"
    );
    net.isolated.clear();
    net.step(3, chain::Input::Leave { within: Duration::from_secs(4) });
    net.advance(300);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]));
}

#[test]
fn a_member_asked_to_leave_while_another_joins_leaves_right_after_the_join() {
    let mut net = Net::founded();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    while net.members[&1].view().learner == 0 {
        net.now += Duration::from_millis(50);
        (1..=4).for_each(|id| net.step(id, chain::Input::Tick));
        while net.members[&1].view().learner == 0 && !net.frames.is_empty() {
            let (from, to, message) = net.frames.pop_front().unwrap();
            net.step(to, chain::Input::Message { from, message });
            (1..=4).for_each(|id| net.complete_writes(id));
        }
    }
    net.step(2, chain::Input::Leave { within: Duration::from_secs(4) });
    net.advance(300);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 3, 4], vec![1, 3, 4]));
}

#[test]
fn a_member_without_a_majority_removes_nobody_when_its_delayed_messages_arrive() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    let mut late = Vec::new();
    for _ in 0..28 {
        net.now += Duration::from_millis(50);
        (1..=3).for_each(|id| net.step(id, chain::Input::Tick));
        while let Some((from, to, message)) = net.frames.pop_front() {
            let heartbeat = matches!(message, ChainMessage::Heartbeat { .. } | ChainMessage::HeartbeatAck { .. });
            match heartbeat {
                true if from == 2 || to == 2 => {}
                true => net.step(to, chain::Input::Message { from, message }),
                false => late.push((from, to, message)),
            }
        }
    }
    late.sort_by_key(|(from, ..)| *from != 2);
    net.frames.extend(late);
    net.deliver_all();
    assert_ne!(net.chain(2), vec![2], "it removed all others and holds the only copy");
    net.members.remove(&2);
    net.disks.remove(&2);
    net.advance(4000);
    assert_takes_changes(&mut net, 1);
}

#[test]
fn a_wiped_machine_gets_no_second_vote_while_its_old_identity_is_in_the_chain() {
    let mut net = grow_cluster(6);
    net.members.remove(&4);
    net.advance(2000);
    assert_eq!(net.chain(2).len(), 5, "one voter is absent");
    net.members.remove(&1);
    net.addresses.insert(11, node(1).address);
    net.seeds.insert(11, vec![2, 3]);
    net.start_tolerating(11, 0, 2);
    for _ in 0..160 {
        net.advance(50);
        let at_its_address = net.members[&2].view().voters.iter().filter(|voter| voter.address == node(1).address);
        assert!(at_its_address.count() <= 1, "{:?}", net.members[&2].view());
    }
    assert!(voters(&net, 2).contains(&11));
}

#[test]
fn a_duplicated_prepare_does_not_end_the_proposal() {
    let mut net = Net::founded();
    net.members.remove(&3);
    for _ in 0..60 {
        net.now += Duration::from_millis(50);
        [1, 2].into_iter().for_each(|id| net.step(id, chain::Input::Tick));
        while let Some((from, to, message)) = net.frames.pop_front() {
            if matches!(message, ChainMessage::Prepare { .. }) {
                net.step(to, chain::Input::Message { from, message: message.clone() });
            }
            net.step(to, chain::Input::Message { from, message });
        }
        net.deliver_all();
    }
    assert_eq!(net.chain(1), vec![1, 2]);
}

#[test]
fn a_joiner_does_not_take_the_vote_of_a_member_that_is_about_to_return() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.isolated = vec![3];
    net.advance(1500);
    net.isolated.clear();
    net.advance(200);
    assert_eq!(net.chain(1), vec![1, 2], "a member that is removed early is readmitted later");
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(500);
    assert!(voters(&net, 1).contains(&3), "{:?}", voters(&net, 1));
}

#[test]
fn no_vote_is_removed_while_a_learner_is_joining() {
    let mut net = grow_cluster(8);
    net.members.remove(&7);
    net.members.remove(&8);
    net.advance(2000);
    net.append_blocked = vec![9];
    net.seeds.insert(9, vec![1, 2, 3]);
    net.start_tolerating(9, 0, 2);
    net.advance(3000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (9, 7), "one voter is absent");
    net.advance(10_000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (9, 7));
    net.append_blocked.clear();
    net.advance(12_000);
    assert_eq!((net.members[&1].view().learner, voters(&net, 1).len()), (0, 7));
}

#[test]
fn a_member_asked_to_leave_during_its_catch_up_does_not_join() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.stalled_disks = vec![4];
    net.advance(4000);
    assert!(net.writes.iter().any(|(id, ..)| *id == 4), "its snapshot is not being written");
    net.step(4, chain::Input::Leave { within: Duration::from_secs(4) });
    net.stalled_disks.clear();
    for _ in 0..60 {
        net.advance(50);
        assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 3], vec![1, 2, 3]));
    }
}

#[test]
fn a_joiner_gets_no_additional_vote_right_after_a_voter_was_lost() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(2600);
    net.members.remove(&1);
    for _ in 0..80 {
        net.advance(50);
        assert_eq!(voters(&net, 2).len(), 3, "four voters with one absent do not tolerate a loss");
    }
    assert_eq!(voters(&net, 2), vec![2, 3, 4]);
}

#[test]
fn an_answer_to_a_round_of_an_earlier_process_does_not_count_for_the_next() {
    let mut net = Net::founded();
    let round = net.members.get_mut(&3).unwrap().request_confirmation();
    net.step(3, chain::Input::Confirm);
    let (_, _, heartbeat) = net.frames.iter().find(|(_, to, _)| *to == 1).cloned().unwrap();
    net.frames.clear();
    net.step(1, chain::Input::Message { from: 3, message: heartbeat });
    let (_, _, reply) = net.frames.pop_back().unwrap();
    net.restart_numbering_from(3, round + 1000);
    net.advance(500);
    assert!(net.members[&3].is_current_tail());
    net.isolated = vec![3];
    net.advance(3000);
    assert_eq!((net.chain(1), net.chain(3)), (vec![1, 2], vec![1, 2, 3]));
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.step(3, chain::Input::Confirm);
    net.step(3, chain::Input::Message { from: 1, message: reply });
    assert!(net.confirmed.is_empty(), "a replaced tail was confirmed by an old answer");
}
