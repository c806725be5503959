//! Tests of the tail's session table: which routers keep an epoch from being activated.

use leases::{ActivationBlocker, GrantedLease, LeaseBounds, Sessions};
use std::collections::BTreeMap;
use std::time::Duration;

const LAPSE: Duration = Duration::from_millis(1750);
const BY_PEERS: Duration = Duration::from_secs(320);
const OVER: Duration = Duration::from_millis(1600);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sessions of a tail that was appointed at 10 s, with members 1 to 3; 1 and 2 have staged epoch 5.
fn met() -> Sessions {
    let mut sessions = Sessions::default();
    sessions.align(millis(10_000), &BTreeMap::from([(1, 1), (2, 1), (3, 1)]), LAPSE);
    for id in [1, 2] {
        sessions.table.get_mut(&id).unwrap().staged = 5;
    }
    sessions
}

fn ready(sessions: &Sessions, now: u64) -> bool {
    blocker(sessions, now).is_none()
}

fn blocker(sessions: &Sessions, now: u64) -> Option<ActivationBlocker> {
    let bounds = LeaseBounds { by_core: OVER, by_peers: BY_PEERS, unknown_until: millis(9000) };
    sessions.activation_blocker(5, &[vec![1, 2, 3]], millis(now), bounds)
}

#[test]
fn a_step_waits_for_a_member_until_its_last_proof_is_over() {
    let mut sessions = met();
    assert!(!ready(&sessions, 11_600));
    assert!(ready(&sessions, 11_601));
    sessions.record_proof(3, millis(11_000));
    assert!(!ready(&sessions, 12_600));
    assert!(ready(&sessions, 12_601));
}

#[test]
fn what_tails_before_granted_is_over_sooner_once_its_bound_is_known_and_what_this_one_granted_is_not() {
    let mut sessions = met();
    sessions.bound_earlier_proofs(millis(10_000), millis(9100));
    assert!(!ready(&sessions, 10_700));
    assert!(ready(&sessions, 10_701));
    sessions.record_proof(3, millis(10_050));
    sessions.bound_earlier_proofs(millis(10_000), millis(9000));
    assert!(!ready(&sessions, 11_650), "the present tail granted its lease");
    assert!(ready(&sessions, 11_651));
}

#[test]
fn a_member_that_comes_again_as_another_incarnation_keeps_the_time_of_its_last_proof() {
    let mut sessions = met();
    sessions.record_proof(3, millis(10_900));
    sessions.align(millis(11_000), &BTreeMap::from([(1, 1), (2, 1), (3, 2)]), LAPSE);
    assert!(!ready(&sessions, 12_500));
    assert!(ready(&sessions, 12_501));
}

#[test]
fn without_a_majority_of_its_quorum_a_step_waits_as_long_as_any_of_the_others_may_go_by_its_peers() {
    let mut sessions = met();
    sessions.table.get_mut(&2).unwrap().staged = 4;
    sessions.record_proof(2, millis(12_000));
    assert_eq!(blocker(&sessions, 13_000), Some(ActivationBlocker::Members(vec![2])));
    assert_eq!(blocker(&sessions, 60_000), Some(ActivationBlocker::Quorum(vec![2, 3])));
    assert_eq!(
        blocker(&sessions, 332_000),
        Some(ActivationBlocker::Quorum(vec![2, 3])),
        "member 2 was last granted a lease at 12 s"
    );
    assert_eq!(blocker(&sessions, 332_001), None);
}

#[test]
fn routers_of_a_quorum_that_this_tail_never_met_are_waited_for_from_the_last_lease_of_earlier_tails() {
    let mut sessions = Sessions::default();
    sessions.align(millis(10_000), &BTreeMap::from([(8, 1), (9, 1)]), BY_PEERS);
    sessions.table.values_mut().for_each(|session| session.staged = 5);
    assert_eq!(blocker(&sessions, 329_000), Some(ActivationBlocker::Quorum(vec![1, 2, 3])));
    assert_eq!(blocker(&sessions, 329_001), None);
}

#[test]
fn what_the_former_tail_reported_bounds_its_members_departed_ones_and_those_it_never_met() {
    let mut sessions = met();
    let granted_at = |at: u64| GrantedLease { incarnation: 1, requested_at: millis(at) };
    let reported = BTreeMap::from([(1, granted_at(9900)), (7, granted_at(9800))]);
    sessions.take_over(millis(10_000), millis(5000), &reported);
    assert!(!ready(&sessions, 11_400), "router 7 is no longer a member, but was granted a lease at 9.8 s");
    assert!(ready(&sessions, 11_401), "the previous tail did not report member 3");
    sessions.align(millis(11_551), &BTreeMap::from([(1, 1), (2, 1), (3, 1)]), LAPSE);
    assert!(!sessions.table.contains_key(&7));
}

#[test]
fn a_router_that_comes_back_after_long_has_its_time_to_be_proved() {
    let mut sessions = met();
    sessions.align(millis(20_000), &BTreeMap::from([(1, 1), (2, 1)]), BY_PEERS);
    assert!(sessions.table[&3].departed);
    sessions.align(millis(60_000), &BTreeMap::from([(1, 1), (2, 1), (3, 2)]), BY_PEERS);
    let lapsed: Vec<u64> = sessions.lapsed(millis(60_100), LAPSE).into_iter().map(|(id, _)| id).collect();
    assert!(!lapsed.contains(&3), "{lapsed:?}");
}
