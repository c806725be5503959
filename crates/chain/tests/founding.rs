//! Bootstrap of a cluster: which members found it, with how many voters, and how later members find it.

mod net;

use net::Net;

#[test]
fn a_member_that_may_not_found_waits_and_joins_through_whichever_seed_lives() {
    for seed in [1, 2, 3] {
        let mut net = Net::founded();
        net.propose_entry(1, "a");
        net.settle();
        net.seeds.insert(4, vec![seed, 8, 9]);
        let gone = if seed == 2 { 3 } else { 2 };
        net.members.remove(&gone);
        net.start_founding(4, 0);
        net.pass(8000);
        assert_eq!((net.chain(4).len(), net.chain(4).last()), (3, Some(&4)), "through {seed}");
        assert!(net.members[&4].committed_state().contains_key("a"));
    }
}

#[test]
fn members_that_may_not_found_never_do() {
    let mut net = Net::new(&[]);
    (1..=3).for_each(|id| net.start_founding(id, 0));
    net.pass(8000);
    assert!(net.members.values().all(|member| member.view().number == 0));
    net.start_founding(1, 3);
    net.pass(8000);
    assert!(net.members.values().all(|member| member.view().number == 0), "a single founder does not suffice");
}

#[test]
fn a_member_that_bound_itself_to_a_bootstrap_goes_through_with_it() {
    let mut net = Net::new(&[1, 2, 3]);
    while net.disks.values().all(|disk| disk.meta.accepted_number == 0) {
        net.pass(50);
    }
    assert!(
        net.members.values().any(|member| member.view().number == 0),
        "all members have adopted the first view already"
    );
    net.members.clear();
    (1..=3).for_each(|id| net.start_founding(id, 0));
    net.pass(3000);
    let views: Vec<u64> = net.members.values().map(|member| member.view().number).collect();
    let bound = net.disks.values().filter(|disk| disk.meta.accepted_number > 0 || disk.meta.view.number > 0).count();
    assert!(bound == 3 && views.iter().all(|number| *number > 0), "{bound} bound, views {views:?}");
}

#[test]
fn a_cluster_is_founded_with_as_many_seats_as_there_are_seeds() {
    for seats in 1..=2 {
        let mut net = Net::new(&[]);
        (1..=seats).for_each(|id| net.start_founding(id, seats as usize));
        net.pass(3000);
        assert_eq!(net.chain(1), (1..=seats).collect::<Vec<_>>());
        let op = net.propose_entry(1, "kept");
        net.pass(500);
        assert!(net.done.contains(&(1, op, true)));
        net.members.remove(&seats);
        net.start_founding(seats, 0);
        net.pass(5000);
        assert_eq!(net.chain(1).len(), seats as usize);
        assert!(net.members[&seats].committed_state().contains_key("kept"), "it lost its disk contents");
        net.start_founding(7, 0);
        net.pass(5000);
        assert_eq!(net.chain(7).len(), seats as usize + 1, "another member could not join");
        assert!(net.members[&7].committed_state().contains_key("kept"));
    }
}
