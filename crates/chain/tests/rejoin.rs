//! Members that return to the chain after an absence.

mod net;

use net::Net;

#[test]
fn a_returning_member_is_sent_missed_entries_or_a_snapshot_if_its_log_diverged() {
    let mut net = Net::founded();
    (0..50).for_each(|n| _ = net.propose_entry(1, &format!("before {n}")));
    net.advance(500);
    net.members.remove(&2);
    net.advance(3000);
    (0..7).for_each(|n| _ = net.propose_entry(1, &format!("missed {n}")));
    net.advance(300);
    net.start(2);
    net.advance(4000);
    assert_eq!(net.caught_up, [(2, Some(7))]);
    assert_eq!((net.chain(1).len(), net.members[&2].state().len()), (3, 57));
    net.caught_up.clear();
    let head = net.chain(1)[0];
    net.isolated = vec![head];
    net.propose_entry(head, "never went on");
    net.advance(4000);
    net.isolated.clear();
    let other = net.chain(net.chain(if head == 1 { 3 } else { 1 })[0])[0];
    net.propose_entry(other, "went on without it");
    net.advance(5000);
    assert_eq!(net.caught_up, [(head, None)], "its log is no prefix of the committed log");
    let (one, two) = (net.members[&head].state().clone(), net.members[&other].state().clone());
    assert!(!one.contains_key("never went on") && one == two);
}

#[test]
fn a_single_cut_link_does_not_destabilize_the_chain() {
    let mut net = Net::founded();
    net.cut_links = vec![(1, 2)];
    net.advance(2000);
    let from = net.members[&3].view().number;
    let mut appended_count = 0;
    for n in 0..150 {
        let head = net.chain(3)[0];
        let op = net.propose_entry(head, &format!("entry {n}"));
        net.advance(100);
        appended_count += usize::from(net.finished.iter().any(|(_, done, appended)| *done == op && *appended));
    }
    let views = net.members[&3].view().number - from;
    assert!(views <= 15, "{views} views in fifteen seconds");
    assert!(appended_count >= 110, "{appended_count} of 150 entries were appended");
    net.cut_links.clear();
    net.advance(35_000);
    assert_eq!(net.chain(3).len(), 3, "the chain is not complete after the link is repaired");
}

#[test]
fn a_member_rejoins_soon_after_its_cut_link_is_repaired() {
    let mut net = Net::founded();
    net.cut_links = vec![(1, 2)];
    net.advance(20_000);
    net.cut_links.clear();
    net.advance(3000);
    assert_eq!(net.chain(3).len(), 3);
}

#[test]
fn a_learner_restarted_empty_is_sent_the_view_that_it_never_stored() {
    let mut net = Net::founded();
    net.propose_entry(1, "kept");
    net.deliver_all();
    net.append_blocked = vec![4];
    net.seeds.insert(4, vec![1, 2, 3]);
    net.start_with_founders(4, 0);
    net.advance(4000);
    assert_eq!(net.members[&1].view().learner, 4);
    net.disks.remove(&4);
    net.append_blocked.clear();
    net.start_with_founders(4, 0);
    net.advance(3000);
    assert_eq!((net.chain(4), net.members[&1].view().learner), (vec![1, 2, 3, 4], 0));
}
