//! The membership as a list of members with a number: owners picked from it, and what differs between two.

use leases::{HASHING, Member, Membership};
use std::collections::BTreeMap;
use wire::{Capacity, NodeId};

fn line(id: NodeId, processor_milli: u32, link_kbit: u32) -> Member {
    Member {
        id: id * 7919,
        incarnation: 1,
        address: "10.0.0.1:1".into(),
        zone: ["a", "b", "c"][(id % 3) as usize].into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING,
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

/// Whatever machine is lost, only its own functions move, and to those who were told to keep them.
fn loses_one_by_one(members: &[Member]) {
    let (full, names) = (membership(members.to_vec()), names(600));
    for gone in members {
        let left = members.iter().filter(|line| line.id != gone.id).cloned().collect();
        let less = membership(left);
        for name in &names {
            let (before, after) = (full.owner(name).unwrap(), less.owner(name).unwrap());
            assert!(before != gone.id || full.owner_after(name, gone.id) == Some(after), "{name}: the next home");
            assert!(before == after || before == gone.id, "{name} moved from {before} to {after}");
        }
    }
}

#[test]
fn losing_one_machine_moves_only_its_own_functions_and_equal_machines_have_equal_parts() {
    let members: Vec<Member> = (1..=10).map(|id| line(id, 1000, 1_000_000)).collect();
    loses_one_by_one(&members);
    let counts = counts(&membership(members), &names(2000));
    assert!(counts.len() == 10 && counts.values().all(|count| (140..270).contains(count)), "{counts:?}");
}

#[test]
fn machines_far_weaker_than_the_strongest_forward_nothing_and_their_loss_moves_nothing() {
    let strong = (1..=6).map(|id| line(id, 260, 100_000));
    let members: Vec<Member> = strong.chain((7..=79).map(|id| line(id, 120, 2000))).collect();
    loses_one_by_one(&members[..12]);
    let full = membership(members);
    let strong: Vec<NodeId> = (1..=6).map(|id| id * 7919).collect();
    assert_eq!(full.owners(), strong);
    let counts = counts(&full, &names(1030));
    assert!(counts.values().all(|count| (110..240).contains(count)), "{counts:?}");
}

#[test]
fn a_machine_with_half_of_the_processor_carries_a_quarter_as_much() {
    let members = (1..=4).map(|id| line(id, if id % 2 == 0 { 500 } else { 1000 }, 1000)).collect();
    let counts = counts(&membership(members), &names(4000));
    let (strong, weak) = (counts[&7919] + counts[&(3 * 7919)], counts[&(2 * 7919)] + counts[&(4 * 7919)]);
    assert!(strong > weak * 3 && strong < weak * 5, "{counts:?}");
}

#[test]
fn where_fewer_than_two_are_fit_all_forward_something() {
    let members: Vec<Member> = (1..=5).map(|id| line(id, if id == 1 { 1000 } else { 200 }, 1000)).collect();
    loses_one_by_one(&members[1..]);
    assert_eq!(membership(members).owners().len(), 5);
}

#[test]
fn a_leaving_machine_owns_nothing_while_another_stays() {
    let (leaving, weak) = (Member { leaving: 1, ..line(1, 1000, 1000) }, line(2, 10, 10));
    let membership = membership(vec![leaving, weak.clone()]);
    assert!(names(50).iter().all(|name| membership.owner(name) == Some(weak.id)));
}

#[test]
fn with_a_member_that_knows_only_the_first_hashing_all_reckon_by_that() {
    let mut members: Vec<Member> = (1..=9).map(|id| line(id, 100 * id as u32, 1000)).collect();
    members[3].hashing = 1;
    let counts = counts(&membership(members), &names(900));
    assert!(counts.len() == 9 && counts.values().all(|count| (50..160).contains(count)), "{counts:?}");
}

#[test]
fn records_are_read_in_both_shapes_and_written_as_the_format_has_them() {
    let full = membership((1..=3).map(|id| line(id, 260, 2000)).collect());
    assert_eq!(Membership::read(&full.clone().written(wire::FORMAT)), Some(full.clone()));
    let older = Membership::read(&full.clone().written(wire::CAPACITY_FORMAT - 1)).unwrap();
    let plain = |line: &Member| Member { hashing: 1, capacity: Capacity::default(), ..line.clone() };
    assert_eq!(older.members.iter().cloned().collect::<Vec<_>>(), full.members.iter().map(plain).collect::<Vec<_>>());
}

#[test]
fn a_membership_and_what_changed_make_the_next() {
    let of = |ids: &[u64]| ids.iter().map(|id| line(*id, 260, 2000)).collect::<Vec<_>>();
    let first = membership(of(&[1, 2, 3, 5]));
    let mut lines = of(&[2, 3, 4, 5, 9]);
    lines[1].leaving = 1;
    let next = Membership { number: 8, members: lines.into() };
    let change = next.change_since(&first);
    let changed: Vec<u64> = change.lines.iter().map(|line| line.id / 7919).collect();
    assert_eq!((changed, change.gone.as_slice()), (vec![3, 4, 9], &[7919][..]));
    assert_eq!(first.changed(8, change), next);
    assert_eq!(Membership::default().changed(8, next.change_since(&Membership::default())), next);
}
