//! Which request leads an operation, which requests wait, which answers are kept and for how long.

use super::{JoinResult, KeyedOperations, MAX_ANSWER_BYTES};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{Outcome, StoredAnswer};

fn answer(body: &[u8]) -> StoredAnswer {
    StoredAnswer { outcome: Outcome::Answered, status: 200, head: Vec::new().into(), body: body.to_vec().into() }
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_repeat_waits_for_the_leader_and_later_repeats_get_its_answer_until_it_expires() {
    let mut operations = KeyedOperations::default();
    assert_eq!(operations.join(at(0), "a", b"1", 1), JoinResult::Leads);
    assert_eq!(operations.join(at(0), "a", b"1", 2), JoinResult::Waits);
    assert_eq!(operations.join(at(0), "a", b"2", 3), JoinResult::Contested);
    assert_eq!(operations.running(), 1);
    assert!(operations.end("a", 3, None).is_empty(), "request 3 leads no operation");
    assert_eq!(operations.end("a", 1, Some((answer(b"x"), at(60)))), [2]);
    assert_eq!((operations.running(), operations.answers()), (0, 1));
    assert_eq!(operations.join(at(59), "a", b"1", 4), JoinResult::Answered(answer(b"x")));
    assert_eq!(operations.join(at(59), "a", b"2", 5), JoinResult::OtherRequest);
    assert_eq!(operations.join(at(60), "a", b"1", 6), JoinResult::Leads);
    assert_eq!((operations.answers(), operations.answer_bytes()), (0, 0));
}

#[test]
fn ending_without_an_answer_frees_the_key_and_returns_the_waiting_requests() {
    let mut operations = KeyedOperations::default();
    operations.join(at(0), "a", b"1", 1);
    operations.join(at(0), "a", b"1", 2);
    operations.join(at(0), "a", b"1", 3);
    assert!(operations.end("a", 2, None).is_empty(), "only a leader returns waiting requests");
    assert_eq!(operations.end("a", 1, None), [3]);
    assert_eq!(operations.join(at(1), "a", b"1", 4), JoinResult::Leads);
}

#[test]
fn the_latest_answers_are_kept_within_the_size_limit() {
    let mut operations = KeyedOperations::default();
    let body = vec![7; 64 * 1024];
    for number in 0..300 {
        let scope = format!("k{number}");
        operations.join(at(0), &scope, b"1", number);
        operations.end(&scope, number, Some((answer(&body), at(60))));
        assert!(operations.answer_bytes() <= MAX_ANSWER_BYTES);
    }
    assert!(operations.answers() > 100);
    assert_eq!(operations.join(at(1), "k299", b"1", 999), JoinResult::Answered(answer(&body)));
    assert_eq!(
        operations.join(at(1), "k0", b"1", 1000),
        JoinResult::Leads,
        "its answer was dropped; the registries still know it"
    );
}

proptest! {
    /// At most one request leads a key at a time, each waiting request is returned once, and the count of operations in
    /// progress is right.
    #[test]
    fn at_most_one_request_leads_a_key(steps in prop::collection::vec((0u8..4, 0usize..4, 0u64..40, 0u64..3), 1..200)) {
        let mut operations = KeyedOperations::default();
        let mut leaders: BTreeMap<usize, u64> = BTreeMap::new();
        let mut waiting: BTreeMap<usize, BTreeSet<u64>> = BTreeMap::new();
        let (mut now, mut number) = (0, 0);
        for (step, key, who, later) in steps {
            now += later;
            let scope = format!("k{key}");
            match step {
                0 | 1 => {
                    number += 1;
                    match operations.join(at(now), &scope, b"1", number) {
                        JoinResult::Leads => prop_assert!(leaders.insert(key, number).is_none()),
                        JoinResult::Waits => {
                            prop_assert!(leaders.contains_key(&key));
                            waiting.entry(key).or_default().insert(number);
                        }
                        known => prop_assert_eq!(known, JoinResult::Answered(answer(scope.as_bytes()))),
                    }
                }
                _ => {
                    let ended = if who % 2 == 0 { leaders.get(&key).copied() } else { Some(who) };
                    let Some(ended) = ended else { continue };
                    let kept = (step == 2).then(|| (answer(scope.as_bytes()), at(now + 20)));
                    let returned: BTreeSet<u64> = operations.end(&scope, ended, kept).into_iter().collect();
                    if leaders.get(&key) == Some(&ended) {
                        leaders.remove(&key);
                        prop_assert_eq!(returned, waiting.remove(&key).unwrap_or_default());
                    } else {
                        waiting.entry(key).or_default().remove(&ended);
                        prop_assert!(returned.is_empty());
                    }
                }
            }
            prop_assert_eq!(operations.running(), leaders.len());
        }
    }
}
