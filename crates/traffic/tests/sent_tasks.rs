//! Stored tasks that were sent by one owner and are sent again by another are retries: which ones were
//! sent passes from owner to owner, however many follow each other.

mod common;

use common::deferred::{
    FUNCTION, dispatch_count, forward, handover, owner, owner_with_id, read_store, store_list, store_read_id,
    store_reply, stored_name, table, table_in, table_message,
};
use common::{ME, OTHER, membership, ms};
use std::collections::BTreeSet;
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput};
use wire::{ForwardMessage, OwnershipTable};

const BACKLOG: [u64; 6] = [1, 2, 3, 4, 5, 6];

fn ids(numbers: &[u64]) -> BTreeSet<String> {
    numbers.iter().map(|number| stored_name(*number)).collect()
}

fn started(table: &OwnershipTable) -> BTreeSet<String> {
    table.started.iter().map(|id| id.as_str().to_owned()).collect()
}

fn retries(owner: &mut FunctionOwner) -> Option<u64> {
    owner.status()["functions"][FUNCTION]["second_tries_10s"].as_u64()
}

fn order(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    })
}

/// An owner that begins after a crash from a table which tells nothing of the tasks that were sent, and
/// reads the backlog; it may send four at once.
fn after_a_crash(id: u64) -> FunctionOwner {
    let mut owner = owner_with_id(id, 1);
    owner.step(ms(1), true, table_message(table(1)));
    owner
}

#[test]
fn a_backlog_in_doubt_is_still_in_doubt_at_the_owner_after_the_next() {
    let mut first = after_a_crash(ME);
    let at_once = dispatch_count(&read_store(&mut first, 20, &BACKLOG));
    assert!((1..BACKLOG.len()).contains(&at_once), "some are sent, the others wait: {at_once}");
    let outputs = first.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let handed = table_in(&outputs).expect("hands over");
    assert_eq!((handed.is_started_complete, started(&handed)), (1, ids(&BACKLOG)), "also those that it only held");
    let handed_again = table_in(&first.step(ms(400), true, OwnerInput::Tick)).expect("repeats it");
    assert_eq!(started(&handed_again), ids(&BACKLOG), "should the first be lost");

    let mut second = owner_with_id(OTHER, 2);
    let spent_before = u64::from(handed.retries);
    second.step(ms(1), true, table_message(handed));
    let sent_again = dispatch_count(&read_store(&mut second, 20, &BACKLOG)) as u64;
    assert_eq!(retries(&mut second), Some(spent_before + sent_again), "each of them is a retry");
}

/// Only part of a long backlog is read in at once.
#[test]
fn what_the_owner_before_reported_and_is_not_read_yet_is_reported_on() {
    let mut owner = owner();
    let begun_before = BACKLOG.iter().map(|number| stored_name(*number).as_str().into()).collect::<Vec<_>>();
    owner.step(
        ms(1),
        true,
        table_message(OwnershipTable { started: begun_before.into(), is_started_complete: 1, ..table(1) }),
    );
    let outputs = owner.step(ms(10), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let handed = table_in(&outputs).expect("hands over");
    assert_eq!((handed.is_started_complete, started(&handed)), (1, ids(&BACKLOG)));
}

/// The owner before told of two; the store no longer lists the second.
#[test]
fn what_the_store_no_longer_lists_is_reported_no_longer() {
    let mut owner = owner();
    let begun_before = vec![stored_name(1).as_str().into(), stored_name(2).as_str().into()];
    owner.step(
        ms(1),
        true,
        table_message(OwnershipTable { started: begun_before.into(), is_started_complete: 1, ..table(1) }),
    );
    read_store(&mut owner, 20, &[1]);
    let outputs = owner.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    assert_eq!(started(&table_in(&outputs).expect("hands over")), ids(&[1]));
}

#[test]
fn a_task_is_reported_until_the_store_has_recorded_that_it_is_finished() {
    let mut owner = after_a_crash(ME);
    read_store(&mut owner, 20, &[]);
    let outputs = owner.step(ms(30), true, forward(7));
    let outputs = owner.step(ms(31), true, store_reply(&outputs));
    let outcome = DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new(), turned_away: false };
    let number = order(&outputs).expect("sent");
    let outputs = owner.step(ms(40), true, OwnerInput::Dispatched { number, outcome });
    let is_standby_copy =
        table_in(&owner.step(ms(600), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) }))
            .expect("a table");
    assert_eq!(started(&is_standby_copy), ids(&[7]), "the store may not have heard of it");
    owner.step(ms(610), true, store_reply(&outputs));
    let later = table_in(&owner.step(ms(900), true, OwnerInput::Tick)).expect("a table");
    assert_eq!(started(&later), ids(&[]));
}

/// The store's answer comes when the function has another owner and nothing of it is left here. Later it is back.
#[test]
fn a_task_stored_for_a_function_that_moved_meanwhile_is_run_once_it_is_back() {
    let mut owner = owner();
    owner.step(ms(1), true, handover());
    let asked_to_store = owner.step(ms(10), true, forward(7));
    owner.step(ms(20), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(600), true, OwnerInput::Tick);
    owner.step(ms(700), true, store_reply(&asked_to_store));
    owner.step(ms(800), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    owner.step(ms(801), true, table_message(table(3)));
    assert_eq!(dispatch_count(&read_store(&mut owner, 900, &[7])), 1);
}

/// The machine that is back knows nothing, and what it sent after the copy was made is in no table.
#[test]
fn a_standby_copy_that_is_handed_back_does_not_tell_all_that_was_sent() {
    let mut keeper = owner();
    keeper.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    keeper.step(ms(10), true, table_message(OwnershipTable { is_standby_copy: 1, is_started_complete: 1, ..table(2) }));
    let mut again = (*membership(3, &[OTHER])).clone();
    let mut members = again.members.into_vec();
    members[0].incarnation = 2;
    again.members = members.into();
    let outputs = keeper.step(ms(500), true, OwnerInput::Membership { membership: again.into() });
    let handed = outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { to: OTHER, message: ForwardMessage::OwnershipTable { table } }
            if table.membership == 3 =>
        {
            Some(table)
        }
        _ => None,
    });
    assert_eq!(handed.expect("handed back").is_started_complete, 0);
}

/// The store was asked, then another was owner and sent what was stored since; the answer comes late.
#[test]
fn a_listing_from_before_another_was_owner_is_not_taken() {
    let mut owner = after_a_crash(ME);
    let request_id = store_read_id(&owner.step(ms(20), true, OwnerInput::Tick)).expect("reads the store");
    owner.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(200), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    owner.step(ms(201), true, table_message(table(3)));
    owner.step(ms(202), true, store_list(request_id, &[]));
    read_store(&mut owner, 220, &[9]);
    assert_eq!(retries(&mut owner), Some(1), "the home between may have sent it");
}

/// It began from the copy it kept; the leaving owner had sent one more task by the time it handed over.
#[test]
fn what_a_later_table_tells_as_sent_counts_too() {
    let mut owner = after_a_crash(ME);
    read_store(&mut owner, 20, &[1]);
    let begun_later = vec![stored_name(1).as_str().into(), stored_name(2).as_str().into()];
    owner.step(
        ms(100),
        true,
        table_message(OwnershipTable { started: begun_later.into(), is_started_complete: 1, ..table(1) }),
    );
    let outputs = owner.step(ms(200), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    assert_eq!(started(&table_in(&outputs).expect("hands over")), ids(&[1, 2]));
}
