//! Regression tests for failures that the simulator found in chain members.

mod net;

use chain::Input;
use net::Net;
use wire::{ChainMessage, NodeId};

#[test]
fn an_entry_is_acknowledged_once_all_have_synced_it_and_survives_any_single_loss() {
    for lost in [1, 2, 3] {
        let mut net = Net::founded();
        net.stalled_disks = vec![2];
        let op = net.propose_entry(2, "a");
        net.deliver_all();
        assert!(net.finished.is_empty(), "acknowledged while one member had not synced");
        net.stalled_disks.clear();
        net.deliver_all();
        assert_eq!(net.finished, vec![(2, op, true)]);
        net.members.remove(&lost);
        net.disks.remove(&lost);
        net.advance(3000);
        for id in net.members.keys().copied().collect::<Vec<_>>() {
            assert!(net.members[&id].committed_state().contains_key("a"), "lost with {lost}");
            assert_eq!(net.chain(id).len(), 2);
        }
    }
}

#[test]
fn a_chain_of_one_appends_no_entries() {
    let mut net = Net::founded();
    net.members.remove(&2);
    net.advance(2000);
    net.members.remove(&3);
    net.advance(3000);
    let op = net.propose_entry(1, "b");
    net.advance(2000);
    assert!(!net.finished.contains(&(1, op, true)));
}

#[test]
fn an_uncommitted_entry_of_a_removed_member_is_gone_after_it_returns() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.isolated = vec![1];
    net.propose_entry(1, "lost");
    net.deliver_all();
    assert!(!net.members[&1].committed_state().contains_key("lost"));
    net.advance(3000);
    assert_eq!(net.chain(2), vec![2, 3]);
    for n in 0..5 {
        net.propose_entry(2, &format!("after {n}"));
        net.deliver_all();
    }
    net.isolated.clear();
    net.advance(4000);
    assert_eq!(net.chain(1), vec![2, 3, 1]);
    for id in [1, 2, 3] {
        let state = net.members[&id].committed_state();
        assert!(state.contains_key("kept") && state.contains_key("after 4") && !state.contains_key("lost"));
    }
}

#[test]
fn a_decision_left_open_is_completed_by_another_voter() {
    let mut net = Net::founded();
    let mut next = net.members[&1].view().clone();
    next.number += 1;
    next.chain = vec![1, 2].into();
    let accept = ChainMessage::Accept { slot: next.number, proposal_number: 1 << 8, view: next };
    net.step(2, Input::Message { from: 1, message: accept.clone() });
    net.step(3, Input::Message { from: 1, message: accept });
    net.frames.clear();
    net.deliver_all();
    net.frames.clear();
    net.advance(6000);
    net.confirmed.clear();
    let tail = *net.chain(1).last().unwrap();
    net.members.get_mut(&tail).unwrap().request_confirmation();
    net.step(tail, Input::Confirm);
    net.deliver_all();
    assert_eq!(net.confirmed, vec![tail], "confirmations are still blocked");
}

#[test]
fn a_removed_tail_is_confirmed_by_nobody() {
    let mut net = Net::founded();
    net.isolated = vec![3];
    net.advance(3000);
    assert_eq!(net.chain(1), vec![1, 2]);
    assert_eq!(net.chain(3), vec![1, 2, 3], "it has learned of its removal already");
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.isolated.clear();
    net.confirmed.clear();
    net.step(3, Input::Confirm);
    net.deliver_all();
    assert!(!net.confirmed.contains(&3));
}

#[test]
fn a_wiped_machine_joins_and_never_founds_a_second_cluster() {
    let mut net = Net::founded();
    net.propose_entry(1, "a");
    net.deliver_all();
    net.members.remove(&3);
    net.start(4);
    net.advance(500);
    assert_eq!(net.members[&4].view().number, 0, "it adopted a view before it was admitted");
    net.advance(5000);
    assert_eq!(net.chain(4), vec![1, 2, 4]);
    let voters: Vec<NodeId> = net.members[&4].view().voters.iter().map(|node| node.id).collect();
    assert_eq!(voters, vec![1, 2, 4]);
    assert!(net.members[&4].committed_state().contains_key("a"));
}

#[test]
fn two_empty_machines_found_nothing_and_four_never_found_two_clusters() {
    let mut net = Net::new(&[1, 2]);
    net.advance(8000);
    assert_eq!((net.members[&1].view().number, net.members[&2].view().number), (0, 0));
    net.start(3);
    net.start(4);
    net.advance(8000);
    let founded: Vec<_> = net.members.values().map(|member| member.view()).filter(|view| view.number > 0).collect();
    assert!(founded.windows(2).all(|pair| pair[0] == pair[1]), "two clusters: {founded:?}");
}
