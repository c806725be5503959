//! No request is sent to more instances than its route allows, even when owners or links are lost. The tests run a
//! front and the owners it forwards to, and pass, drop or repeat the messages between them.

mod common;

use common::forwards::{dispatch_number, forwarded, granted_attempts, message_to_front};
use common::{ME, OTHER, membership, ms, reply};
use std::rc::Rc;
use test_case::test_case;
use traffic::{
    DispatchOutcome, Front, FrontInput, FrontLimits, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings,
};
use wire::{ForwardMessage, InstanceSlots, NodeId, Outcome, OwnershipTable};

const THIRD: NodeId = 3;

fn routes(class: &str, attempts: u32) -> Rc<bindings::RouteTable> {
    let binding = format!(
        r#"{{"route":"/t/f","function":"f","class":"{class}","attempts":{attempts},"instance_limit":4,"deadline_ms":4000}}"#
    );
    Rc::new(bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding.as_bytes())].into_iter()))
}

fn front(attempts: u32) -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes("ordinary", attempts) });
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front.step(ms(0), true, FrontInput::Link { id: THIRD, up: true });
    front
}

/// Creates an owner with four instances.
fn owner(id: NodeId, attempts: u32) -> FunctionOwner {
    let mut owner = FunctionOwner::new(id, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes("ordinary", attempts) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[9]) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[id]) });
    let slot = |instance: u32| InstanceSlots {
        instance: format!("i{instance}").as_str().into(),
        address: format!("127.0.0.1:{instance}").as_str().into(),
        ready: 1,
        busy: 0,
    };
    let slots = vec![slot(1), slot(2), slot(3), slot(4)].into();
    let table =
        OwnershipTable { function: "t/f".into(), membership: 2, slots, requests: 100, ..OwnershipTable::default() };
    owner.step(ms(1), true, OwnerInput::Forward { from: 9, message: ForwardMessage::OwnershipTable { table } });
    owner
}

fn send_to_owner(owner: &mut FunctionOwner, at: u64, message: ForwardMessage) -> Vec<OwnerOutput> {
    owner.step(ms(at), true, OwnerInput::Forward { from: ME, message })
}

fn end_attempt(
    owner: &mut FunctionOwner,
    at: u64,
    outputs: &[OwnerOutput],
    outcome: DispatchOutcome,
) -> Vec<OwnerOutput> {
    let number = dispatch_number(outputs).expect("sent to an instance");
    owner.step(ms(at), true, OwnerInput::Dispatched { number, outcome })
}

fn garbled_answer() -> DispatchOutcome {
    DispatchOutcome::InDoubt { detail: "garbled".into(), timed_out: false }
}

fn server_error() -> DispatchOutcome {
    DispatchOutcome::Complete { status: 500, head: Vec::new(), body: b"first".to_vec().into(), turned_away: false }
}

fn send_to_front(front: &mut Front, from: NodeId, at: u64, message: ForwardMessage) -> Vec<FrontOutput> {
    front.step(ms(at), true, FrontInput::Message { from, message })
}

fn grant(task: u64, attempts: u32) -> ForwardMessage {
    ForwardMessage::AttemptGrant { task, attempts }
}

/// The link to the first owner is lost while an instance runs the request, and both instances send garbled answers.
#[test]
fn two_owners_in_a_row_do_not_exceed_the_attempts_of_the_route() {
    let mut front = front(2);
    let (_, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut first = owner(OTHER, 2);
    let first_outputs = send_to_owner(&mut first, 6, message);
    assert!(dispatch_number(&first_outputs).is_some());
    front.step(ms(10), true, FrontInput::Link { id: OTHER, up: false });
    let outputs = front.step(ms(20), true, FrontInput::Membership { membership: membership(3, &[THIRD]) });
    let (_, message) = forwarded(&outputs).expect("forwarded again");
    let mut second = owner(THIRD, 2);
    let second_outputs = send_to_owner(&mut second, 21, message);
    assert!(dispatch_number(&second_outputs).is_some());
    for (owner, outputs, from) in [(&mut first, &first_outputs, OTHER), (&mut second, &second_outputs, THIRD)] {
        let outputs = end_attempt(owner, 40, outputs, garbled_answer());
        assert_eq!(dispatch_number(&outputs), None, "a third instance");
        let request_id = message_to_front(&outputs).expect("asks for a third attempt");
        let outputs = send_to_front(&mut front, from, 41, request_id);
        let attempts = granted_attempts(&outputs).expect("the front replies");
        assert!(attempts <= 1, "{attempts} granted to each of two owners");
    }
}

#[test]
fn owner_retries_once_after_the_front_grants_an_attempt() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = send_to_owner(&mut owner, 6, message);
    let outputs = end_attempt(&mut owner, 20, &outputs, garbled_answer());
    let request_id = message_to_front(&outputs).expect("asks for an attempt");
    assert_eq!(request_id, ForwardMessage::AttemptRequest { task, attempts: 2 });
    for at in [21, 22] {
        assert_eq!(
            granted_attempts(&send_to_front(&mut front, OTHER, at, request_id.clone())),
            Some(2),
            "a repeated frame grants no more"
        );
    }
    let outputs = send_to_owner(&mut owner, 23, grant(task, 2));
    assert!(dispatch_number(&outputs).is_some());
    assert_eq!(dispatch_number(&send_to_owner(&mut owner, 24, grant(task, 2))), None, "the grant came twice");
    let outputs = end_attempt(&mut owner, 30, &outputs, server_error());
    let answer = message_to_front(&outputs);
    assert!(matches!(answer, Some(ForwardMessage::Answer { status: 500, .. })), "no attempt is left: {answer:?}");
}

#[test_case(Some(0), 25; "refused")]
#[test_case(None, 400; "unanswered")]
fn failure_is_the_answer_without_a_grant(reported: Option<u32>, at: u64) {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = send_to_owner(&mut owner, 6, message);
    let outputs = end_attempt(&mut owner, 20, &outputs, server_error());
    assert!(matches!(message_to_front(&outputs), Some(ForwardMessage::AttemptRequest { .. })));
    let outputs = match reported {
        Some(attempts) => send_to_owner(&mut owner, at, grant(task, attempts)),
        None => owner.step(ms(at), true, OwnerInput::Tick),
    };
    let answer = message_to_front(&outputs);
    let Some(ForwardMessage::Answer { outcome, status, body, .. }) = answer else { panic!("{answer:?}") };
    assert_eq!((outcome, status, body.as_slice()), (Outcome::Answered, 500, b"first".as_slice()));
    assert_eq!(dispatch_number(&send_to_owner(&mut owner, at + 5, grant(task, 2))), None, "a grant after the answer");
}

/// A front that lost two owners has no attempt left to grant.
#[test]
fn caller_is_answered_at_once_when_no_attempt_is_left() {
    let mut front = front(2);
    assert!(forwarded(&common::send_request(&mut front, 5, true, "/t/f")).is_some());
    let outputs = front.step(ms(20), true, FrontInput::Membership { membership: membership(2, &[THIRD]) });
    assert!(forwarded(&outputs).is_some());
    let outputs = front.step(ms(40), true, FrontInput::Membership { membership: membership(3, &[OTHER]) });
    assert_eq!(forwarded(&outputs), None);
    let reported = reply(&outputs).expect("answered at once");
    assert_eq!((reported.outcome, reported.status), (Some(Outcome::Unknown), 504));
}

/// A request that was sent to no instance keeps all its attempts, however often owners return it.
#[test]
fn request_returned_unsent_loses_no_attempt() {
    let mut front = front(1);
    let mut outputs = common::send_request(&mut front, 5, true, "/t/f");
    for at in [50, 100, 150] {
        let (task, _) = forwarded(&outputs).expect("forwarded");
        send_to_front(&mut front, OTHER, at, ForwardMessage::NotOwner { task });
        outputs = front.step(ms(at + 40), true, FrontInput::Tick);
    }
    assert!(forwarded(&outputs).is_some());
}

/// An instance that rejected a request was sent it, so the attempt counts against those of the next owner.
#[test]
fn rejected_attempt_stays_counted_when_the_request_is_returned() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = send_to_owner(&mut owner, 6, message);
    owner.step(ms(10), true, OwnerInput::Membership { membership: membership(3, &[THIRD]) });
    let outputs = end_attempt(&mut owner, 20, &outputs, DispatchOutcome::NotRun { wrong_instance: false });
    assert_eq!(message_to_front(&outputs), Some(ForwardMessage::Returned { task, attempts: 1 }));
}

#[test]
fn attempts_used_by_a_previous_owner_stay_counted() {
    let mut front = front(2);
    let (task, _) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    send_to_front(&mut front, OTHER, 10, ForwardMessage::Returned { task, attempts: 1 });
    let (task, _) = forwarded(&front.step(ms(50), true, FrontInput::Tick)).expect("one attempt is left");
    let outputs = send_to_front(&mut front, OTHER, 60, ForwardMessage::AttemptRequest { task, attempts: 2 });
    assert_eq!(granted_attempts(&outputs), Some(1), "the previous owner used one");
    let outputs = send_to_front(&mut front, OTHER, 70, ForwardMessage::Returned { task, attempts: 1 });
    let reported = reply(&outputs).expect("answered at once");
    assert_eq!((reported.outcome, reported.status, reported.retry_after > ms(0)), (Some(Outcome::NotRun), 503, true));
}

/// The first instance may have run the request, and the second certainly did not.
#[test]
fn request_that_may_have_run_is_not_reported_as_not_run() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = send_to_owner(&mut owner, 6, message);
    end_attempt(&mut owner, 20, &outputs, garbled_answer());
    let outputs = send_to_owner(&mut owner, 21, grant(task, 2));
    let outputs = end_attempt(&mut owner, 30, &outputs, DispatchOutcome::NotRun { wrong_instance: false });
    let answer = message_to_front(&outputs);
    assert!(
        matches!(answer, Some(ForwardMessage::Answer { outcome: Outcome::Unknown, status: 504, .. })),
        "{answer:?}"
    );
}

/// The function moves to another owner while an instance runs the request. The old owner makes no further attempt, and
/// the caller does not wait for one.
#[test]
fn owner_that_lost_its_function_answers_a_failed_attempt_at_once() {
    let mut front = front(2);
    let (_, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = send_to_owner(&mut owner, 6, message);
    owner.step(ms(10), true, OwnerInput::Membership { membership: membership(3, &[THIRD]) });
    let outputs = end_attempt(&mut owner, 20, &outputs, server_error());
    let answer = message_to_front(&outputs);
    assert!(matches!(answer, Some(ForwardMessage::Answer { status: 500, .. })), "{answer:?}");
}

/// A front of the previous frame format counts no attempts, so the owner makes as many as the binding allows.
#[test]
fn owner_asks_no_grant_of_a_front_that_does_not_count() {
    let mut owner = owner(OTHER, 2);
    let message = ForwardMessage::ForwardUncounted {
        task: 7,
        function: "t/f".into(),
        binding: "t/f".into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "a".into(),
        head: wire::to_bytes(&wire::RequestHead::default()).into(),
        body: Vec::new().into(),
    };
    let outputs = send_to_owner(&mut owner, 6, message);
    let outputs = end_attempt(&mut owner, 20, &outputs, server_error());
    assert!(dispatch_number(&outputs).is_some(), "{outputs:?}");
}
