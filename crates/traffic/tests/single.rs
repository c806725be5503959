//! Requests of class `single`, which may run at most once. A request that certainly did not run is refused or sent to
//! another instance. One that may have run is answered at once as unknown and never sent again.

mod common;

use bindings::RouteTable;
use common::{ME, OTHER, forward, membership, ms, reply};
use std::rc::Rc;
use test_case::test_case;
use traffic::{
    DispatchOutcome, Front, FrontInput, FrontLimits, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings,
};
use wire::{ForwardMessage, InstanceSlots, Outcome, OwnershipTable, RequestHead};

fn single_routes(attempts: u32) -> Rc<RouteTable> {
    let binding = format!(
        r#"{{"route":"/t/f","function":"f","class":"single","attempts":{attempts},"aim_ms":400,"instance_limit":4}}"#
    );
    Rc::new(RouteTable::build(1, 1, [("function-bindings/t/f", binding.as_bytes())].into_iter()))
}

/// Creates an owner with two instances and forwards a request to it. Returns the owner and its outputs.
fn owner(attempts: u32) -> (FunctionOwner, Vec<OwnerOutput>) {
    let mut owner = FunctionOwner::new(ME, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: single_routes(attempts) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[ME, OTHER]) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[ME]) });
    let slot =
        |id: &str| InstanceSlots { instance: id.into(), address: format!("127.0.0.1:{id}").into(), ready: 1, busy: 0 };
    let slots = vec![slot("1"), slot("2")].into();
    let table = OwnershipTable { function: "t/f".into(), membership: 2, slots, ..OwnershipTable::default() };
    owner.step(ms(1), true, OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table } });
    let head = RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let message = ForwardMessage::ForwardUncounted {
        task: 7,
        function: "t/f".into(),
        binding: "t/f".into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "a".into(),
        head: wire::to_bytes(&head).into(),
        body: Vec::new().into(),
    };
    let outputs = owner.step(ms(2), true, OwnerInput::Forward { from: OTHER, message });
    (owner, outputs)
}

fn sent(outputs: &[OwnerOutput]) -> Option<(u64, String)> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some((order.number, order.instance_id.clone())),
        _ => None,
    })
}

fn reported(outputs: &[OwnerOutput]) -> Option<(Outcome, u16, u32)> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { message: ForwardMessage::Answer { outcome, status, retry_after_ms, .. }, .. } => {
            Some((*outcome, *status, *retry_after_ms))
        }
        _ => None,
    })
}

fn end_dispatch(owner: &mut FunctionOwner, outputs: &[OwnerOutput], outcome: DispatchOutcome) -> Vec<OwnerOutput> {
    let (number, _) = sent(outputs).expect("sent without a claim and without the core");
    owner.step(ms(20), true, OwnerInput::Dispatched { number, outcome })
}

fn in_doubt(late: bool) -> DispatchOutcome {
    DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: late }
}

#[test_case(in_doubt(false), 502; "incomplete answer")]
#[test_case(in_doubt(true), 504; "out of time")]
fn request_in_doubt_is_answered_at_once_and_never_sent_again(ended: DispatchOutcome, status: u16) {
    let (mut owner, first) = owner(3);
    let outputs = end_dispatch(&mut owner, &first, ended);
    assert_eq!((reported(&outputs), sent(&outputs)), (Some((Outcome::Unknown, status, 0)), None));
    assert_eq!(owner.depths(), (0, 0, 0), "nothing is stored or kept");
}

#[test]
fn server_error_of_an_instance_is_the_answer() {
    let (mut owner, first) = owner(3);
    let failed =
        DispatchOutcome::Complete { status: 500, head: Vec::new(), body: b"no".to_vec().into(), turned_away: false };
    let outputs = end_dispatch(&mut owner, &first, failed);
    assert_eq!((reported(&outputs), sent(&outputs)), (Some((Outcome::Answered, 500, 0)), None));
}

#[test_case(DispatchOutcome::Unreachable; "no listener")]
#[test_case(DispatchOutcome::NoConnection; "no connection")]
fn attempt_that_never_reached_an_instance_does_not_count(ended: DispatchOutcome) {
    let (mut owner, first) = owner(1);
    let outputs = end_dispatch(&mut owner, &first, ended);
    let (before, after) = (sent(&first).map(|order| order.1), sent(&outputs).map(|order| order.1));
    assert!(after.is_some() && before != after, "{outputs:?}");
}

#[test_case(false; "full")]
#[test_case(true; "another instance")]
fn request_rejected_by_its_only_instance_is_refused_with_retry_after(wrong_instance: bool) {
    let (mut owner, first) = owner(1);
    let outputs = end_dispatch(&mut owner, &first, DispatchOutcome::NotRun { wrong_instance });
    let (outcome, status, retry_after_ms) = reported(&outputs).expect("refused at once");
    assert_eq!((outcome, status, sent(&outputs)), (Outcome::NotRun, 503, None));
    assert!((100..2000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn rejected_request_goes_to_another_instance_if_attempts_allow() {
    let (mut owner, first) = owner(2);
    let second = end_dispatch(&mut owner, &first, DispatchOutcome::NotRun { wrong_instance: false });
    assert_ne!(sent(&first).map(|order| order.1), sent(&second).map(|order| order.1));
    let outputs = end_dispatch(&mut owner, &second, DispatchOutcome::NotRun { wrong_instance: false });
    assert_eq!(reported(&outputs).map(|reported| (reported.0, reported.1)), Some((Outcome::NotRun, 503)));
}

fn front() -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::RouteTable { routes: single_routes(1) });
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front
}

#[test_case(FrontInput::Link { id: OTHER, up: false }; "link lost")]
#[test_case(FrontInput::Membership { membership: membership(2, &[3]) }; "declared lost")]
fn loss_of_the_owner_gives_an_unknown_outcome(lost: FrontInput) {
    let mut front = front();
    let (task, _) = forward(&common::send_request(&mut front, 5, true, "/t/f"));
    let outputs = front.step(ms(20), true, lost);
    assert_eq!(reply(&outputs).map(|reply| (reply.outcome, reply.status)), Some((Some(Outcome::Unknown), 504)));
    let late = ForwardMessage::NotOwner { task };
    assert!(front.step(ms(30), true, FrontInput::Message { from: OTHER, message: late }).is_empty());
}

#[test]
fn returned_request_is_forwarded_again() {
    let mut front = front();
    let (task, _) = forward(&common::send_request(&mut front, 5, true, "/t/f"));
    front.step(ms(20), true, FrontInput::Message { from: OTHER, message: ForwardMessage::NotOwner { task } });
    let outputs = front.step(ms(60), true, FrontInput::Tick);
    assert!(matches!(outputs[..], [FrontOutput::Forward { .. }]), "{outputs:?}");
}

#[test]
fn front_that_may_not_serve_refuses_a_request_with_an_aim_early() {
    let mut front = front();
    assert!(common::send_request(&mut front, 0, false, "/t/f").is_empty());
    assert!(front.step(ms(100), false, FrontInput::Tick).is_empty());
    let outputs = front.step(ms(130), false, FrontInput::Tick);
    let reported = reply(&outputs).expect("within a third of its aim");
    assert_eq!((reported.outcome, reported.status), (Some(Outcome::NotRun), 503));
    assert!(reported.retry_after >= ms(300) && reported.retry_after < ms(600));
}

#[test]
fn owner_that_loses_its_lease_returns_only_unsent_requests() {
    let (mut owner, first) = owner(3);
    assert!(sent(&first).is_some());
    let outputs = owner.step(ms(30), false, OwnerInput::MembershipLost);
    assert!(reported(&outputs).is_none() && owner.depths().1 == 1, "the request is still running: {outputs:?}");
}
