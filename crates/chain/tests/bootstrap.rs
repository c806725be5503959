//! Bootstrap of a cluster: which members found it, with how many voters, and how later members find it.

mod net;

use net::Net;

#[test]
fn a_member_that_may_not_found_joins_through_any_live_seed() {
    for seed in [1, 2, 3] {
        let mut net = Net::founded();
        net.propose_entry(1, "a");
        net.deliver_all();
        net.seeds.insert(4, vec![seed, 8, 9]);
        let lost = if seed == 2 { 3 } else { 2 };
        net.members.remove(&lost);
        net.start_with_founders(4, 0);
        net.advance(8000);
        assert_eq!((net.chain(4).len(), net.chain(4).last()), (3, Some(&4)), "through {seed}");
        assert!(net.members[&4].committed_state().contains_key("a"));
    }
}

#[test]
fn members_that_may_not_found_never_found_a_cluster() {
    let mut net = Net::new(&[]);
    (1..=3).for_each(|id| net.start_with_founders(id, 0));
    net.advance(8000);
    assert!(net.members.values().all(|member| member.view().number == 0));
    net.start_with_founders(1, 3);
    net.advance(8000);
    assert!(net.members.values().all(|member| member.view().number == 0), "a single founder does not suffice");
}

#[test]
fn a_member_bound_to_founders_completes_the_bootstrap_after_a_restart() {
    let mut net = Net::new(&[1, 2, 3]);
    while net.disks.values().all(|disk| disk.meta.accepted_number == 0) {
        net.advance(50);
    }
    assert!(
        net.members.values().any(|member| member.view().number == 0),
        "all members have adopted the first view already"
    );
    net.members.clear();
    (1..=3).for_each(|id| net.start_with_founders(id, 0));
    net.advance(3000);
    let views: Vec<u64> = net.members.values().map(|member| member.view().number).collect();
    let bound = net.disks.values().filter(|disk| disk.meta.accepted_number > 0 || disk.meta.view.number > 0).count();
    assert!(bound == 3 && views.iter().all(|number| *number > 0), "{bound} bound, views {views:?}");
}

#[test]
fn a_cluster_is_founded_with_as_many_voters_as_there_are_seeds() {
    for founders in 1..=2 {
        let mut net = Net::new(&[]);
        (1..=founders).for_each(|id| net.start_with_founders(id, founders as usize));
        net.advance(3000);
        assert_eq!(net.chain(1), (1..=founders).collect::<Vec<_>>());
        let op = net.propose_entry(1, "kept");
        net.advance(500);
        assert!(net.finished.contains(&(1, op, true)));
        net.members.remove(&founders);
        net.start_with_founders(founders, 0);
        net.advance(5000);
        assert_eq!(net.chain(1).len(), founders as usize);
        assert!(net.members[&founders].committed_state().contains_key("kept"), "it lost its disk contents");
        net.start_with_founders(7, 0);
        net.advance(5000);
        assert_eq!(net.chain(7).len(), founders as usize + 1, "another member could not join");
        assert!(net.members[&7].committed_state().contains_key("kept"));
    }
}
