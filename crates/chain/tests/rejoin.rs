//! Members that return to the chain after an absence.

mod net;

use net::Net;

#[test]
fn a_member_out_for_seconds_is_sent_what_it_missed_and_one_with_another_history_a_snapshot() {
    let mut net = Net::founded();
    (0..50).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.pass(500);
    net.members.remove(&2);
    net.pass(3000);
    (0..7).for_each(|n| _ = net.propose_entry(1, &format!("missed {n}")));
    net.pass(300);
    net.start(2);
    net.pass(4000);
    assert_eq!(net.installed, [(2, Some(7))]);
    assert_eq!((net.chain(1).len(), net.members[&2].state().len()), (3, 57));
    net.installed.clear();
    let head = net.chain(1)[0];
    net.cut = vec![head];
    net.propose_entry(head, "never went on");
    net.pass(4000);
    net.cut.clear();
    let other = net.chain(net.chain(if head == 1 { 3 } else { 1 })[0])[0];
    net.propose_entry(other, "went on without it");
    net.pass(5000);
    assert_eq!(net.installed, [(head, None)], "its log is no prefix of the committed log");
    let (one, two) = (net.members[&head].state().clone(), net.members[&other].state().clone());
    assert!(!one.contains_key("never went on") && one == two);
}

#[test]
fn one_cut_link_inside_the_core_does_not_keep_the_chain_from_standing() {
    let mut net = Net::founded();
    net.pairs = vec![(1, 2)];
    net.pass(2000);
    let from = net.members[&3].view().number;
    let mut taken = 0;
    for n in 0..150 {
        let head = net.chain(3)[0];
        let op = net.propose_entry(head, &format!("entry {n}"));
        net.pass(100);
        taken += usize::from(net.done.iter().any(|(_, done, appended)| *done == op && *appended));
    }
    let views = net.members[&3].view().number - from;
    assert!(views <= 15, "{views} views in fifteen seconds");
    assert!(taken >= 110, "{taken} of 150 entries were appended");
    net.pairs.clear();
    net.pass(35_000);
    assert_eq!(net.chain(3).len(), 3, "the chain is not complete after the link is repaired");
}

#[test]
fn a_member_is_back_soon_after_the_one_link_that_kept_it_out_is_repaired() {
    let mut net = Net::founded();
    net.pairs = vec![(1, 2)];
    net.pass(20_000);
    net.pairs.clear();
    net.pass(3000);
    assert_eq!(net.chain(3).len(), 3);
}

#[test]
fn an_empty_restarted_learner_is_told_the_view_that_it_never_kept() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.settle();
    net.starved = vec![4];
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_founding(4, 0);
    net.pass(4000);
    assert_eq!(net.members[&1].view().learner, 4);
    net.disks.remove(&4);
    net.starved.clear();
    net.start_founding(4, 0);
    net.pass(3000);
    assert_eq!((net.chain(4), net.members[&1].view().learner), (vec![1, 2, 3, 4], 0));
}
