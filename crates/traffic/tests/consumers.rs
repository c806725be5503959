//! Identification of consumers by their API keys alone, under the newest configuration.

mod common;

use bindings::RouteTable;
use common::{OTHER, front, ms, reply};
use std::rc::Rc;
use test_case::test_case;
use traffic::{Call, ConsumerHeader, Front, FrontInput, FrontLimits, FrontOutput};
use wire::{ForwardMessage, ForwardRequest, RequestHead};

fn routes(revision: u64, keys: &str) -> Rc<RouteTable> {
    let consumer = format!(r#"{{"keys":[{keys}],"rank":1}}"#);
    let resources: [(&str, &[u8]); 3] = [
        ("function-bindings/t/closed", br#"{"route":"/t/closed","function":"f","class":"once"}"#),
        ("function-bindings/t/open", br#"{"route":"/t/open","function":"f","class":"ordinary","public":true}"#),
        ("consumers/t/ada", consumer.as_bytes()),
    ];
    Rc::new(RouteTable::build(revision, revision, resources.into_iter()))
}

fn front_with_header() -> Front {
    let consumer_header = Some(ConsumerHeader { name: "x-consumer".into(), format_name: str::to_uppercase });
    let limits = FrontLimits { consumer_header, ..FrontLimits::default() };
    let mut front = Front::new(common::ME, 1, limits);
    front.step(ms(0), true, FrontInput::Membership { membership: common::membership(1, &[OTHER]) });
    front.step(ms(0), true, FrontInput::Link { id: OTHER, up: true });
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes(1, r#""k-1""#) });
    front
}

fn send_request_with_key(
    front: &mut Front,
    at: u64,
    may_serve: bool,
    path: &str,
    api_key: Option<&str>,
) -> Vec<FrontOutput> {
    let head = RequestHead { method: "POST".into(), target: path.into(), headers: Vec::new().into() };
    let api_key = api_key.map(str::to_owned);
    let (host, path, key) = (String::new(), path.to_owned(), Some("order-7".to_owned()));
    let call = Call { host, path, deadline: None, head, body: Vec::new().into(), key, api_key, respond_async: false };
    front.step(ms(at), may_serve, FrontInput::Task { request_id: at, call })
}

fn forwarded(outputs: &[FrontOutput]) -> Option<(ForwardRequest, String)> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Forward { message, .. } => {
            message.clone().into_forward_request().map(|(request, consumer)| (request, consumer.as_str().to_owned()))
        }
        FrontOutput::Reply { .. } => None,
    })
}

fn headers(request: &ForwardRequest) -> Vec<(String, Vec<u8>)> {
    let head: RequestHead = wire::from_bytes(request.head.as_slice()).expect("a head");
    head.headers.iter().map(|field| (field.name.as_str().to_owned(), field.value.as_slice().to_vec())).collect()
}

#[test]
fn a_consumer_is_identified_by_its_key_and_named_to_instances() {
    let mut front = front_with_header();
    let (request, consumer) =
        forwarded(&send_request_with_key(&mut front, 1, true, "/t/closed", Some("k-1"))).expect("it is forwarded");
    assert_eq!(consumer, "t/ada");
    assert_eq!(headers(&request), [("x-consumer".to_owned(), b"ADA".to_vec())]);
}

#[test_case(None; "without a key")]
#[test_case(Some("k-2"); "with an unknown key")]
#[test_case(Some(""); "with a repeated or unreadable key")]
fn a_caller_without_a_valid_key_reaches_public_routes_only(api_key: Option<&str>) {
    let mut front = front_with_header();
    let refused = send_request_with_key(&mut front, 1, true, "/t/closed", api_key);
    assert_eq!(reply(&refused).map(|reply| reply.status), Some(401));
    let (request, consumer) =
        forwarded(&send_request_with_key(&mut front, 2, true, "/t/open", api_key)).expect("it is forwarded");
    assert_eq!((consumer.as_str(), headers(&request).len()), ("", 0));
}

#[test]
fn a_revoked_key_admits_no_queued_request() {
    let mut front = front_with_header();
    let queued = send_request_with_key(&mut front, 1, false, "/t/closed", Some("k-1"));
    assert!(queued.is_empty(), "without a lease it waits");
    front.step(ms(2), false, FrontInput::RouteTable { routes: routes(2, r#""k-2""#) });
    let outputs = front.step(ms(40), true, FrontInput::Tick);
    assert_eq!(reply(&outputs).map(|reply| reply.status), Some(401));
    assert!(forwarded(&outputs).is_none());
}

/// The request may have run before its key was revoked or its route removed.
#[test_case(r#""k-2""#, true; "the key is revoked")]
#[test_case(r#""k-1""#, false; "the route is removed")]
fn a_request_in_doubt_is_answered_at_once_when_its_key_or_route_is_removed(keys: &str, has_route: bool) {
    let mut front = front_with_header();
    forwarded(&send_request_with_key(&mut front, 1, true, "/t/closed", Some("k-1"))).expect("it is forwarded");
    front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
    let table = if has_route { routes(2, keys) } else { Rc::new(RouteTable::build(2, 2, [].into_iter())) };
    let outputs = front.step(ms(60), true, FrontInput::RouteTable { routes: table });
    let outputs = if outputs.is_empty() { front.step(ms(90), true, FrontInput::Tick) } else { outputs };
    assert_eq!(reply(&outputs).map(|reply| reply.status), Some(504));
    assert!(forwarded(&outputs).is_none());
}

#[test]
fn a_key_moved_to_another_consumer_starts_no_second_operation() {
    let mut front = front_with_header();
    forwarded(&send_request_with_key(&mut front, 1, true, "/t/closed", Some("k-1"))).expect("it is forwarded");
    front.step(ms(20), true, FrontInput::Link { id: OTHER, up: false });
    let resources: [(&str, &[u8]); 2] = [
        ("function-bindings/t/closed", br#"{"route":"/t/closed","function":"f","class":"once"}"#),
        ("consumers/t/bob", br#"{"keys":["k-1"]}"#),
    ];
    let moved_key = Rc::new(RouteTable::build(2, 2, resources.into_iter()));
    let mut outputs = front.step(ms(60), true, FrontInput::RouteTable { routes: moved_key });
    outputs.extend(front.step(ms(90), true, FrontInput::Tick));
    assert_eq!(reply(&outputs).map(|reply| reply.status), Some(504));
    assert!(forwarded(&outputs).is_none());
}

#[test]
fn without_consumers_no_key_is_required() {
    let mut front = front(1, OTHER);
    let outputs = common::send_request(&mut front, 1, true, "/t/f");
    assert!(matches!(&outputs[0], FrontOutput::Forward { message: ForwardMessage::Forward { .. }, .. }));
}

#[test]
fn removing_the_last_consumer_opens_no_route() {
    let mut front = front_with_header();
    let resources: [(&str, &[u8]); 3] = [
        ("function-bindings/t/closed", br#"{"route":"/t/closed","function":"f","class":"once"}"#),
        ("function-bindings/t/open", br#"{"route":"/t/open","function":"f","class":"ordinary","public":true}"#),
        ("bounds/t/limits", br#"{"keys_required":true}"#),
    ];
    let without_consumers = Rc::new(RouteTable::build(2, 2, resources.into_iter()));
    front.step(ms(1), true, FrontInput::RouteTable { routes: without_consumers });
    for (at, key) in [(2, None), (3, Some("k-1"))] {
        let refused = send_request_with_key(&mut front, at, true, "/t/closed", key);
        assert_eq!(reply(&refused).map(|reply| reply.status), Some(401), "{key:?}");
    }
    assert!(forwarded(&send_request_with_key(&mut front, 4, true, "/t/open", None)).is_some());
}
