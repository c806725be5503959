//! Tests of the membership: selection of owners, record formats, and differences between two memberships.

use leases::{HASHING_VERSION, Member, Membership};
use std::collections::BTreeMap;
use wire::{Capacity, NodeId};

fn member(id: NodeId, processor_milli: u32, link_kbit: u32) -> Member {
    Member {
        id: id * 7919,
        incarnation: 1,
        address: "10.0.0.1:1".into(),
        zone: ["a", "b", "c"][(id % 3) as usize].into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING_VERSION,
        capacity: Capacity { processor_milli, link_kbit },
    }
}

fn membership(members: Vec<Member>) -> Membership {
    Membership { number: 1, members: members.into() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("t/f{n}")).collect()
}

fn counts(membership: &Membership, names: &[String]) -> BTreeMap<NodeId, usize> {
    let mut counts = BTreeMap::new();
    names.iter().for_each(|name| *counts.entry(membership.owner(name).unwrap()).or_default() += 1);
    counts
}

/// Removes each member in turn and checks that only its functions move, each to its predicted next owner.
fn check_loss_of_each_member(members: &[Member]) {
    let (full, names) = (membership(members.to_vec()), names(600));
    for removed in members {
        let remaining = members.iter().filter(|member| member.id != removed.id).cloned().collect();
        let reduced = membership(remaining);
        for name in &names {
            let (before, after) = (full.owner(name).unwrap(), reduced.owner(name).unwrap());
            assert!(before != removed.id || full.owner_after(name, removed.id) == Some(after), "{name}: next owner");
            assert!(before == after || before == removed.id, "{name} moved from {before} to {after}");
        }
    }
}

#[test]
fn losing_a_machine_moves_only_its_functions_and_equal_machines_own_equal_shares() {
    let members: Vec<Member> = (1..=10).map(|id| member(id, 1000, 1_000_000)).collect();
    check_loss_of_each_member(&members);
    let counts = counts(&membership(members), &names(2000));
    assert!(counts.len() == 10 && counts.values().all(|count| (140..270).contains(count)), "{counts:?}");
}

#[test]
fn machines_far_weaker_than_the_strongest_own_nothing() {
    let strong = (1..=6).map(|id| member(id, 260, 100_000));
    let members: Vec<Member> = strong.chain((7..=79).map(|id| member(id, 120, 2000))).collect();
    check_loss_of_each_member(&members[..12]);
    let full = membership(members);
    let strong: Vec<NodeId> = (1..=6).map(|id| id * 7919).collect();
    assert_eq!(full.owners(), strong);
    let counts = counts(&full, &names(1030));
    assert!(counts.values().all(|count| (110..240).contains(count)), "{counts:?}");
}

#[test]
fn machine_with_half_of_the_processor_owns_a_quarter_as_much() {
    let members = (1..=4).map(|id| member(id, if id % 2 == 0 { 500 } else { 1000 }, 1000)).collect();
    let counts = counts(&membership(members), &names(4000));
    let (strong, weak) = (counts[&7919] + counts[&(3 * 7919)], counts[&(2 * 7919)] + counts[&(4 * 7919)]);
    assert!(strong > weak * 3 && strong < weak * 5, "{counts:?}");
}

#[test]
fn all_machines_own_functions_if_fewer_than_two_are_fit() {
    let members: Vec<Member> = (1..=5).map(|id| member(id, if id == 1 { 1000 } else { 200 }, 1000)).collect();
    check_loss_of_each_member(&members[1..]);
    assert_eq!(membership(members).owners().len(), 5);
}

#[test]
fn leaving_machine_owns_nothing_while_another_stays() {
    let (leaving, weak) = (Member { leaving: 1, ..member(1, 1000, 1000) }, member(2, 10, 10));
    let membership = membership(vec![leaving, weak.clone()]);
    assert!(names(50).iter().all(|name| membership.owner(name) == Some(weak.id)));
}

#[test]
fn hashing_version_1_applies_if_a_member_knows_only_that() {
    let mut members: Vec<Member> = (1..=9).map(|id| member(id, 100 * id as u32, 1000)).collect();
    members[3].hashing = 1;
    let counts = counts(&membership(members), &names(900));
    assert!(counts.len() == 9 && counts.values().all(|count| (50..160).contains(count)), "{counts:?}");
}

#[test]
fn records_are_decoded_in_both_formats_and_encoded_by_wire_format() {
    let full = membership((1..=3).map(|id| member(id, 260, 2000)).collect());
    assert_eq!(Membership::read(&full.clone().encode(wire::FORMAT)), Some(full.clone()));
    let older = Membership::read(&full.clone().encode(wire::CAPACITY_FORMAT - 1)).unwrap();
    let plain = |member: &Member| Member { hashing: 1, capacity: Capacity::default(), ..member.clone() };
    assert_eq!(older.members.iter().cloned().collect::<Vec<_>>(), full.members.iter().map(plain).collect::<Vec<_>>());
}

#[test]
fn applying_a_change_yields_the_next_membership() {
    let of = |ids: &[u64]| ids.iter().map(|id| member(*id, 260, 2000)).collect::<Vec<_>>();
    let first = membership(of(&[1, 2, 3, 5]));
    let mut updated = of(&[2, 3, 4, 5, 9]);
    updated[1].leaving = 1;
    let next = Membership { number: 8, members: updated.into() };
    let change = next.change_since(&first);
    let updated_ids: Vec<u64> = change.updated.iter().map(|member| member.id / 7919).collect();
    assert_eq!((updated_ids, change.removed.as_slice()), (vec![3, 4, 9], &[7919][..]));
    assert_eq!(first.with_change(8, change), next);
    assert_eq!(Membership::default().with_change(8, next.change_since(&Membership::default())), next);
}
