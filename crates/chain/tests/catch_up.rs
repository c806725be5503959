//! Catch-up of members that missed hundreds of changes while new ones arrive: the data sent to them is bounded by what
//! they missed, and no member takes a role with state that is not known to be the newest.

mod net;

use net::Net;
use wire::NodeId;

/// Returns an entry body, which is also the key that the entry sets, of about 4 KB.
fn words(name: &str) -> String {
    format!("{name} {}", "x".repeat(4000))
}

fn all_hold(net: &Net, count: usize) -> bool {
    net.members.values().all(|member| member.committed_state().len() == count)
}

#[test]
fn a_member_away_for_hundreds_of_changes_is_sent_these_and_no_more_while_new_ones_go_on() {
    for missed in [30, 120, 400] {
        let mut net = Net::founded();
        (0..300).for_each(|n| _ = net.propose_entry(1, &words(&format!("before {n}"))));
        net.pass(500);
        net.members.remove(&2);
        net.pass(3000);
        for n in 0..missed {
            net.propose_entry(1, &words(&format!("missed {n}")));
            net.settle();
        }
        net.start(2);
        let mut waited = 0;
        while net.members[&2].committed_state().len() < 300 + missed + waited && waited < 60 {
            net.propose_entry(net.chain(1)[0], &words(&format!("meanwhile {waited}")));
            net.pass(100);
            waited += 1;
        }
        println!("{missed} missed: caught up after {waited} tenths of a second, {:?}", net.caught_up_by);
        assert!(waited < 40, "not caught up within 4 s while new changes arrive");
        let (messages, bytes) = net.caught_up_by[&2];
        assert!(messages <= 2, "{messages} messages");
        assert!(bytes <= (missed + 20) * 4200, "{bytes} bytes for {missed} changes of 4 KB");
        net.pass(4000);
        assert!(all_hold(&net, 300 + missed + waited), "a member lacks entries");
        assert_eq!(net.chain(1).len(), 3);
    }
}

#[test]
fn a_member_whose_disk_was_full_is_back_without_being_started_anew() {
    for full in [1, 2, 3] {
        let mut net = Net::founded();
        (0..40).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
        net.pass(500);
        net.full = vec![full];
        let head = net.chain(1)[0];
        net.propose_entry(head, "while it fills");
        net.pass(3000);
        let other: NodeId = if full == 1 { 2 } else { 1 };
        assert_eq!(net.chain(other).len(), 2, "a member with a full disk is removed from the chain");
        (0..200).for_each(|n| _ = net.propose_entry(net.chain(other)[0], &format!("missed {n}")));
        net.pass(500);
        net.free_disk(full);
        net.pass(4000);
        assert_eq!(net.chain(other).len(), 3, "member {full} is not back");
        let states: Vec<_> = net.members.values().map(|member| member.committed_state().clone()).collect();
        assert!(states.iter().all(|state| *state == states[0] && state.len() >= 240), "member {full}");
        net.members.remove(&other);
        net.pass(3000);
        let op = net.propose_entry(full, "after a second loss");
        net.pass(500);
        assert!(net.done.contains(&(full, op, true)), "the cluster does not tolerate a loss after the return");
    }
}

#[test]
fn a_chain_too_short_to_take_entries_lets_a_joiner_in_whatever_waits() {
    let mut net = Net::founded();
    (0..5).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.pass(500);
    net.members.remove(&2);
    net.pass(3000);
    [1, 3].iter().for_each(|id| net.members.get_mut(id).unwrap().defer_joins(true));
    net.start(2);
    net.pass(2000);
    assert_eq!(net.chain(1), vec![1, 3], "joiners wait while there are enough replicas");
    net.members.remove(&3);
    net.pass(3500);
    assert_eq!(net.chain(1), vec![1, 2], "pending entries need a second replica");
}

#[test]
fn an_old_answer_to_a_round_started_before_the_disk_was_full_confirms_nothing() {
    let mut net = Net::founded();
    (0..5).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.pass(500);
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.feed(3, chain::Input::Confirm);
    let held: Vec<_> = net.frames.drain(..).filter(|(from, ..)| *from == 3).collect();
    net.full = vec![3];
    net.propose_entry(1, "fills it");
    net.settle();
    net.free_disk(3);
    net.pass(500);
    assert!(net.members[&3].is_current_tail(), "it is the tail again");
    net.confirmed.clear();
    net.members.get_mut(&3).unwrap().request_confirmation();
    net.feed(3, chain::Input::Confirm);
    net.frames.clear();
    held.into_iter().for_each(|frame| net.frames.push_back(frame));
    net.settle();
    assert!(net.confirmed.is_empty(), "an answer to an earlier round was counted for the current one");
}

#[test]
fn a_member_brought_up_by_one_that_is_lost_meanwhile_starts_over_with_another() {
    for (lost, comes) in [(2, 5), (1, 5)] {
        let mut net = Net::founded();
        (0..1500).for_each(|n| _ = net.propose_entry(1, &words(&format!("before {n}"))));
        net.pass(1000);
        net.members.remove(&3);
        net.pass(3000);
        net.start(4);
        let mut turns = 0;
        while net.caught_up_by.get(&4).is_none_or(|(messages, _)| *messages < 3) && turns < 200 {
            net.now += std::time::Duration::from_millis(50);
            let ids: Vec<NodeId> = net.members.keys().copied().collect();
            ids.into_iter().for_each(|id| net.feed(id, chain::Input::Tick));
            net.steps(40);
            turns += 1;
        }
        assert!(!net.members[&4].is_in_chain(), "it joined the chain with incomplete state");
        let kept = net.members.remove(&lost);
        net.pass(2000);
        net.start(comes);
        net.pass(2000);
        assert!(!net.members[&4].is_current_tail() && !net.members[&4].is_head());
        net.start(lost);
        drop(kept);
        net.pass(15_000);
        let survivor = if lost == 1 { 2 } else { 1 };
        assert!(net.chain(survivor).len() >= 3, "chain {:?} after losing {lost}", net.chain(survivor));
        for id in net.chain(survivor) {
            assert_eq!(net.members[&id].committed_state().len(), 1500, "member {id}");
        }
    }
}

#[test]
fn a_member_with_old_state_that_is_up_first_has_no_role_and_answers_nothing() {
    for old in [1, 2, 3] {
        let mut net = Net::founded();
        (0..10).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
        net.pass(500);
        net.members.remove(&old);
        net.pass(3000);
        let head = net.chain(if old == 1 { 2 } else { 1 })[0];
        (0..300).for_each(|n| _ = net.propose_entry(head, &format!("missed {n}")));
        net.pass(1000);
        net.members.clear();
        net.done.clear();
        net.confirmed.clear();
        net.start(old);
        for _ in 0..60 {
            let op = net.propose_entry(old, "a proposal to a member with old state");
            net.members.get_mut(&old).unwrap().request_confirmation();
            net.feed(old, chain::Input::Confirm);
            net.pass(100);
            assert!(!net.done.contains(&(old, op, true)), "member {old} acknowledged");
            assert!(net.confirmed.is_empty(), "member {old} was confirmed by itself");
            assert!(!net.members[&old].committed_state().contains_key("before 9"), "old state counts as committed");
        }
        [1, 2, 3].into_iter().filter(|id| *id != old).for_each(|id| net.start(id));
        net.pass(6000);
        assert_eq!(net.chain(old).len(), 3);
        for id in [1, 2, 3] {
            assert!(net.members[&id].committed_state().contains_key("missed 299"), "member {id}");
        }
    }
}
