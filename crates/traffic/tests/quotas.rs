//! Consumers' limits at the front: requests wait for credits, requests over the limit are refused early, the credit of a
//! request that did not run admits another one, and routers grant each other credits.

mod common;

use bindings::RouteTable;
use common::{ME, OTHER, membership, ms, reply};
use std::rc::Rc;
use traffic::{Call, Front, FrontInput, FrontLimits, FrontOutput};
use wire::{Blob, ForwardMessage, Outcome, QuotaGrant, QuotaRequest, RequestHead};

fn routes_with_consumer(version: u64, name: &str, consumer: &str) -> Rc<RouteTable> {
    let resources: [(&str, &[u8]); 2] = [
        ("function-bindings/t/f", br#"{"route":"/t/f","function":"f","class":"ordinary","attempts":3}"#),
        (name, consumer.as_bytes()),
    ];
    Rc::new(RouteTable::build(version, version, resources.into_iter()))
}

fn routes(consumer: &str) -> Rc<RouteTable> {
    routes_with_consumer(1, "consumers/t/ada", consumer)
}

/// Returns routes in which the API key belongs to another consumer.
fn routes_with_moved_key() -> Rc<RouteTable> {
    routes_with_consumer(2, "consumers/t/bea", LIMITED)
}

/// Returns a front whose owner and granter is another router.
fn front(consumer: &str) -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes(consumer) });
    front
}

fn send_limited_request(front: &mut Front, request_id: u64, at: u64) -> Vec<FrontOutput> {
    let head = RequestHead { method: "GET".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let call = Call {
        host: String::new(),
        path: "/t/f".into(),
        deadline: None,
        head,
        body: Vec::new().into(),
        key: None,
        api_key: Some("k-1".into()),
        respond_async: false,
    };
    front.step(ms(at), true, FrontInput::Task { request_id, call })
}

fn receive(front: &mut Front, at: u64, message: ForwardMessage) -> Vec<FrontOutput> {
    front.step(ms(at), true, FrontInput::Message { from: OTHER, message })
}

/// Returns the request for credits among the outputs.
fn quota_request(outputs: &[FrontOutput]) -> Option<QuotaRequest> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaRequest { request } } => Some(request.clone()),
        _ => None,
    })
}

fn receive_grant(front: &mut Front, at: u64, number: u64, granted: u32, retry_after_ms: u32) -> Vec<FrontOutput> {
    receive(front, at, ForwardMessage::QuotaGrant { grant: QuotaGrant { number, granted, retry_after_ms } })
}

/// Ticks until the front requests credits again after its granter's link went down. Returns the number of the request and
/// its time.
fn next_quota_request(front: &mut Front) -> (u64, u64) {
    let request = (1..50).map(|step| step * 20).find_map(|at| {
        let request = quota_request(&front.step(ms(at), true, FrontInput::Tick));
        request.map(|request| (request.number, at))
    });
    request.expect("the granter is asked again after a while")
}

/// Sends a request, grants its credit, and returns the number of its forward.
fn send_admitted_request(front: &mut Front, request_id: u64, at: u64) -> u64 {
    let request = quota_request(&send_limited_request(front, request_id, at)).expect("a credit is asked for");
    forward_number(&receive_grant(front, at, request.number, 1, 0))
}

fn forward_number(outputs: &[FrontOutput]) -> u64 {
    let forwarded = outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message, .. } => message.clone().into_forward_request(),
        FrontOutput::Reply { .. } => None,
    });
    forwarded.expect("it is forwarded").0.task
}

const LIMITED: &str = r#"{"keys":["k-1"],"rate_per_s":10.0,"burst":2.0}"#;

#[test]
fn a_request_waits_for_a_credit_and_is_forwarded_with_it() {
    let mut front = front(LIMITED);
    let outputs = send_limited_request(&mut front, 1, 1);
    assert_eq!(outputs.len(), 1, "nothing is forwarded: {outputs:?}");
    let request = quota_request(&outputs).expect("a credit is asked for");
    assert_eq!(front.quota_status(ms(2))["waiting"], 1);
    forward_number(&receive_grant(&mut front, 2, request.number, 1, 0));
    assert_eq!(front.quota_status(ms(2))["waiting"], 0);
}

#[test]
fn a_request_over_its_limit_is_refused_before_it_is_forwarded() {
    let mut front = front(LIMITED);
    let request = quota_request(&send_limited_request(&mut front, 1, 1)).expect("a credit is asked for");
    let outputs = receive_grant(&mut front, 2, request.number, 0, 700);
    let first = reply(&outputs).expect("an answer as soon as nothing is granted");
    assert_eq!((first.status, first.outcome), (429, Some(Outcome::NotRun)));
    let outputs = send_limited_request(&mut front, 2, 3);
    assert_eq!(outputs.len(), 1, "nothing is forwarded or asked for: {outputs:?}");
    let second = reply(&outputs).expect("an answer at once");
    assert_eq!((second.status, second.outcome), (429, Some(Outcome::NotRun)));
    assert!(second.retry_after >= ms(500), "{second:?}");
    assert_eq!(front.quota_status(ms(3))["refused_over_limit"], 2);
}

#[test]
fn the_credit_of_a_request_that_did_not_run_admits_another_until_it_expires() {
    let mut front = front(LIMITED);
    let task = send_admitted_request(&mut front, 1, 1);
    let (head, body) = (Blob::default(), Blob::default());
    let refused =
        ForwardMessage::Answer { task, outcome: Outcome::NotRun, status: 503, retry_after_ms: 100, head, body };
    receive(&mut front, 2, refused.clone());
    let second = send_limited_request(&mut front, 2, 3);
    assert_eq!(quota_request(&second), None, "the refunded credit is used");
    let ForwardMessage::Answer { outcome, status, retry_after_ms, head, body, .. } = refused else { unreachable!() };
    let refused_again =
        ForwardMessage::Answer { task: forward_number(&second), outcome, status, retry_after_ms, head, body };
    receive(&mut front, 4, refused_again);
    assert!(quota_request(&send_limited_request(&mut front, 3, 2000)).is_some(), "the credit has expired");
}

#[test]
fn the_credit_of_a_request_whose_caller_left_before_the_forward_is_refunded() {
    let mut front = front(LIMITED);
    front.step(ms(1), true, FrontInput::Link { id: OTHER, up: false });
    send_limited_request(&mut front, 1, 2);
    let (number, at) = next_quota_request(&mut front);
    receive_grant(&mut front, at + 1, number, 1, 0);
    front.step(ms(at + 2), true, FrontInput::CallerGone { request_id: 1 });
    front.step(ms(at + 3), true, FrontInput::Link { id: OTHER, up: true });
    forward_number(&send_limited_request(&mut front, 2, at + 4));
}

#[test]
fn a_request_whose_key_moved_to_another_consumer_needs_a_credit_of_that_consumer() {
    let mut front = front(LIMITED);
    front.step(ms(1), true, FrontInput::Link { id: OTHER, up: false });
    send_limited_request(&mut front, 1, 2);
    let (number, at) = next_quota_request(&mut front);
    // The request is admitted, and waits for a link to the owner.
    receive_grant(&mut front, at + 1, number, 50, 0);
    let mut outputs = front.step(ms(at + 2), true, FrontInput::RouteTable { routes: routes_with_moved_key() });
    outputs.extend(front.step(ms(at + 3), true, FrontInput::Link { id: OTHER, up: true }));
    let forwards = outputs.iter().filter(|output| {
        matches!(output, FrontOutput::Forward { message: ForwardMessage::ForwardForConsumer { .. }, .. })
    });
    assert_eq!(forwards.count(), 0, "the new consumer has no credit: {outputs:?}");
}

#[test]
fn a_request_in_doubt_is_not_answered_as_not_run_when_its_key_moved_to_a_consumer_at_its_limit() {
    let mut front = front(LIMITED);
    send_admitted_request(&mut front, 1, 1);
    front.step(ms(2), true, FrontInput::Link { id: OTHER, up: false });
    front.step(ms(3), true, FrontInput::RouteTable { routes: routes_with_moved_key() });
    front.step(ms(4), true, FrontInput::Link { id: OTHER, up: true });
    let (number, at) = next_quota_request(&mut front);
    let outputs = receive_grant(&mut front, at + 1, number, 0, 900);
    let reply = reply(&outputs).expect("it is answered");
    assert_eq!((reply.status, reply.outcome), (504, Some(Outcome::Unknown)));
}

#[test]
fn a_further_attempt_of_a_request_costs_a_credit() {
    let mut front = front(LIMITED);
    let task = send_admitted_request(&mut front, 1, 1);
    let outputs = receive(&mut front, 2, ForwardMessage::AttemptRequest { task, attempts: 2 });
    let request = quota_request(&outputs).expect("the credit for it is asked for");
    receive_grant(&mut front, 3, request.number, 1, 0);
    let outputs = send_limited_request(&mut front, 2, 4);
    assert!(quota_request(&outputs).is_some(), "the granted credit is spent: {outputs:?}");
}

#[test]
fn a_request_is_refused_in_time_when_its_granter_does_not_answer() {
    let mut front = front(LIMITED);
    send_limited_request(&mut front, 1, 1);
    let outputs: Vec<FrontOutput> =
        (1..400).flat_map(|step| front.step(ms(step * 20), true, FrontInput::Tick)).collect();
    assert!(quota_request(&outputs).is_some(), "it is asked again");
    let reply = reply(&outputs).expect("it is answered");
    assert_eq!((reply.status, reply.outcome), (503, Some(Outcome::NotRun)));
}

#[test]
fn a_consumer_without_a_limit_needs_no_credit() {
    let mut front = front(r#"{"keys":["k-1"]}"#);
    for n in 1..200 {
        let outputs = send_limited_request(&mut front, n, n);
        forward_number(&outputs);
        assert_eq!(quota_request(&outputs), None);
    }
}

#[test]
fn only_a_granter_with_a_lease_grants_credits() {
    let mut requester = front(LIMITED);
    let request = quota_request(&send_limited_request(&mut requester, 1, 1)).expect("a credit is asked for");
    let grant = |granter: &mut Front, may_serve: bool| {
        let message = ForwardMessage::QuotaRequest { request: request.clone() };
        let outputs = granter.step(ms(9000), may_serve, FrontInput::Message { from: OTHER, message });
        outputs.into_iter().find_map(|output| match output {
            FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaGrant { grant } } => Some(grant.granted),
            _ => None,
        })
    };
    let mut not_granter = front(LIMITED);
    assert_eq!(grant(&mut not_granter, true), Some(0), "the membership names another as the only granter");
    let mut granter = front(LIMITED);
    granter.step(ms(0), true, FrontInput::Membership { membership: membership(2, &[ME]) });
    assert_eq!(grant(&mut granter, false), Some(0), "it has no lease");
    assert_eq!(grant(&mut granter, true), Some(1));
}
