//! Stored tasks that one owner sent and another sends again count as retries. The set of sent tasks passes from owner to
//! owner, through any number of owners.

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

fn task_ids(numbers: &[u64]) -> BTreeSet<String> {
    numbers.iter().map(|number| stored_name(*number)).collect()
}

fn started_ids(table: &OwnershipTable) -> BTreeSet<String> {
    table.started.iter().map(|id| id.as_str().to_owned()).collect()
}

fn retries(owner: &mut FunctionOwner) -> Option<u64> {
    owner.status()["functions"][FUNCTION]["second_tries_10s"].as_u64()
}

fn dispatch_number(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    })
}

/// Returns an owner that starts after a crash with a table that says nothing about sent tasks. It may send four tasks at
/// once.
fn owner_after_crash(id: u64) -> FunctionOwner {
    let mut owner = owner_with_id(id, 1);
    owner.step(ms(1), true, table_message(table(1)));
    owner
}

#[test]
fn a_backlog_in_doubt_stays_in_doubt_through_two_handovers() {
    let mut first = owner_after_crash(ME);
    let sent_at_once = dispatch_count(&read_store(&mut first, 20, &BACKLOG));
    assert!((1..BACKLOG.len()).contains(&sent_at_once), "some tasks are sent and the others wait: {sent_at_once}");
    let outputs = first.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let handover = table_in(&outputs).expect("hands over");
    assert_eq!(
        (handover.is_started_complete, started_ids(&handover)),
        (1, task_ids(&BACKLOG)),
        "tasks that were only queued are included"
    );
    let repeated_handover = table_in(&first.step(ms(400), true, OwnerInput::Tick)).expect("repeats it");
    assert_eq!(
        started_ids(&repeated_handover),
        task_ids(&BACKLOG),
        "the repeated table is complete too, in case the first is lost"
    );

    let mut second = owner_with_id(OTHER, 2);
    let spent_before = u64::from(handover.retries);
    second.step(ms(1), true, table_message(handover));
    let sent_again = dispatch_count(&read_store(&mut second, 20, &BACKLOG)) as u64;
    assert_eq!(retries(&mut second), Some(spent_before + sent_again), "each of them is a retry");
}

/// A long backlog is read in parts, so a handover may come before all of it is read.
#[test]
fn sent_tasks_not_read_yet_are_passed_on_to_the_next_owner() {
    let mut owner = owner();
    let sent_before = BACKLOG.iter().map(|number| stored_name(*number).as_str().into()).collect::<Vec<_>>();
    owner.step(
        ms(1),
        true,
        table_message(OwnershipTable { started: sent_before.into(), is_started_complete: 1, ..table(1) }),
    );
    let outputs = owner.step(ms(10), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let handover = table_in(&outputs).expect("hands over");
    assert_eq!((handover.is_started_complete, started_ids(&handover)), (1, task_ids(&BACKLOG)));
}

/// The earlier owner reported two tasks; the store no longer lists the second one.
#[test]
fn a_sent_task_that_the_store_no_longer_lists_is_dropped() {
    let mut owner = owner();
    let sent_before = vec![stored_name(1).as_str().into(), stored_name(2).as_str().into()];
    owner.step(
        ms(1),
        true,
        table_message(OwnershipTable { started: sent_before.into(), is_started_complete: 1, ..table(1) }),
    );
    read_store(&mut owner, 20, &[1]);
    let outputs = owner.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    assert_eq!(started_ids(&table_in(&outputs).expect("hands over")), task_ids(&[1]));
}

#[test]
fn a_task_is_reported_until_the_store_has_recorded_that_it_is_finished() {
    let mut owner = owner_after_crash(ME);
    read_store(&mut owner, 20, &[]);
    let outputs = owner.step(ms(30), true, forward(7));
    let outputs = owner.step(ms(31), true, store_reply(&outputs));
    let outcome =
        DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new().into(), turned_away: false };
    let number = dispatch_number(&outputs).expect("sent");
    let outputs = owner.step(ms(40), true, OwnerInput::Dispatched { number, outcome });
    let standby_table =
        table_in(&owner.step(ms(600), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) }))
            .expect("a table");
    assert_eq!(started_ids(&standby_table), task_ids(&[7]), "the store may not have recorded the outcome");
    owner.step(ms(610), true, store_reply(&outputs));
    let later = table_in(&owner.step(ms(900), true, OwnerInput::Tick)).expect("a table");
    assert_eq!(started_ids(&later), task_ids(&[]));
}

/// The store confirms the task when the function has another owner and this router has forgotten it. Later the function
/// is owned here again.
#[test]
fn a_task_stored_while_its_function_moved_runs_once_the_function_is_back() {
    let mut owner = owner();
    owner.step(ms(1), true, handover());
    let store_outputs = owner.step(ms(10), true, forward(7));
    owner.step(ms(20), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(600), true, OwnerInput::Tick);
    owner.step(ms(700), true, store_reply(&store_outputs));
    owner.step(ms(800), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    owner.step(ms(801), true, table_message(table(3)));
    assert_eq!(dispatch_count(&read_store(&mut owner, 900, &[7])), 1);
}

/// A restarted owner has lost its state, and the tasks that it sent after the standby copy was made are in no table.
#[test]
fn a_standby_copy_handed_back_is_not_marked_as_complete() {
    let mut standby = owner();
    standby.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    standby.step(
        ms(10),
        true,
        table_message(OwnershipTable { is_standby_copy: 1, is_started_complete: 1, ..table(2) }),
    );
    let mut restarted = (*membership(3, &[OTHER])).clone();
    let mut members = restarted.members.into_vec();
    members[0].incarnation = 2;
    restarted.members = members.into();
    let outputs = standby.step(ms(500), true, OwnerInput::Membership { membership: restarted.into() });
    let handover = outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { to: OTHER, message: ForwardMessage::OwnershipTable { table } }
            if table.membership == 3 =>
        {
            Some(table)
        }
        _ => None,
    });
    assert_eq!(handover.expect("handed back").is_started_complete, 0);
}

/// The store is read; then another router is the owner for a while and may send tasks that were stored since; the answer
/// to the read arrives after that.
#[test]
fn a_store_listing_from_before_another_owner_is_ignored() {
    let mut owner = owner_after_crash(ME);
    let request_id = store_read_id(&owner.step(ms(20), true, OwnerInput::Tick)).expect("reads the store");
    owner.step(ms(100), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(200), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    owner.step(ms(201), true, table_message(table(3)));
    owner.step(ms(202), true, store_list(request_id, &[]));
    read_store(&mut owner, 220, &[9]);
    assert_eq!(retries(&mut owner), Some(1), "the owner in between may have sent it");
}

/// The owner starts from a standby copy; the leaving owner has sent one more task by the time it hands over.
#[test]
fn sent_tasks_of_a_later_table_are_added() {
    let mut owner = owner_after_crash(ME);
    read_store(&mut owner, 20, &[1]);
    let sent_later = vec![stored_name(1).as_str().into(), stored_name(2).as_str().into()];
    owner.step(
        ms(100),
        true,
        table_message(OwnershipTable { started: sent_later.into(), is_started_complete: 1, ..table(1) }),
    );
    let outputs = owner.step(ms(200), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    assert_eq!(started_ids(&table_in(&outputs).expect("hands over")), task_ids(&[1, 2]));
}
