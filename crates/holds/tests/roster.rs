//! The roster as a list of members with a number: homes picked from it, and what differs between two.

use holds::{MemberLine, Roster};

fn roster(ids: &[u64]) -> Roster {
    let members: Vec<MemberLine> = ids
        .iter()
        .map(|id| MemberLine {
            id: *id,
            incarnation: 1,
            address: "".into(),
            zone: ["a", "b", "c"][(*id % 3) as usize].into(),
            ops: "".into(),
            leaving: 0,
        })
        .collect();
    Roster { number: 1, members: members.into() }
}

#[test]
fn losing_one_machine_moves_only_its_own_functions_and_every_machine_has_some() {
    let all: Vec<u64> = (1..=10).collect();
    let whole = roster(&all);
    let names: Vec<String> = (0..600).map(|n| format!("t/f{n}")).collect();
    for gone in &all {
        let left: Vec<u64> = all.iter().copied().filter(|id| id != gone).collect();
        let less = roster(&left);
        let mut moved = 0;
        for name in &names {
            let (before, after) = (whole.home(name).unwrap(), less.home(name).unwrap());
            assert!(before != *gone || whole.home_after(name, *gone) == Some(after), "{name}: the next home");
            assert!(before == after || before == *gone, "{name} moved from {before} to {after}");
            moved += usize::from(before == *gone);
        }
        assert!(moved >= 20, "machine {gone} was home to {moved} of {}", names.len());
    }
}

#[test]
fn a_leaving_machine_is_home_to_nothing_while_another_stays() {
    let mut roster = roster(&[1, 2]);
    let mut members = roster.members.clone().into_vec();
    members[0].leaving = 1;
    roster.members = members.into();
    assert!((0..50).all(|n| roster.home(&format!("f{n}")) == Some(2)));
}

#[test]
fn a_roster_and_what_changed_make_the_next() {
    let first = roster(&[1, 2, 3, 5]);
    let mut lines = roster(&[2, 3, 4, 5, 9]).members.into_vec();
    lines[1].leaving = 1;
    let next = Roster { number: 8, members: lines.into() };
    let change = next.change_since(&first);
    let changed: Vec<u64> = change.lines.iter().map(|line| line.id).collect();
    assert_eq!((changed, change.gone.as_slice()), (vec![3, 4, 9], &[1][..]));
    assert_eq!(first.changed(8, change), next);
    assert_eq!(Roster::default().changed(8, next.change_since(&Roster::default())), next);
}
