//! The linearizability check accepts a correct history and reports each anomaly planted in one.

use checker::{Anomaly, Invocation, Read, Response, find_anomalies};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn invocation(change: &str, base: u64, from: u64, to: u64, response: Response) -> Invocation {
    let (change, base) = (change.to_owned(), Some(base));
    Invocation { change, base, is_valid: true, sent: ms(from), ended: ms(to), response }
}

fn acknowledged(change: &str, base: u64, from: u64, to: u64, revision: u64) -> Invocation {
    invocation(change, base, from, to, Response::Acknowledged { revision })
}

fn read(from: u64, to: u64, revision: u64, change: &str) -> Read {
    Read { sent: ms(from), ended: ms(to), revision, change: Some(change.to_owned()) }
}

/// Three revisions, a race, a lost answer whose change is sent again, and a change with an unknown outcome.
fn valid_history() -> Vec<Invocation> {
    vec![
        acknowledged("a", 0, 0, 10, 1),
        acknowledged("b", 1, 20, 40, 5),
        invocation("c", 1, 20, 50, Response::Stale),
        invocation("d", 5, 60, 1060, Response::Unknown),
        acknowledged("d", 5, 1100, 1150, 6),
        acknowledged("a", 0, 1200, 1210, 1),
        invocation("e", 6, 1300, 2300, Response::Unknown),
    ]
}

fn anomalies_with(more: Invocation) -> Vec<Anomaly> {
    let mut history = valid_history();
    history.push(more);
    find_anomalies(&history, &[])
}

#[test]
fn linearizable_history_has_no_anomaly() {
    let reads = [read(5, 15, 1, "a"), read(45, 70, 5, "b"), read(70, 90, 6, "d"), read(2400, 2410, 7, "e")];
    assert_eq!(find_anomalies(&valid_history(), &reads), []);
}

#[test]
fn stale_refusal_is_accepted_if_an_unknown_change_may_have_been_first() {
    let later = invocation("f", 6, 2400, 2410, Response::Stale);
    assert_eq!(anomalies_with(later), [], "the outcome of e is unknown");
}

#[test]
fn two_acknowledged_changes_on_one_base_are_reported() {
    let changes = ["b", "c"].map(str::to_owned);
    assert!(
        anomalies_with(acknowledged("c", 1, 60, 70, 8)).contains(&Anomaly::TwoChangesOnOneBase { base: 1, changes })
    );
}

#[test]
fn revision_acknowledged_for_two_changes_is_reported() {
    let changes = ["d", "g"].map(str::to_owned);
    assert_eq!(anomalies_with(acknowledged("g", 4, 1110, 1151, 6)), [Anomaly::RevisionReused { revision: 6, changes }]);
}

#[test]
fn change_applied_twice_is_reported() {
    let found = anomalies_with(acknowledged("a", 0, 1300, 1400, 9));
    assert!(found.contains(&Anomaly::AppliedTwice { change: "a".into(), revisions: [1, 9] }), "{found:?}");
}

#[test]
fn refusal_after_acknowledgement_is_reported() {
    let again = invocation("b", 1, 60, 70, Response::Stale);
    assert_eq!(anomalies_with(again), [Anomaly::RefusedAfterAcknowledgement { change: "b".into() }]);
    let again = invocation("b", 1, 60, 70, Response::Invalid);
    assert_eq!(anomalies_with(again), [Anomaly::RefusedAfterAcknowledgement { change: "b".into() }]);
}

#[test]
fn refusal_of_a_change_on_the_current_revision_is_reported() {
    let next = invocation("next", 1, 12, 15, Response::Stale);
    assert_eq!(anomalies_with(next), [Anomaly::RefusedThoughBaseCurrent { change: "next".into(), base: 1 }]);
}

#[test]
fn acknowledged_invalid_change_is_reported() {
    let invalid = Invocation { is_valid: false, ..acknowledged("x", 6, 1300, 1400, 7) };
    assert_eq!(anomalies_with(invalid), [Anomaly::InvalidAcknowledged { change: "x".into() }]);
}

#[test]
fn decreasing_revision_is_reported() {
    let back = acknowledged("x", 3, 1300, 1400, 4);
    assert_eq!(anomalies_with(back), [Anomaly::RevisionWentBack { change: "x".into(), revision: 4, newer: 6 }]);
}

#[test]
fn stale_read_and_lost_update_are_reported() {
    let found = |reads: &[Read]| find_anomalies(&valid_history(), reads);
    assert_eq!(found(&[read(45, 50, 1, "a")]), [Anomaly::StaleRead { read: 1, known: 5 }]);
    assert_eq!(found(&[read(60, 70, 6, "d"), read(80, 90, 5, "b")]), [Anomaly::StaleRead { read: 5, known: 6 }]);
    let lost = |revision, change: &str| [Anomaly::LostUpdate { revision, read: change.into() }];
    assert_eq!(found(&[read(1160, 1170, 6, "b")]), lost(6, "b"));
    assert_eq!(found(&[read(2400, 2410, 7, "c")]), lost(7, "c"), "a refused change took effect");
}
