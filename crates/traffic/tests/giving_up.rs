//! Requests that are still open when a planned stop nears its deadline: each caller is answered, and the registries
//! learn that the operations which were at work have an unknown outcome.

mod common;

use common::keyed::{
    answers, dispatch_first_request, dispatch_numbers, owner, proposals, reply_to_claim, report_answer, send_request,
    send_request_with_key,
};
use common::{forward, front, ms, reply};
use test_case::test_case;
use traffic::{FrontInput, FunctionOwner, OwnerInput, OwnerOutput};
use wire::{ClaimState, Command, CommandReply, ForwardMessage, LeaseMessage, Outcome, StoredAnswer};

fn give_up(owner: &mut FunctionOwner, at: u64) -> Vec<OwnerOutput> {
    owner.step(ms(at), true, OwnerInput::GiveUp)
}

fn confirm(owner: &mut FunctionOwner, at: u64, request_id: u64) -> Vec<OwnerOutput> {
    let body = wire::to_bytes(&CommandReply::Empty).into();
    owner.step(
        ms(at),
        true,
        OwnerInput::StoreReply { message: LeaseMessage::ProposalAck { request_id, state: 1, body } },
    )
}

/// Returns the requests that go back to their fronts.
fn returned(outputs: &[OwnerOutput]) -> Vec<u64> {
    let returned = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Forward { message: ForwardMessage::NotOwner { task }, .. } => Some(*task),
        _ => None,
    });
    returned.collect()
}

// Guards against repeats that are told that an operation is in progress after its owner has given it up.
#[test]
fn an_operation_given_up_is_recorded_as_unknown_and_its_repeats_get_the_same_answer() {
    let mut owner = owner(true);
    dispatch_first_request(&mut owner);
    send_request(&mut owner, 20, 8, b"x");
    let outputs = give_up(&mut owner, 50);
    let mut told: Vec<_> = answers(&outputs).into_iter().map(|answer| (answer.0, answer.1, answer.2)).collect();
    told.sort_by_key(|answer| answer.0);
    assert_eq!(told, [(7, Outcome::Unknown, 504), (8, Outcome::Unknown, 504)]);
    let [(record, Command::RecordAnswer { answer, .. })] = &proposals(&outputs)[..] else { panic!("{outputs:?}") };
    let recorded: StoredAnswer = wire::from_bytes(answer.as_slice()).expect("a stored answer");
    assert_eq!((recorded.outcome, recorded.status), (Outcome::Unknown, 504));
    assert!(!owner.is_idle(), "the registries have not confirmed the outcome");
    confirm(&mut owner, 60, *record);
    assert!(owner.is_idle());
}

#[test]
fn an_answer_after_the_operation_was_given_up_changes_nothing() {
    let mut owner = owner(true);
    let dispatch = dispatch_first_request(&mut owner);
    give_up(&mut owner, 50);
    let late = report_answer(&mut owner, 60, dispatch);
    assert!(answers(&late).is_empty() && proposals(&late).is_empty(), "{late:?}");
}

#[test]
fn a_request_that_was_never_dispatched_goes_back_once_its_key_is_released() {
    let mut owner = owner(true);
    let claims = proposals(&send_request(&mut owner, 2, 7, b"x"));
    let outputs = give_up(&mut owner, 10);
    let [(release, Command::Release { .. })] = proposals(&outputs)[..] else { panic!("{outputs:?}") };
    assert!(answers(&outputs).is_empty() && returned(&outputs).is_empty() && !owner.is_idle());
    // The claim is granted after the release was sent: it is released again.
    let again = proposals(&reply_to_claim(&mut owner, 20, claims[0].0, ClaimState::Granted, b""));
    assert!(matches!(again[..], [(_, Command::Release { .. })]), "{again:?}");
    assert_eq!(returned(&confirm(&mut owner, 30, release)), [7]);
    confirm(&mut owner, 40, again[0].0);
    assert!(owner.is_idle());
}

#[test]
fn a_request_that_arrives_after_the_others_were_given_up_goes_back_to_its_front() {
    let mut owner = owner(true);
    give_up(&mut owner, 10);
    let outputs = send_request_with_key(&mut owner, 20, 9, "k-b", b"x");
    assert_eq!(returned(&outputs), [9]);
    assert!(proposals(&outputs).is_empty() && dispatch_numbers(&outputs).is_empty());
}

#[test_case(true, Outcome::Unknown, 504; "one that was forwarded may have run")]
#[test_case(false, Outcome::NotRun, 503; "one that still waits has not run")]
fn the_front_answers_its_callers_at_once(is_forwarded: bool, outcome: Outcome, status: u16) {
    let mut front = front(1, common::OTHER);
    let sent = common::send_request(&mut front, 10, is_forwarded, "/t/f");
    if is_forwarded {
        forward(&sent);
    }
    let outputs = front.step(ms(20), true, FrontInput::GiveUp);
    let answer = reply(&outputs).expect("an answer");
    assert_eq!((answer.outcome, answer.status), (Some(outcome), status));
    assert_eq!(answer.retry_after.is_zero(), is_forwarded);
    assert_eq!(front.request_count(), 0);
    let refused = common::send_request(&mut front, 30, true, "/t/f");
    let answer = reply(&refused).expect("an answer");
    assert_eq!((answer.outcome, answer.status), (Some(Outcome::NotRun), 503));
}
