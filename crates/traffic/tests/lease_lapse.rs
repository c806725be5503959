//! State that an owner drops when its lease has lapsed and it has lost its membership: another owner may have sent its
//! requests in the meantime.

mod common;

use common::deferred::{FUNCTION, dispatch_count, forward, handover, owner, read_store, store_reply};
use common::{ME, OTHER, membership, ms};
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput};
use wire::ForwardMessage;

#[test]
fn stored_requests_queued_before_the_lapse_are_sent_only_once_the_store_lists_them() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, store_reply(&outputs));
    owner.step(ms(3000), false, OwnerInput::MembershipLost);
    assert_eq!(dispatch_count(&owner.step(ms(3001), true, handover())), 0, "another owner may have run it since");
    assert_eq!(dispatch_count(&read_store(&mut owner, 3020, &[7])), 1, "still pending, so it is sent, as a retry");
}

/// More requests than can run: requests that were not sent must not raise the allowed number of retries.
#[test]
fn only_requests_that_were_sent_are_counted_and_each_only_once() {
    let mut owner = owner();
    for number in 0..200 {
        let outputs = owner.step(ms(1), true, forward(number));
        owner.step(ms(2), true, store_reply(&outputs));
    }
    let counted = |owner: &mut FunctionOwner| owner.status()["functions"][FUNCTION]["requests_10s"].as_u64();
    assert_eq!(counted(&mut owner), Some(0), "none was sent");
    let sent = dispatch_count(&owner.step(ms(10), true, handover())) as u64;
    assert_eq!(counted(&mut owner), Some(sent));
    assert!((1..=8).contains(&sent), "{sent} sent to one instance");
}

/// An owner without a lease for longer than the adoption timeout must not end the adoption as soon as its lease is
/// back.
#[test]
fn the_adoption_timeout_starts_only_once_the_lease_is_back() {
    let mut owner = owner();
    owner.step(ms(3000), false, OwnerInput::MembershipLost);
    for at in (3020..9000).step_by(20) {
        owner.step(ms(at), false, OwnerInput::Tick);
    }
    owner.step(ms(9000), true, OwnerInput::Tick);
    assert_eq!(owner.status()["functions"][FUNCTION]["adopting"].as_bool(), Some(true));
    for at in (9020..10_700).step_by(20) {
        owner.step(ms(at), true, OwnerInput::Tick);
    }
    let adopting = owner.status()["functions"][FUNCTION]["adopting"].as_bool();
    assert_ne!(adopting, Some(true), "the adoption has timed out; the status omits an inactive function");
}

/// A leaving owner becomes the owner again; another one was the owner in between and has counts of its own.
#[test]
fn a_leaving_owner_that_becomes_the_owner_again_adopts_the_function_again() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, store_reply(&outputs));
    assert_eq!(dispatch_count(&owner.step(ms(3), true, handover())), 1);
    owner.step(ms(2000), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    owner.step(ms(2100), true, OwnerInput::Membership { membership: membership(3, &[ME]) });
    assert_eq!(owner.status()["functions"][FUNCTION]["adopting"].as_bool(), Some(true));
    assert_eq!(dispatch_count(&owner.step(ms(2200), true, OwnerInput::Tick)), 0);
}

/// The request is answered, but the store may not have recorded that yet when the next owner reads it.
#[test]
fn a_request_whose_finish_is_unconfirmed_is_reported_as_sent() {
    let mut owner = owner();
    let outputs = owner.step(ms(1), true, forward(7));
    owner.step(ms(2), true, store_reply(&outputs));
    let outputs = owner.step(ms(3), true, handover());
    let order = outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    });
    read_store(&mut owner, 20, &[]);
    let outcome =
        DispatchOutcome::Complete { status: 200, head: Vec::new(), body: Vec::new().into(), turned_away: false };
    owner.step(ms(50), true, OwnerInput::Dispatched { number: order.expect("sent"), outcome });
    let outputs = owner.step(ms(60), true, OwnerInput::Membership { membership: membership(2, &[OTHER]) });
    let reported = outputs.iter().any(|output| {
        matches!(output, OwnerOutput::Forward { message: ForwardMessage::OwnershipTable { table }, .. }
            if table.is_started_complete != 0 && table.started.as_slice().len() == 1)
    });
    assert!(reported, "{outputs:?}");
}
