//! Tests of the tail's session table: which routers keep an epoch from being activated.

use leases::{ActivationBlocker, GrantedLease, LeaseBounds, Sessions};
use std::collections::BTreeMap;
use std::time::Duration;

const LAPSE: Duration = Duration::from_millis(1750);
const BY_PEERS: Duration = Duration::from_secs(320);
const BY_CORE: Duration = Duration::from_millis(1600);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sessions of a tail that was appointed at 10 s, with members 1 to 3; 1 and 2 have staged epoch 5.
fn sessions_of_new_tail() -> Sessions {
    let mut sessions = Sessions::default();
    sessions.update_members(millis(10_000), &BTreeMap::from([(1, 1), (2, 1), (3, 1)]), LAPSE);
    for id in [1, 2] {
        sessions.by_router.get_mut(&id).unwrap().staged = 5;
    }
    sessions
}

fn can_activate(sessions: &Sessions, now: u64) -> bool {
    blocker(sessions, now).is_none()
}

fn blocker(sessions: &Sessions, now: u64) -> Option<ActivationBlocker> {
    let bounds = LeaseBounds { by_core: BY_CORE, by_peers: BY_PEERS, unknown_until: millis(9000) };
    sessions.activation_blocker(5, &[vec![1, 2, 3]], millis(now), bounds)
}

#[test]
fn activation_waits_for_a_member_until_its_lease_ends() {
    let mut sessions = sessions_of_new_tail();
    assert!(!can_activate(&sessions, 11_600));
    assert!(can_activate(&sessions, 11_601));
    sessions.record_lease(3, millis(11_000));
    assert!(!can_activate(&sessions, 12_600));
    assert!(can_activate(&sessions, 12_601));
}

#[test]
fn limit_of_earlier_leases_does_not_shorten_leases_of_this_tail() {
    let mut sessions = sessions_of_new_tail();
    sessions.limit_earlier_leases(millis(10_000), millis(9100));
    assert!(!can_activate(&sessions, 10_700));
    assert!(can_activate(&sessions, 10_701));
    sessions.record_lease(3, millis(10_050));
    sessions.limit_earlier_leases(millis(10_000), millis(9000));
    assert!(!can_activate(&sessions, 11_650), "the present tail granted its lease");
    assert!(can_activate(&sessions, 11_651));
}

#[test]
fn new_incarnation_keeps_the_lease_time_of_the_previous_one() {
    let mut sessions = sessions_of_new_tail();
    sessions.record_lease(3, millis(10_900));
    sessions.update_members(millis(11_000), &BTreeMap::from([(1, 1), (2, 1), (3, 2)]), LAPSE);
    assert!(!can_activate(&sessions, 12_500));
    assert!(can_activate(&sessions, 12_501));
}

#[test]
fn without_a_staged_majority_activation_waits_for_leases_by_peers() {
    let mut sessions = sessions_of_new_tail();
    sessions.by_router.get_mut(&2).unwrap().staged = 4;
    sessions.record_lease(2, millis(12_000));
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
fn quorum_routers_without_a_session_are_waited_for_since_the_last_earlier_lease() {
    let mut sessions = Sessions::default();
    sessions.update_members(millis(10_000), &BTreeMap::from([(8, 1), (9, 1)]), BY_PEERS);
    sessions.by_router.values_mut().for_each(|session| session.staged = 5);
    assert_eq!(blocker(&sessions, 329_000), Some(ActivationBlocker::Quorum(vec![1, 2, 3])));
    assert_eq!(blocker(&sessions, 329_001), None);
}

#[test]
fn report_of_the_previous_tail_limits_leases_of_all_routers() {
    let mut sessions = sessions_of_new_tail();
    let granted_at = |at: u64| GrantedLease { incarnation: 1, requested_at: millis(at) };
    let reported = BTreeMap::from([(1, granted_at(9900)), (7, granted_at(9800))]);
    sessions.take_over(millis(10_000), millis(5000), &reported);
    assert!(!can_activate(&sessions, 11_400), "router 7 is no longer a member, but was granted a lease at 9.8 s");
    assert!(can_activate(&sessions, 11_401), "the previous tail did not report member 3");
    sessions.update_members(millis(11_551), &BTreeMap::from([(1, 1), (2, 1), (3, 1)]), LAPSE);
    assert!(!sessions.by_router.contains_key(&7));
}

#[test]
fn rejoined_router_has_time_to_renew_its_lease() {
    let mut sessions = sessions_of_new_tail();
    sessions.update_members(millis(20_000), &BTreeMap::from([(1, 1), (2, 1)]), BY_PEERS);
    assert!(sessions.by_router[&3].has_departed);
    sessions.update_members(millis(60_000), &BTreeMap::from([(1, 1), (2, 1), (3, 2)]), BY_PEERS);
    let expired_members: Vec<u64> =
        sessions.expired_members(millis(60_100), LAPSE).into_iter().map(|(id, _)| id).collect();
    assert!(!expired_members.contains(&3), "{expired_members:?}");
}
