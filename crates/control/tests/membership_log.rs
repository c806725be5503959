//! What a registry's log tells of the routers that join, leave and lapse, membership by membership.

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

fn activation_sent(membership: &mut MembershipLog, state: &State) -> Vec<(MemberChange, u64)> {
    membership.changes(state).into_iter().map(|(change, line)| (change, line.id)).collect()
}

#[test]
fn joins_leaves_and_lapses_are_reported_once_each() {
    let (mut state, mut membership) = (State::new(), MembershipLog::default());
    assert_eq!(activation_sent(&mut membership, &state), []);
    propose(&mut state, &join(1, 1));
    assert_eq!(activation_sent(&mut membership, &state), [], "what is found at the first look is no change");
    propose(&mut state, &join(2, 1));
    assert_eq!(activation_sent(&mut membership, &state), [(MemberChange::Joined, 2)]);
    assert_eq!(activation_sent(&mut membership, &state), []);
    propose(&mut state, &Command::Leaving { id: 1, incarnation: 1 });
    propose(&mut state, &Command::ExpireLease { id: 2, incarnation: 1 });
    assert_eq!(activation_sent(&mut membership, &state), [(MemberChange::Lapsed, 2), (MemberChange::Leaving, 1)]);
    propose(&mut state, &Command::ExpireLease { id: 1, incarnation: 1 });
    assert_eq!(activation_sent(&mut membership, &state), [], "that it leaves was told before");
}

#[test]
fn a_router_started_again_is_reported_as_joined_and_its_old_lapse_as_nothing() {
    let (mut state, mut membership) = (State::new(), MembershipLog::default());
    propose(&mut state, &join(1, 1));
    assert_eq!(activation_sent(&mut membership, &state), [], "what is found at the first look is no change");
    propose(&mut state, &join(1, 2));
    assert_eq!(activation_sent(&mut membership, &state), [(MemberChange::Joined, 1)]);
    propose(&mut state, &Command::ExpireLease { id: 1, incarnation: 1 });
    assert_eq!(activation_sent(&mut membership, &state), []);
}
