//! Owners that follow each other within one retry window and know nothing of what each other spent.

mod common;

use common::deferred::{FUNCTION, read, router, sent, table};
use common::{membership, ms};
use std::time::Duration;
use traffic::{EarlierOwners, MembershipHistory, OwnerInput, RetryBudget};
use wire::{ForwardMessage, InstanceSlots, OwnershipTable};

const SLACK: usize = 60;
const BEFORE_ALL: u64 = 90;
const WINDOW: Duration = Duration::from_secs(10);

/// A copy made before anything was spent, with room for a whole backlog.
fn empty_copy(roster_number: u64) -> ForwardMessage {
    let slot = |n: u32| InstanceSlots {
        instance: format!("i{n}").as_str().into(),
        address: format!("127.0.0.1:{n}").as_str().into(),
        ready: 1,
        busy: 0,
    };
    let slots: Vec<InstanceSlots> = (0..20).map(slot).collect();
    ForwardMessage::OwnershipTable {
        table: OwnershipTable { is_standby_copy: 1, slots: slots.into(), ..table(roster_number) },
    }
}

/// Each is the owner for a second, sends all that it may of a backlog in doubt, and is killed.
#[test]
fn any_number_of_owners_in_one_window_stay_within_the_slack() {
    let backlog: Vec<u64> = (0..100).collect();
    let owners = 8;
    let mut retries = Vec::new();
    for id in 1..=owners {
        let mut owner = router(id, membership(1, &[BEFORE_ALL]));
        let mut before = BEFORE_ALL;
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
        let mut spent = sent(&read(&mut owner, at + 1, &backlog));
        for later in (at + 40..at + 1000).step_by(40) {
            spent += sent(&owner.step(ms(later), true, OwnerInput::Tick));
        }
        assert_eq!(owner.status()["functions"][FUNCTION]["second_tries_10s"].as_u64(), Some(spent as u64));
        retries.push(spent);
    }
    assert!(retries.iter().sum::<usize>() + SLACK / 2 <= SLACK, "besides the half that a home before may have spent");
    assert!(retries[0] >= SLACK / 4, "the first goes on: {retries:?}");
}

fn most_at_first(earlier: EarlierOwners) -> usize {
    let mut budget = RetryBudget::new(ms(0), &traffic::Allowances::default());
    budget.set_earlier_owners(earlier);
    (0..100).filter(|at| budget.try_retry(ms(*at))).count()
}

#[test]
fn each_owner_may_spend_half_of_what_the_one_before_it_might() {
    let spent: Vec<usize> = (1..7).map(|owners| most_at_first(EarlierOwners::Bounded(owners))).collect();
    assert_eq!(spent, [15, 7, 3, 1, 0, 0]);
    assert_eq!(most_at_first(EarlierOwners::Bounded(u32::MAX)), 0);
    assert_eq!(most_at_first(EarlierOwners::Unknown), 0);
}

#[test]
fn a_machine_that_has_just_started_cannot_tell_how_many_owners_there_were() {
    let mut history = MembershipHistory::new(WINDOW);
    assert_eq!(history.earlier_homes(ms(20_000), FUNCTION), EarlierOwners::Unknown);
    history.add(ms(500), membership(7, &[1]));
    assert_eq!(history.earlier_homes(ms(10_000), FUNCTION), EarlierOwners::Unknown);
    assert_eq!(history.earlier_homes(ms(10_501), FUNCTION), EarlierOwners::Bounded(0));
}

#[test]
fn owners_are_counted_by_the_memberships_of_the_last_window() {
    let mut history = MembershipHistory::new(WINDOW);
    history.add(ms(0), membership(1, &[1]));
    history.add(ms(20_000), membership(2, &[2]));
    history.add(ms(21_000), membership(3, &[2]));
    history.add(ms(22_000), membership(4, &[1]));
    assert_eq!(history.earlier_homes(ms(23_000), FUNCTION), EarlierOwners::Bounded(2), "one changed nothing");
    history.add(ms(24_000), membership(7, &[1]));
    assert_eq!(history.earlier_homes(ms(24_000), FUNCTION), EarlierOwners::Bounded(5), "two were never seen");
    let mut again = (*membership(8, &[1])).clone();
    let mut members = again.members.into_vec();
    members[0].incarnation = 2;
    again.members = members.into();
    history.add(ms(25_000), again.into());
    assert_eq!(history.earlier_homes(ms(25_000), FUNCTION), EarlierOwners::Bounded(6), "the same, begun anew");
    assert_eq!(history.earlier_homes(ms(30_001), FUNCTION), EarlierOwners::Bounded(5), "the first was long ago");
    assert_eq!(history.earlier_homes(ms(35_001), FUNCTION), EarlierOwners::Bounded(0));
}
