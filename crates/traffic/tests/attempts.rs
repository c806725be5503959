//! No request is sent to more instances than its route allows, whatever becomes of owners and links:
//! a front and the owners it forwards to, with the messages between them passed, lost or repeated by hand.

mod common;

use common::forwards::{forwarded, granted, sent, to_front};
use common::{ME, OTHER, membership, ms, reply};
use std::rc::Rc;
use test_case::test_case;
use traffic::{
    DispatchOutcome, Front, FrontInput, FrontLimits, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming,
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

/// An owner with four instances.
fn owner(id: NodeId, attempts: u32) -> FunctionOwner {
    let mut owner = FunctionOwner::new(id, 1, OwnerTiming::default());
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
    owner.step(ms(1), true, OwnerInput::Forward { from: 9, message: ForwardMessage::Table { table } });
    owner
}

fn give(owner: &mut FunctionOwner, at: u64, message: ForwardMessage) -> Vec<OwnerOutput> {
    owner.step(ms(at), true, OwnerInput::Forward { from: ME, message })
}

fn fails(owner: &mut FunctionOwner, at: u64, outputs: &[OwnerOutput], outcome: DispatchOutcome) -> Vec<OwnerOutput> {
    let number = sent(outputs).expect("sent to an instance");
    owner.step(ms(at), true, OwnerInput::Dispatched { number, outcome })
}

fn garbled() -> DispatchOutcome {
    DispatchOutcome::InDoubt { detail: "garbled".into(), timed_out: false }
}

fn failed() -> DispatchOutcome {
    DispatchOutcome::Complete { status: 500, head: Vec::new(), body: b"first".to_vec(), turned_away: false }
}

fn tell(front: &mut Front, from: NodeId, at: u64, message: ForwardMessage) -> Vec<FrontOutput> {
    front.step(ms(at), true, FrontInput::Forwarded { from, message })
}

fn grant(task: u64, attempts: u32) -> ForwardMessage {
    ForwardMessage::AttemptGrant { task, attempts }
}

/// The links are reset while an instance runs the request, and the next one garbles its answer too.
#[test]
fn two_owners_in_a_row_send_it_to_no_more_instances_than_its_route_allows() {
    let mut front = front(2);
    let (_, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut first = owner(OTHER, 2);
    let one = give(&mut first, 6, message);
    assert!(sent(&one).is_some());
    front.step(ms(10), true, FrontInput::Link { id: OTHER, up: false });
    let outputs = front.step(ms(20), true, FrontInput::Membership { membership: membership(3, &[THIRD]) });
    let (_, message) = forwarded(&outputs).expect("forwarded again");
    let mut second = owner(THIRD, 2);
    let two = give(&mut second, 21, message);
    assert!(sent(&two).is_some());
    for (owner, outputs, from) in [(&mut first, &one, OTHER), (&mut second, &two, THIRD)] {
        let outputs = fails(owner, 40, outputs, garbled());
        assert_eq!(sent(&outputs), None, "a third instance");
        let request_id = to_front(&outputs).expect("asks for a third attempt");
        let outputs = tell(&mut front, from, 41, request_id);
        let most = granted(&outputs).expect("told");
        assert!(most <= 1, "{most} granted to each of two homes");
    }
}

#[test]
fn an_owner_may_send_it_again_once_its_front_grants_it() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = give(&mut owner, 6, message);
    let outputs = fails(&mut owner, 20, &outputs, garbled());
    let request_id = to_front(&outputs).expect("asks");
    assert_eq!(request_id, ForwardMessage::AttemptRequest { task, attempts: 2 });
    for at in [21, 22] {
        assert_eq!(granted(&tell(&mut front, OTHER, at, request_id.clone())), Some(2), "however often the frame comes");
    }
    let outputs = give(&mut owner, 23, grant(task, 2));
    assert!(sent(&outputs).is_some());
    assert_eq!(sent(&give(&mut owner, 24, grant(task, 2))), None, "the grant came twice");
    let outputs = fails(&mut owner, 30, &outputs, failed());
    let answer = to_front(&outputs);
    assert!(matches!(answer, Some(ForwardMessage::Answer { status: 500, .. })), "no attempt is left: {answer:?}");
}

#[test_case(Some(0), 25; "refused")]
#[test_case(None, 400; "unanswered")]
fn without_a_grant_the_failure_is_the_answer(reported: Option<u32>, at: u64) {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = give(&mut owner, 6, message);
    let outputs = fails(&mut owner, 20, &outputs, failed());
    assert!(matches!(to_front(&outputs), Some(ForwardMessage::AttemptRequest { .. })));
    let outputs = match reported {
        Some(attempts) => give(&mut owner, at, grant(task, attempts)),
        None => owner.step(ms(at), true, OwnerInput::Tick),
    };
    let answer = to_front(&outputs);
    let Some(ForwardMessage::Answer { outcome, status, body, .. }) = answer else { panic!("{answer:?}") };
    assert_eq!((outcome, status, body.as_slice()), (Outcome::Answered, 500, b"first".as_slice()));
    assert_eq!(sent(&give(&mut owner, at + 5, grant(task, 2))), None, "a grant after the answer");
}

/// A front that lost two owners has no attempt left to grant.
#[test]
fn with_no_attempt_left_the_caller_is_answered_at_once() {
    let mut front = front(2);
    assert!(forwarded(&common::send_request(&mut front, 5, true, "/t/f")).is_some());
    let outputs = front.step(ms(20), true, FrontInput::Membership { membership: membership(2, &[THIRD]) });
    assert!(forwarded(&outputs).is_some());
    let outputs = front.step(ms(40), true, FrontInput::Membership { membership: membership(3, &[OTHER]) });
    assert_eq!(forwarded(&outputs), None);
    let reported = reply(&outputs).expect("told at once");
    assert_eq!((reported.outcome, reported.status), (Some(Outcome::Unknown), 504));
}

/// What an owner never sent is forwarded with as many attempts as before, however often it is given back.
#[test]
fn what_is_given_back_unsent_loses_no_attempt() {
    let mut front = front(1);
    let mut outputs = common::send_request(&mut front, 5, true, "/t/f");
    for at in [50, 100, 150] {
        let (task, _) = forwarded(&outputs).expect("forwarded");
        tell(&mut front, OTHER, at, ForwardMessage::NotOwner { task });
        outputs = front.step(ms(at + 40), true, FrontInput::Tick);
    }
    assert!(forwarded(&outputs).is_some());
}

/// Instances that turned it away were sent it: the next owner may send it to so many fewer.
#[test]
fn what_was_rejected_before_it_is_given_back_stays_counted() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = give(&mut owner, 6, message);
    owner.step(ms(10), true, OwnerInput::Membership { membership: membership(3, &[THIRD]) });
    let outputs = fails(&mut owner, 20, &outputs, DispatchOutcome::NotRun { wrong_instance: false });
    assert_eq!(to_front(&outputs), Some(ForwardMessage::Returned { task, attempts: 1 }));
}

#[test]
fn an_owner_that_gives_it_back_keeps_what_it_used() {
    let mut front = front(2);
    let (task, _) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    tell(&mut front, OTHER, 10, ForwardMessage::Returned { task, attempts: 1 });
    let (task, _) = forwarded(&front.step(ms(50), true, FrontInput::Tick)).expect("one is left");
    let outputs = tell(&mut front, OTHER, 60, ForwardMessage::AttemptRequest { task, attempts: 2 });
    assert_eq!(granted(&outputs), Some(1), "one was used at the home before");
    let outputs = tell(&mut front, OTHER, 70, ForwardMessage::Returned { task, attempts: 1 });
    let reported = reply(&outputs).expect("told at once");
    assert_eq!((reported.outcome, reported.status, reported.retry_after > ms(0)), (Some(Outcome::NotRun), 503, true));
}

/// The first instance may have run it, and the second surely did not.
#[test]
fn a_request_that_may_have_run_is_not_called_not_run_by_the_last_instance() {
    let mut front = front(2);
    let (task, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = give(&mut owner, 6, message);
    fails(&mut owner, 20, &outputs, garbled());
    let outputs = give(&mut owner, 21, grant(task, 2));
    let outputs = fails(&mut owner, 30, &outputs, DispatchOutcome::NotRun { wrong_instance: false });
    let answer = to_front(&outputs);
    assert!(
        matches!(answer, Some(ForwardMessage::Answer { outcome: Outcome::Unknown, status: 504, .. })),
        "{answer:?}"
    );
}

/// Its function moves while an instance has it: no further attempt is made here, and its caller is not
/// kept waiting for one.
#[test]
fn an_owner_that_leaves_answers_a_failed_attempt_at_once() {
    let mut front = front(2);
    let (_, message) = forwarded(&common::send_request(&mut front, 5, true, "/t/f")).expect("forwarded");
    let mut owner = owner(OTHER, 2);
    let outputs = give(&mut owner, 6, message);
    owner.step(ms(10), true, OwnerInput::Membership { membership: membership(3, &[THIRD]) });
    let outputs = fails(&mut owner, 20, &outputs, failed());
    let answer = to_front(&outputs);
    assert!(matches!(answer, Some(ForwardMessage::Answer { status: 500, .. })), "{answer:?}");
}

/// A front of the format before counts nothing: its owner makes as many attempts as the binding allows.
#[test]
fn a_front_that_does_not_count_is_asked_for_nothing() {
    let mut owner = owner(OTHER, 2);
    let message = ForwardMessage::ForwardUncounted {
        task: 7,
        function: "t/f".into(),
        binding: "t/f".into(),
        left_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "a".into(),
        head: wire::to_bytes(&wire::RequestHead::default()).into(),
        body: Vec::new().into(),
    };
    let outputs = give(&mut owner, 6, message);
    let outputs = fails(&mut owner, 20, &outputs, failed());
    assert!(sent(&outputs).is_some(), "{outputs:?}");
}
