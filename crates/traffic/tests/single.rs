//! Tasks that are sent to one instance at most, and once: what has surely not run is told so or goes
//! on, and what may have run is told at once as in doubt and never sent again.

mod common;

use bindings::RouteTable;
use common::{ME, OTHER, forward, membership, ms, reply};
use std::rc::Rc;
use test_case::test_case;
use traffic::{
    DispatchOutcome, Front, FrontInput, FrontLimits, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming,
};
use wire::{ForwardMessage, InstanceSlots, Outcome, OwnershipTable, RequestHead};

fn single(attempts: u32) -> Rc<RouteTable> {
    let binding = format!(
        r#"{{"route":"/t/f","function":"f","class":"single","attempts":{attempts},"aim_ms":400,"instance_limit":4}}"#
    );
    Rc::new(RouteTable::build(1, 1, [("function-bindings/t/f", binding.as_bytes())].into_iter()))
}

/// An owner with two instances, and the task that it was forwarded.
fn owner(attempts: u32) -> (FunctionOwner, Vec<OwnerOutput>) {
    let mut owner = FunctionOwner::new(ME, 1, OwnerTiming::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: single(attempts) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[ME, OTHER]) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[ME]) });
    let slot =
        |id: &str| InstanceSlots { instance: id.into(), address: format!("127.0.0.1:{id}").into(), ready: 1, busy: 0 };
    let slots = vec![slot("1"), slot("2")].into();
    let table = OwnershipTable { function: "t/f".into(), membership: 2, slots, ..OwnershipTable::default() };
    owner.step(ms(1), true, OwnerInput::Forward { from: OTHER, message: ForwardMessage::Table { table } });
    let head = RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let message = ForwardMessage::ForwardUncounted {
        task: 7,
        function: "t/f".into(),
        binding: "t/f".into(),
        left_ms: 4000,
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

fn outcome(owner: &mut FunctionOwner, outputs: &[OwnerOutput], outcome: DispatchOutcome) -> Vec<OwnerOutput> {
    let (number, _) = sent(outputs).expect("it is sent without a claim, and the core away");
    owner.step(ms(20), true, OwnerInput::Dispatched { number, outcome })
}

fn doubt(late: bool) -> DispatchOutcome {
    DispatchOutcome::InDoubt { detail: "closed".into(), timed_out: late }
}

#[test_case(doubt(false), 502; "no whole answer")]
#[test_case(doubt(true), 504; "out of time")]
fn in_doubt_it_is_reported_at_once_and_never_sent_again(came: DispatchOutcome, status: u16) {
    let (mut owner, first) = owner(3);
    let outputs = outcome(&mut owner, &first, came);
    assert_eq!((reported(&outputs), sent(&outputs)), (Some((Outcome::Unknown, status, 0)), None));
    assert_eq!(owner.depths(), (0, 0, 0), "no ledger, and nothing kept");
}

#[test]
fn an_instances_own_failure_is_its_answer() {
    let (mut owner, first) = owner(3);
    let failed = DispatchOutcome::Complete { status: 500, head: Vec::new(), body: b"no".to_vec(), turned_away: false };
    let outputs = outcome(&mut owner, &first, failed);
    assert_eq!((reported(&outputs), sent(&outputs)), (Some((Outcome::Answered, 500, 0)), None));
}

#[test_case(DispatchOutcome::Unreachable; "nobody listens")]
#[test_case(DispatchOutcome::NoConnection; "no connection")]
fn an_instance_that_never_got_it_does_not_count(came: DispatchOutcome) {
    let (mut owner, first) = owner(1);
    let outputs = outcome(&mut owner, &first, came);
    let (before, after) = (sent(&first).map(|order| order.1), sent(&outputs).map(|order| order.1));
    assert!(after.is_some() && before != after, "{outputs:?}");
}

#[test_case(false; "full")]
#[test_case(true; "another instance")]
fn rejected_by_the_only_one_it_may_go_to_it_is_refused_with_a_time(wrong_instance: bool) {
    let (mut owner, first) = owner(1);
    let outputs = outcome(&mut owner, &first, DispatchOutcome::NotRun { wrong_instance });
    let (outcome, status, again) = reported(&outputs).expect("told at once");
    assert_eq!((outcome, status, sent(&outputs)), (Outcome::NotRun, 503, None));
    assert!((100..2000).contains(&again), "{again}");
}

#[test]
fn rejected_it_goes_to_another_where_it_may() {
    let (mut owner, first) = owner(2);
    let second = outcome(&mut owner, &first, DispatchOutcome::NotRun { wrong_instance: false });
    assert_ne!(sent(&first).map(|order| order.1), sent(&second).map(|order| order.1));
    let outputs = outcome(&mut owner, &second, DispatchOutcome::NotRun { wrong_instance: false });
    assert_eq!(reported(&outputs).map(|reported| (reported.0, reported.1)), Some((Outcome::NotRun, 503)));
}

fn front() -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::RouteTable { routes: single(1) });
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front
}

#[test_case(FrontInput::Link { id: OTHER, up: false }; "unlinked")]
#[test_case(FrontInput::Membership { membership: membership(2, &[3]) }; "declared lost")]
fn an_owner_that_is_lost_may_have_run_it(lost: FrontInput) {
    let mut front = front();
    let (task, _) = forward(&common::send_request(&mut front, 5, true, "/t/f"));
    let outputs = front.step(ms(20), true, lost);
    assert_eq!(reply(&outputs).map(|reply| (reply.outcome, reply.status)), Some((Some(Outcome::Unknown), 504)));
    let late = ForwardMessage::NotOwner { task };
    assert!(front.step(ms(30), true, FrontInput::Forwarded { from: OTHER, message: late }).is_empty());
}

#[test]
fn what_its_owner_gives_back_is_forwarded_on() {
    let mut front = front();
    let (task, _) = forward(&common::send_request(&mut front, 5, true, "/t/f"));
    front.step(ms(20), true, FrontInput::Forwarded { from: OTHER, message: ForwardMessage::NotOwner { task } });
    let outputs = front.step(ms(60), true, FrontInput::Tick);
    assert!(matches!(outputs[..], [FrontOutput::Forward { .. }]), "{outputs:?}");
}

#[test]
fn without_a_proof_a_task_with_an_aim_is_refused_while_it_is_worth_much() {
    let mut front = front();
    assert!(common::send_request(&mut front, 0, false, "/t/f").is_empty());
    assert!(front.step(ms(100), false, FrontInput::Tick).is_empty());
    let outputs = front.step(ms(130), false, FrontInput::Tick);
    let reported = reply(&outputs).expect("within a third of its aim");
    assert_eq!((reported.outcome, reported.status), (Some(Outcome::NotRun), 503));
    assert!(reported.retry_after >= ms(300) && reported.retry_after < ms(600));
}

#[test]
fn an_owner_that_loses_its_lease_gives_back_only_what_no_instance_has_seen() {
    let (mut owner, first) = owner(3);
    assert!(sent(&first).is_some());
    let outputs = owner.step(ms(30), false, OwnerInput::Lapsed);
    assert!(reported(&outputs).is_none() && owner.depths().1 == 1, "it is running: {outputs:?}");
}
