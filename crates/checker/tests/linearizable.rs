//! The checker of operators' histories passes what is right and finds each fault planted for it.

use checker::{Anomaly, Invocation, Read, Response, anomalies};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn sent(order: &str, base: u64, from: u64, to: u64, response: Response) -> Invocation {
    let (order, base) = (order.to_owned(), Some(base));
    Invocation { order, base, is_valid: true, sent: ms(from), ended: ms(to), response }
}

fn taken(order: &str, base: u64, from: u64, to: u64, revision: u64) -> Invocation {
    sent(order, base, from, to, Response::Taken { revision })
}

fn read(from: u64, to: u64, revision: u64, order: &str) -> Read {
    Read { sent: ms(from), ended: ms(to), revision, order: Some(order.to_owned()) }
}

/// Three revisions, a race, a lost answer with its second sending, and an order nobody knows about.
fn history() -> Vec<Invocation> {
    vec![
        taken("a", 0, 0, 10, 1),
        taken("b", 1, 20, 40, 5),
        sent("c", 1, 20, 50, Response::Stale),
        sent("d", 5, 60, 1060, Response::Unknown),
        taken("d", 5, 1100, 1150, 6),
        taken("a", 0, 1200, 1210, 1),
        sent("e", 6, 1300, 2300, Response::Unknown),
    ]
}

fn planted(more: Invocation) -> Vec<Anomaly> {
    let mut history = history();
    history.push(more);
    anomalies(&history, &[])
}

#[test]
fn a_right_history_has_no_anomaly() {
    let reads = [read(5, 15, 1, "a"), read(45, 70, 5, "b"), read(70, 90, 6, "d"), read(2400, 2410, 7, "e")];
    assert_eq!(anomalies(&history(), &reads), []);
}

#[test]
fn an_order_is_refused_while_another_may_have_come_first() {
    let later = sent("f", 6, 2400, 2410, Response::Stale);
    assert_eq!(planted(later), [], "what became of e isn't known");
}

#[test]
fn two_winners_are_found() {
    let orders = ["b", "c"].map(str::to_owned);
    assert!(planted(taken("c", 1, 60, 70, 8)).contains(&Anomaly::TwoWinners { base: 1, orders }));
}

#[test]
fn one_number_for_two_orders_is_found() {
    let orders = ["d", "g"].map(str::to_owned);
    assert_eq!(planted(taken("g", 4, 1110, 1151, 6)), [Anomaly::OneRevisionTwice { revision: 6, orders }]);
}

#[test]
fn an_order_applied_twice_is_found() {
    let found = planted(taken("a", 0, 1300, 1400, 9));
    assert!(found.contains(&Anomaly::AppliedTwice { order: "a".into(), revisions: [1, 9] }), "{found:?}");
}

#[test]
fn a_refusal_after_the_acknowledgement_is_found() {
    let again = sent("b", 1, 60, 70, Response::Stale);
    assert_eq!(planted(again), [Anomaly::RefusedThoughTaken { order: "b".into() }]);
    let again = sent("b", 1, 60, 70, Response::Invalid);
    assert_eq!(planted(again), [Anomaly::RefusedThoughTaken { order: "b".into() }]);
}

#[test]
fn a_refusal_of_the_order_that_is_next_is_found() {
    let next = sent("next", 1, 12, 15, Response::Stale);
    assert_eq!(planted(next), [Anomaly::RefusedThoughCurrent { order: "next".into(), base: 1 }]);
}

#[test]
fn an_invalid_order_that_is_acknowledged_is_found() {
    let invalid = Invocation { is_valid: false, ..taken("x", 6, 1300, 1400, 7) };
    assert_eq!(planted(invalid), [Anomaly::InvalidTaken { order: "x".into() }]);
}

#[test]
fn a_number_that_goes_back_is_found() {
    let back = taken("x", 3, 1300, 1400, 4);
    assert_eq!(planted(back), [Anomaly::WentBack { order: "x".into(), revision: 4, newer: 6 }]);
}

#[test]
fn a_stale_read_and_a_lost_update_are_found() {
    let found = |reads: &[Read]| anomalies(&history(), reads);
    assert_eq!(found(&[read(45, 50, 1, "a")]), [Anomaly::StaleRead { read: 1, known: 5 }]);
    assert_eq!(found(&[read(60, 70, 6, "d"), read(80, 90, 5, "b")]), [Anomaly::StaleRead { read: 5, known: 6 }]);
    let lost = |revision, order: &str| [Anomaly::LostUpdate { revision, read: order.into() }];
    assert_eq!(found(&[read(1160, 1170, 6, "b")]), lost(6, "b"));
    assert_eq!(found(&[read(2400, 2410, 7, "c")]), lost(7, "c"), "a refused order took effect");
}
