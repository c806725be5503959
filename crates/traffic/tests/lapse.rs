//! What an owner whose hold has lapsed forgets: another may have sent meanwhile what it still holds.

mod common;

use common::deferred::{FUNCTION, forward, granted, handed, owner, read, sent};
use common::{ME, OTHER, membership, ms};
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput};
use wire::ForwardMessage;

#[test]
fn stored_tasks_queued_before_the_lapse_are_sent_only_as_the_store_tells_of_them() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, granted(&outputs));
    owner.step(ms(3000), false, OwnerInput::Lapsed);
    assert_eq!(sent(&owner.step(ms(3001), true, handed())), 0, "another home may have run it since");
    assert_eq!(sent(&read(&mut owner, 3020, &[7])), 1, "still pending, so it is sent, as a second try");
}

/// A crowd beyond all that can be run: what is asked and refused earns no retries.
#[test]
fn only_requests_that_were_sent_are_counted_and_each_of_them_once() {
    let mut owner = owner();
    for number in 0..200 {
        let outputs = owner.step(ms(1), true, forward(number));
        owner.step(ms(2), true, granted(&outputs));
    }
    let counted = |owner: &mut FunctionOwner| owner.status()["functions"][FUNCTION]["requests_10s"].as_u64();
    assert_eq!(counted(&mut owner), Some(0), "none was sent");
    let sent = sent(&owner.step(ms(10), true, handed())) as u64;
    assert_eq!(counted(&mut owner), Some(sent));
    assert!((1..=8).contains(&sent), "{sent} sent to one instance");
}

/// Cut off for longer than an adoption lasts, it does not go on by itself once its hold is back.
#[test]
fn an_owner_without_a_lease_waits_for_the_table_of_the_owner_between_however_long() {
    let mut owner = owner();
    owner.step(ms(3000), false, OwnerInput::Lapsed);
    for at in (3020..9000).step_by(20) {
        owner.step(ms(at), false, OwnerInput::Tick);
    }
    owner.step(ms(9000), true, OwnerInput::Tick);
    assert_eq!(owner.status()["functions"][FUNCTION]["adopting"].as_bool(), Some(true));
    for at in (9020..10_700).step_by(20) {
        owner.step(ms(at), true, OwnerInput::Tick);
    }
    let adopting = owner.status()["functions"][FUNCTION]["adopting"].as_bool();
    assert_ne!(adopting, Some(true), "at the latest; a function asleep is not shown at all");
}

/// It is the owner again before it has finished: another was owner in between and has counts of its own.
#[test]
fn an_owner_that_owns_again_while_it_leaves_begins_anew() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, granted(&outputs));
    assert_eq!(sent(&owner.step(ms(3), true, handed())), 1);
    owner.step(ms(2000), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(2100), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    assert_eq!(owner.status()["functions"][FUNCTION]["adopting"].as_bool(), Some(true));
    assert_eq!(sent(&owner.step(ms(2200), true, OwnerInput::Tick)), 0);
}

/// Its answer is known, but the store may not have heard of it when the next owner reads.
#[test]
fn what_is_still_being_finished_is_reported_as_sent() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, granted(&outputs));
    let outputs = owner.step(ms(3), true, handed());
    let order = outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    });
    read(&mut owner, 20, &[]);
    let outcome = DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new(), turned_away: false };
    owner.step(ms(50), true, OwnerInput::Dispatched { number: order.expect("sent"), outcome });
    let outputs = owner.step(ms(60), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let reported = outputs.iter().any(|output| {
        matches!(output, OwnerOutput::Forward { message: ForwardMessage::OwnershipTable { table }, .. }
            if table.is_started_complete != 0 && table.started.as_slice().len() == 1)
    });
    assert!(reported, "{outputs:?}");
}
