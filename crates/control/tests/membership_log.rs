//! Changes that a registry logs when routers join, leave and lapse.

use chain::State;
use control::{MemberChange, MembershipLog, apply};
use wire::{Command, to_bytes};

fn propose(state: &mut State, command: &Command) {
    let effect = apply(state, 1, &to_bytes(command));
    effect.changes.iter().for_each(|change| change.apply_to(state));
}

fn join(id: u64, incarnation: u64) -> Command {
    let (address, zone, ops) = ("10.0.0.1:1".into(), "a".into(), "10.0.0.1:2".into());
    Command::Join { id, incarnation, address, zone, ops }
}

fn reported_changes(membership: &mut MembershipLog, state: &State) -> Vec<(MemberChange, u64)> {
    membership.take_changes(state).into_iter().map(|(change, member)| (change, member.id)).collect()
}

#[test]
fn joins_leaves_and_lapses_are_reported_once_each() {
    let (mut state, mut membership) = (State::new(), MembershipLog::default());
    assert_eq!(reported_changes(&mut membership, &state), []);
    propose(&mut state, &join(1, 1));
    assert_eq!(reported_changes(&mut membership, &state), [], "the first membership seen is not a change");
    propose(&mut state, &join(2, 1));
    assert_eq!(reported_changes(&mut membership, &state), [(MemberChange::Joined, 2)]);
    assert_eq!(reported_changes(&mut membership, &state), []);
    propose(&mut state, &Command::Leaving { id: 1, incarnation: 1 });
    propose(&mut state, &Command::ExpireLease { id: 2, incarnation: 1 });
    assert_eq!(reported_changes(&mut membership, &state), [(MemberChange::Lapsed, 2), (MemberChange::Leaving, 1)]);
    propose(&mut state, &Command::ExpireLease { id: 1, incarnation: 1 });
    assert_eq!(reported_changes(&mut membership, &state), [], "the departure was already reported");
}

#[test]
fn a_restarted_router_is_reported_as_joined_and_the_lapse_of_its_old_incarnation_is_not() {
    let (mut state, mut membership) = (State::new(), MembershipLog::default());
    propose(&mut state, &join(1, 1));
    assert_eq!(reported_changes(&mut membership, &state), [], "the first membership seen is not a change");
    propose(&mut state, &join(1, 2));
    assert_eq!(reported_changes(&mut membership, &state), [(MemberChange::Joined, 1)]);
    propose(&mut state, &Command::ExpireLease { id: 1, incarnation: 1 });
    assert_eq!(reported_changes(&mut membership, &state), []);
}
