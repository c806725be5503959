//! Clusters that tolerate two losses: three members found them and others join until all machines vote. Acknowledged
//! entries are on three disks; a wiped machine takes its old vote over, and a dead machine loses its vote.

mod net;

use net::{Net, node};
use wire::NodeId;

fn grow_cluster(count: NodeId) -> Net {
    let mut net = Net::new(&[]);
    for id in 1..=count {
        net.seeds.insert(id, vec![1, 2, 3]);
        net.start_tolerating(id, if id <= 3 { 3 } else { 0 }, 2);
    }
    net.advance(9000);
    net
}

fn voters(net: &Net, id: NodeId) -> Vec<NodeId> {
    let mut voters: Vec<NodeId> = net.members[&id].view().voters.iter().map(|node| node.id).collect();
    voters.sort_unstable();
    voters
}

#[test]
fn three_members_found_a_cluster_and_the_others_join_until_all_vote() {
    for count in [5, 6, 8] {
        let net = grow_cluster(count);
        let mut chain = net.chain(1);
        chain.sort_unstable();
        let all: Vec<NodeId> = (1..=count).collect();
        assert_eq!((chain, voters(&net, 1), voters(&net, count)), (all.clone(), all.clone(), all));
    }
}

#[test]
fn an_acknowledged_entry_survives_the_loss_of_any_two_disks() {
    for lost in [[1, 2], [2, 6], [4, 5], [1, 6]] {
        let mut net = grow_cluster(6);
        let op = net.propose_entry(1, "kept");
        net.advance(500);
        assert!(net.finished.contains(&(1, op, true)));
        for id in lost {
            net.members.remove(&id);
            net.disks.remove(&id);
        }
        net.advance(3000);
        // Wiped machines return with a new id at their old address.
        for id in lost {
            net.addresses.insert(id + 10, node(id).address);
            net.seeds.insert(id + 10, vec![1, 2, 3, 4, 5, 6]);
            net.start_tolerating(id + 10, 0, 2);
        }
        net.advance(12_000);
        let left = (1..=6).find(|id| !lost.contains(id)).unwrap();
        let all: Vec<NodeId> = (1..=6).filter(|id| !lost.contains(id)).chain(lost.map(|id| id + 10)).collect();
        let mut expected = all.clone();
        expected.sort_unstable();
        assert_eq!(voters(&net, left), expected, "lost {lost:?}");
        assert!(all.iter().all(|id| net.members[id].committed_state().contains_key("kept")), "lost {lost:?}");
        let op = net.propose_entry(left, "more");
        net.advance(500);
        assert!(net.finished.contains(&(left, op, true)), "lost {lost:?}");
    }
}

#[test]
fn two_replicas_acknowledge_nothing_if_two_losses_are_tolerated() {
    let mut net = grow_cluster(6);
    for id in [3, 4, 5, 6] {
        net.members.remove(&id);
    }
    net.advance(3000);
    let op = net.propose_entry(1, "thin");
    net.advance(3000);
    assert!(!net.finished.contains(&(1, op, true)), "acknowledged by two of six voters");
}

#[test]
fn a_lost_machine_loses_its_vote_and_its_replacement_gets_one() {
    let mut net = grow_cluster(6);
    net.members.remove(&4);
    net.advance(5000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 5, 6], "six voters with one absent do not tolerate two losses");
    net.start_tolerating(4, 0, 2);
    net.advance(10_000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4, 5, 6]);
    net.members.remove(&5);
    net.advance(2000);
    net.seeds.insert(7, vec![1, 2, 3]);
    net.start_tolerating(7, 0, 2);
    net.advance(4000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4, 6, 7], "a new machine takes the vote of an absent one");
}

#[test]
fn joiners_wait_while_joins_are_deferred() {
    let mut net = Net::founded();
    net.seeds.insert(4, vec![1, 2, 3]);
    net.members.values_mut().for_each(|member| member.defer_joins(true));
    net.start_with_founders(4, 0);
    net.advance(6000);
    assert_eq!(net.chain(1), vec![1, 2, 3]);
    net.members.values_mut().for_each(|member| member.defer_joins(false));
    net.advance(6000);
    assert_eq!(net.chain(1), vec![1, 2, 3, 4]);
}

#[test]
fn an_absent_machine_keeps_its_vote_for_a_while_if_enough_others_remain() {
    let mut net = grow_cluster(8);
    net.advance(3000);
    assert_eq!(voters(&net, 1).len(), 8);
    net.members.remove(&4);
    net.advance(5000);
    assert_eq!(voters(&net, 1).len(), 8, "five of eight voters would remain after two more losses");
    net.advance(10_000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 5, 6, 7, 8]);
}

#[test]
fn the_vote_of_a_machine_killed_beside_its_successor_is_removed_in_the_same_view() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(8000);
    assert_eq!(voters(&net, 1), vec![1, 2, 3, 4]);
    net.members.remove(&3);
    net.disks.remove(&3);
    net.advance(1200);
    assert_eq!((net.chain(1), voters(&net, 1)), (vec![1, 2, 4], vec![1, 2, 4]));
    net.members.remove(&2);
    net.disks.remove(&2);
    net.advance(3000);
    let op = net.propose_entry(1, "more");
    net.advance(500);
    assert!(net.finished.contains(&(1, op, true)));
    assert!(net.members[&1].committed_state().contains_key("kept"));
}
