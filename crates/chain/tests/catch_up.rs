//! Catch-up of members that missed hundreds of changes while new ones arrive: the data sent to them is bounded by what
//! they missed, and no member takes a role with state that is not known to be the newest.

mod net;

use net::Net;
use wire::NodeId;

/// Returns an entry body, which is also the key that the entry sets, of about 4 KB.
fn large_body(name: &str) -> String {
    format!("{name} {}", "x".repeat(4000))
}

fn all_hold(net: &Net, count: usize) -> bool {
    net.members.values().all(|member| member.committed_state().len() == count)
}

#[test]
fn a_returning_member_is_sent_only_the_entries_it_missed_while_new_ones_arrive() {
    for missed in [30, 120, 400] {
        let mut net = Net::founded();
        (0..300).for_each(|n| _ = net.propose_entry(1, &large_body(&format!("before {n}"))));
        net.advance(500);
        net.members.remove(&2);
        net.advance(3000);
        for n in 0..missed {
            net.propose_entry(1, &large_body(&format!("missed {n}")));
            net.deliver_all();
        }
        net.start(2);
        let mut waited = 0;
        while net.members[&2].committed_state().len() < 300 + missed + waited && waited < 60 {
            net.propose_entry(net.chain(1)[0], &large_body(&format!("meanwhile {waited}")));
            net.advance(100);
            waited += 1;
        }
        println!("{missed} missed: caught up after {waited} tenths of a second, {:?}", net.catch_up_traffic);
        assert!(waited < 40, "not caught up within 4 s while new changes arrive");
        let (messages, bytes) = net.catch_up_traffic[&2];
        assert!(messages <= 2, "{messages} messages");
        assert!(bytes <= (missed + 20) * 4200, "{bytes} bytes for {missed} changes of 4 KB");
        net.advance(4000);
        assert!(all_hold(&net, 300 + missed + waited), "a member lacks entries");
        assert_eq!(net.chain(1).len(), 3);
    }
}

#[test]
fn a_member_whose_disk_was_full_rejoins_without_a_restart() {
    for full in [1, 2, 3] {
        let mut net = Net::founded();
        (0..40).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
        net.advance(500);
        net.full_disks = vec![full];
        let head = net.chain(1)[0];
        net.propose_entry(head, "while it fills");
        net.advance(3000);
        let other: NodeId = if full == 1 { 2 } else { 1 };
        assert_eq!(net.chain(other).len(), 2, "a member with a full disk is removed from the chain");
        (0..200).for_each(|n| _ = net.propose_entry(net.chain(other)[0], &format!("missed {n}")));
        net.advance(500);
        net.free_disk(full);
        net.advance(4000);
        assert_eq!(net.chain(other).len(), 3, "member {full} is not back");
        let states: Vec<_> = net.members.values().map(|member| member.committed_state().clone()).collect();
        assert!(states.iter().all(|state| *state == states[0] && state.len() >= 240), "member {full}");
        net.members.remove(&other);
        net.advance(3000);
        let op = net.propose_entry(full, "after a second loss");
        net.advance(500);
        assert!(net.finished.contains(&(full, op, true)), "the cluster does not tolerate a loss after the return");
    }
}

#[test]
fn a_chain_too_short_to_append_entries_admits_a_joiner_despite_deferred_joins() {
    let mut net = Net::founded();
    (0..5).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.advance(500);
    net.members.remove(&2);
    net.advance(3000);
    [1, 3].iter().for_each(|id| net.members.get_mut(id).unwrap().defer_joins(true));
    net.start(2);
    net.advance(2000);
    assert_eq!(net.chain(1), vec![1, 3], "joiners wait while there are enough replicas");
    net.members.remove(&3);
    net.advance(3500);
    assert_eq!(net.chain(1), vec![1, 2], "pending entries need a second replica");
}

#[test]
fn an_old_answer_to_a_round_started_before_the_disk_was_full_confirms_nothing() {
    let mut net = Net::founded();
    (0..5).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.advance(500);
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.step(3, chain::Input::Confirm);
    let held: Vec<_> = net.frames.drain(..).filter(|(from, ..)| *from == 3).collect();
    net.full_disks = vec![3];
    net.propose_entry(1, "fills it");
    net.deliver_all();
    net.free_disk(3);
    net.advance(500);
    assert!(net.members[&3].is_current_tail(), "it is the tail again");
    net.confirmed.clear();
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.step(3, chain::Input::Confirm);
    net.frames.clear();
    held.into_iter().for_each(|frame| net.frames.push_back(frame));
    net.deliver_all();
    assert!(net.confirmed.is_empty(), "an answer to an earlier round was counted for the current one");
}

#[test]
fn a_member_whose_catch_up_source_is_lost_catches_up_with_another() {
    for (lost, replacement) in [(2, 5), (1, 5)] {
        let mut net = Net::founded();
        (0..1500).for_each(|n| _ = net.propose_entry(1, &large_body(&format!("before {n}"))));
        net.advance(1000);
        net.members.remove(&3);
        net.advance(3000);
        net.start(4);
        let mut turns = 0;
        while net.catch_up_traffic.get(&4).is_none_or(|(messages, _)| *messages < 3) && turns < 200 {
            net.now += std::time::Duration::from_millis(50);
            let ids: Vec<NodeId> = net.members.keys().copied().collect();
            ids.into_iter().for_each(|id| net.step(id, chain::Input::Tick));
            net.deliver(40);
            turns += 1;
        }
        assert!(!net.members[&4].is_in_chain(), "it joined the chain with incomplete state");
        let kept = net.members.remove(&lost);
        net.advance(2000);
        net.start(replacement);
        net.advance(2000);
        assert!(!net.members[&4].is_current_tail() && !net.members[&4].is_head());
        net.start(lost);
        drop(kept);
        net.advance(15_000);
        let survivor = if lost == 1 { 2 } else { 1 };
        assert!(net.chain(survivor).len() >= 3, "chain {:?} after losing {lost}", net.chain(survivor));
        for id in net.chain(survivor) {
            assert_eq!(net.members[&id].committed_state().len(), 1500, "member {id}");
        }
    }
}

#[test]
fn a_member_with_old_state_that_starts_first_takes_no_role_and_confirms_nothing() {
    for old in [1, 2, 3] {
        let mut net = Net::founded();
        (0..10).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
        net.advance(500);
        net.members.remove(&old);
        net.advance(3000);
        let head = net.chain(if old == 1 { 2 } else { 1 })[0];
        (0..300).for_each(|n| _ = net.propose_entry(head, &format!("missed {n}")));
        net.advance(1000);
        net.members.clear();
        net.finished.clear();
        net.confirmed.clear();
        net.start(old);
        for _ in 0..60 {
            let op = net.propose_entry(old, "a proposal to a member with old state");
            net.members.get_mut(&old).unwrap().request_confirmation();
            net.step(old, chain::Input::Confirm);
            net.advance(100);
            assert!(!net.finished.contains(&(old, op, true)), "member {old} acknowledged");
            assert!(net.confirmed.is_empty(), "member {old} was confirmed by itself");
            assert!(!net.members[&old].committed_state().contains_key("before 9"), "old state counts as committed");
        }
        [1, 2, 3].into_iter().filter(|id| *id != old).for_each(|id| net.start(id));
        net.advance(6000);
        assert_eq!(net.chain(old).len(), 3);
        for id in [1, 2, 3] {
            assert!(net.members[&id].committed_state().contains_key("missed 299"), "member {id}");
        }
    }
}
