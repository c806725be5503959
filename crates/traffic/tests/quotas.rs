//! Limits of consumers at the front: requests wait for credits, who is over is refused early, the credit of what did
//! not run admits another, and routers grant each other credits.

mod common;

use bindings::RouteTable;
use common::{ME, OTHER, membership, ms, reply};
use std::rc::Rc;
use traffic::{Call, Front, FrontInput, FrontLimits, FrontOutput};
use wire::{Blob, ForwardMessage, Outcome, QuotaGrant, QuotaRequest, RequestHead};

fn routes_of(version: u64, name: &str, consumer: &str) -> Rc<RouteTable> {
    let pairs: [(&str, &[u8]); 2] = [
        ("function-bindings/t/f", br#"{"route":"/t/f","function":"f","class":"ordinary","attempts":3}"#),
        (name, consumer.as_bytes()),
    ];
    Rc::new(RouteTable::build(version, version, pairs.into_iter()))
}

fn routes(consumer: &str) -> Rc<RouteTable> {
    routes_of(1, "consumers/t/ada", consumer)
}

/// The API key is another consumer's.
fn key_moved() -> Rc<RouteTable> {
    routes_of(2, "consumers/t/bea", LIMITED)
}

/// One whose requests are owned, and whose credits are granted, by another.
fn front(consumer: &str) -> Front {
    let mut front = Front::new(ME, 1, FrontLimits::default());
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes(consumer) });
    front
}

fn ask(front: &mut Front, request_id: u64, at: u64) -> Vec<FrontOutput> {
    let head = RequestHead { method: "GET".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let call = Call {
        host: String::new(),
        path: "/t/f".into(),
        deadline: None,
        head,
        body: Vec::new(),
        key: None,
        api_key: Some("k-1".into()),
        respond_async: false,
    };
    front.step(ms(at), true, FrontInput::Task { request_id, call })
}

fn told(front: &mut Front, at: u64, message: ForwardMessage) -> Vec<FrontOutput> {
    front.step(ms(at), true, FrontInput::Forwarded { from: OTHER, message })
}

/// The request for credits among what the front sends.
fn quota_request(outputs: &[FrontOutput]) -> Option<QuotaRequest> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaRequest { request } } => Some(request.clone()),
        _ => None,
    })
}

fn granted(front: &mut Front, at: u64, number: u64, granted: u32, retry_after_ms: u32) -> Vec<FrontOutput> {
    told(front, at, ForwardMessage::QuotaGrant { grant: QuotaGrant { number, granted, retry_after_ms } })
}

/// The number of a request for credits that is sent once the granter's link has been down for a while, and when.
fn asked_again(front: &mut Front) -> (u64, u64) {
    let asked = (1..50).map(|step| step * 20).find_map(|at| {
        let request = quota_request(&front.step(ms(at), true, FrontInput::Tick));
        request.map(|request| (request.number, at))
    });
    asked.expect("the granter is asked again after a while")
}

/// Asks, has the credit granted, and returns the number under which the request is forwarded.
fn admitted(front: &mut Front, request_id: u64, at: u64) -> u64 {
    let request = quota_request(&ask(front, request_id, at)).expect("a credit is asked for");
    forward_of(&granted(front, at, request.number, 1, 0))
}

fn forward_of(outputs: &[FrontOutput]) -> u64 {
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
    let outputs = ask(&mut front, 1, 1);
    assert_eq!(outputs.len(), 1, "nothing is forwarded: {outputs:?}");
    let request = quota_request(&outputs).expect("a credit is asked for");
    assert_eq!(front.quota_status(ms(2))["waiting"], 1);
    forward_of(&granted(&mut front, 2, request.number, 1, 0));
    assert_eq!(front.quota_status(ms(2))["waiting"], 0);
}

#[test]
fn one_over_its_limit_is_refused_before_any_work() {
    let mut front = front(LIMITED);
    let request = quota_request(&ask(&mut front, 1, 1)).expect("a credit is asked for");
    let outputs = granted(&mut front, 2, request.number, 0, 700);
    let first = reply(&outputs).expect("an answer as soon as nothing is granted");
    assert_eq!((first.status, first.outcome), (429, Some(Outcome::NotRun)));
    let outputs = ask(&mut front, 2, 3);
    assert_eq!(outputs.len(), 1, "nothing is forwarded or asked for: {outputs:?}");
    let second = reply(&outputs).expect("an answer at once");
    assert_eq!((second.status, second.outcome), (429, Some(Outcome::NotRun)));
    assert!(second.retry_after >= ms(500), "{second:?}");
    assert_eq!(front.quota_status(ms(3))["refused_over_limit"], 2);
}

#[test]
fn the_credit_of_what_did_not_run_admits_another_until_it_expires() {
    let mut front = front(LIMITED);
    let task = admitted(&mut front, 1, 1);
    let (head, body) = (Blob::default(), Blob::default());
    let refused =
        ForwardMessage::Answer { task, outcome: Outcome::NotRun, status: 503, retry_after_ms: 100, head, body };
    told(&mut front, 2, refused.clone());
    let second = ask(&mut front, 2, 3);
    assert_eq!(quota_request(&second), None, "the credit is there");
    let ForwardMessage::Answer { outcome, status, retry_after_ms, head, body, .. } = refused else { unreachable!() };
    let again = ForwardMessage::Answer { task: forward_of(&second), outcome, status, retry_after_ms, head, body };
    told(&mut front, 4, again);
    assert!(quota_request(&ask(&mut front, 3, 2000)).is_some(), "it has expired");
}

#[test]
fn a_request_whose_caller_left_before_it_was_forwarded_gives_its_credit_back() {
    let mut front = front(LIMITED);
    front.step(ms(1), true, FrontInput::Link { id: OTHER, up: false });
    ask(&mut front, 1, 2);
    let (number, at) = asked_again(&mut front);
    granted(&mut front, at + 1, number, 1, 0);
    front.step(ms(at + 2), true, FrontInput::Gone { request_id: 1 });
    front.step(ms(at + 3), true, FrontInput::Link { id: OTHER, up: true });
    forward_of(&ask(&mut front, 2, at + 4));
}

#[test]
fn a_request_whose_key_moved_to_another_consumer_counts_for_that_one() {
    let mut front = front(LIMITED);
    front.step(ms(1), true, FrontInput::Link { id: OTHER, up: false });
    ask(&mut front, 1, 2);
    let (number, at) = asked_again(&mut front);
    // It is admitted, and waits for a link to the owner.
    granted(&mut front, at + 1, number, 50, 0);
    let mut outputs = front.step(ms(at + 2), true, FrontInput::RouteTable { routes: key_moved() });
    outputs.extend(front.step(ms(at + 3), true, FrontInput::Link { id: OTHER, up: true }));
    let forwards = outputs.iter().filter(|output| {
        matches!(output, FrontOutput::Forward { message: ForwardMessage::ForwardForConsumer { .. }, .. })
    });
    assert_eq!(forwards.count(), 0, "no credit of the new consumer is there: {outputs:?}");
}

#[test]
fn a_request_in_doubt_is_not_told_that_it_never_ran_where_its_key_moved_to_one_at_its_limit() {
    let mut front = front(LIMITED);
    admitted(&mut front, 1, 1);
    front.step(ms(2), true, FrontInput::Link { id: OTHER, up: false });
    front.step(ms(3), true, FrontInput::RouteTable { routes: key_moved() });
    front.step(ms(4), true, FrontInput::Link { id: OTHER, up: true });
    let (number, at) = asked_again(&mut front);
    let outputs = granted(&mut front, at + 1, number, 0, 900);
    let reply = reply(&outputs).expect("it is answered");
    assert_eq!((reply.status, reply.outcome), (504, Some(Outcome::Unknown)));
}

#[test]
fn a_further_attempt_at_a_request_costs_a_credit() {
    let mut front = front(LIMITED);
    let task = admitted(&mut front, 1, 1);
    let outputs = told(&mut front, 2, ForwardMessage::AttemptRequest { task, attempts: 2 });
    let owed = quota_request(&outputs).expect("the credit for it is asked for");
    granted(&mut front, 3, owed.number, 1, 0);
    let outputs = ask(&mut front, 2, 4);
    assert!(quota_request(&outputs).is_some(), "the one that came is spent: {outputs:?}");
}

#[test]
fn a_granter_that_does_not_answer_delays_no_request_past_its_patience() {
    let mut front = front(LIMITED);
    ask(&mut front, 1, 1);
    let outputs: Vec<FrontOutput> =
        (1..400).flat_map(|step| front.step(ms(step * 20), true, FrontInput::Tick)).collect();
    assert!(quota_request(&outputs).is_some(), "it is asked again");
    let reply = reply(&outputs).expect("it is answered");
    assert_eq!((reply.status, reply.outcome), (503, Some(Outcome::NotRun)));
}

#[test]
fn one_without_a_limit_needs_no_credit() {
    let mut front = front(r#"{"keys":["k-1"]}"#);
    for n in 1..200 {
        let outputs = ask(&mut front, n, n);
        forward_of(&outputs);
        assert_eq!(quota_request(&outputs), None);
    }
}

#[test]
fn only_a_router_with_a_lease_and_a_share_grants() {
    let mut asking = front(LIMITED);
    let request = quota_request(&ask(&mut asking, 1, 1)).expect("a credit is asked for");
    let grant = |granter: &mut Front, may_serve: bool| {
        let message = ForwardMessage::QuotaRequest { request: request.clone() };
        let outputs = granter.step(ms(9000), may_serve, FrontInput::Forwarded { from: OTHER, message });
        outputs.into_iter().find_map(|output| match output {
            FrontOutput::Forward { to: OTHER, message: ForwardMessage::QuotaGrant { grant } } => Some(grant.granted),
            _ => None,
        })
    };
    let mut other = front(LIMITED);
    assert_eq!(grant(&mut other, true), Some(0), "the membership names another as the only granter");
    let mut granter = front(LIMITED);
    granter.step(ms(0), true, FrontInput::Membership { membership: membership(2, &[ME]) });
    assert_eq!(grant(&mut granter, false), Some(0), "it has no lease");
    assert_eq!(grant(&mut granter, true), Some(1));
}
