//! Owners that follow each other within one retry window without knowing how many retries the others used.

mod common;

use common::deferred::{FUNCTION, dispatch_count, read_store, router, table};
use common::{membership, ms};
use std::time::Duration;
use traffic::{EarlierOwners, MembershipHistory, OwnerInput, RetryBudget};
use wire::{ForwardMessage, InstanceSlots, OwnershipTable};

const SLACK: usize = 60;
const INITIAL_OWNER: u64 = 90;
const WINDOW: Duration = Duration::from_secs(10);

/// Returns a standby copy made before any retry was used, with enough instances for the whole backlog.
fn empty_copy(membership_number: u64) -> ForwardMessage {
    let slot = |n: u32| InstanceSlots {
        instance: format!("i{n}").as_str().into(),
        address: format!("127.0.0.1:{n}").as_str().into(),
        ready: 1,
        busy: 0,
    };
    let slots: Vec<InstanceSlots> = (0..20).map(slot).collect();
    ForwardMessage::OwnershipTable {
        table: OwnershipTable { is_standby_copy: 1, slots: slots.into(), ..table(membership_number) },
    }
}

/// Each router is the owner for a second, sends as much as it may of a backlog that may already have run, and is
/// killed.
#[test]
fn many_owners_in_one_window_together_stay_within_the_slack() {
    let backlog: Vec<u64> = (0..100).collect();
    let owners = 8;
    let mut retries = Vec::new();
    for id in 1..=owners {
        let mut owner = router(id, membership(1, &[INITIAL_OWNER]));
        let mut before = INITIAL_OWNER;
        for (number, next) in (2..).zip(1..id) {
            owner.step(
                ms(20_000 + next * 1000),
                true,
                OwnerInput::Membership { membership: membership(number, &[next]) },
            );
            before = next;
        }
        let at = 20_000 + id * 1000;
        owner.step(ms(at - 10), true, OwnerInput::Forward { from: before, message: empty_copy(id) });
        owner.step(ms(at), true, OwnerInput::Membership { membership: membership(id + 1, &[id]) });
        let mut retries_used = dispatch_count(&read_store(&mut owner, at + 1, &backlog));
        for later in (at + 40..at + 1000).step_by(40) {
            retries_used += dispatch_count(&owner.step(ms(later), true, OwnerInput::Tick));
        }
        assert_eq!(owner.status()["functions"][FUNCTION]["second_tries_10s"].as_u64(), Some(retries_used as u64));
        retries.push(retries_used);
    }
    assert!(
        retries.iter().sum::<usize>() + SLACK / 2 <= SLACK,
        "the other half may have been used by an earlier owner"
    );
    assert!(retries[0] >= SLACK / 4, "the first owner may retry: {retries:?}");
}

fn initial_retries(earlier: EarlierOwners) -> usize {
    let mut budget = RetryBudget::new(ms(0), &traffic::Allowances::default());
    budget.set_earlier_owners(earlier);
    (0..100).filter(|at| budget.try_retry(ms(*at))).count()
}

#[test]
fn the_initial_retry_limit_halves_with_each_earlier_owner() {
    let retries_used: Vec<usize> = (1..7).map(|owners| initial_retries(EarlierOwners::Bounded(owners))).collect();
    assert_eq!(retries_used, [15, 7, 3, 1, 0, 0]);
    assert_eq!(initial_retries(EarlierOwners::Bounded(u32::MAX)), 0);
    assert_eq!(initial_retries(EarlierOwners::Unknown), 0);
}

#[test]
fn the_number_of_earlier_owners_is_unknown_until_a_whole_window_was_followed() {
    let mut history = MembershipHistory::new(WINDOW);
    assert_eq!(history.earlier_owners_of(ms(20_000), FUNCTION), EarlierOwners::Unknown);
    history.add(ms(500), membership(7, &[1]));
    assert_eq!(history.earlier_owners_of(ms(10_000), FUNCTION), EarlierOwners::Unknown);
    assert_eq!(history.earlier_owners_of(ms(10_501), FUNCTION), EarlierOwners::Bounded(0));
}

#[test]
fn earlier_owners_are_counted_from_the_memberships_of_the_last_window() {
    let mut history = MembershipHistory::new(WINDOW);
    history.add(ms(0), membership(1, &[1]));
    history.add(ms(20_000), membership(2, &[2]));
    history.add(ms(21_000), membership(3, &[2]));
    history.add(ms(22_000), membership(4, &[1]));
    assert_eq!(
        history.earlier_owners_of(ms(23_000), FUNCTION),
        EarlierOwners::Bounded(2),
        "membership 3 did not change the owner"
    );
    history.add(ms(24_000), membership(7, &[1]));
    assert_eq!(
        history.earlier_owners_of(ms(24_000), FUNCTION),
        EarlierOwners::Bounded(5),
        "memberships 5 and 6 were skipped"
    );
    let mut again = (*membership(8, &[1])).clone();
    let mut members = again.members.into_vec();
    members[0].incarnation = 2;
    again.members = members.into();
    history.add(ms(25_000), again.into());
    assert_eq!(
        history.earlier_owners_of(ms(25_000), FUNCTION),
        EarlierOwners::Bounded(6),
        "the same owner under a new incarnation"
    );
    assert_eq!(
        history.earlier_owners_of(ms(30_001), FUNCTION),
        EarlierOwners::Bounded(5),
        "the first change has left the window"
    );
    assert_eq!(history.earlier_owners_of(ms(35_001), FUNCTION), EarlierOwners::Bounded(0));
}
