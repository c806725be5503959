//! A small route table, membership and front for tests of one state machine.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

pub mod deferred;
pub mod forwards;
pub mod keyed;
pub mod provider;

use bindings::RouteTable;
use leases::{HASHING_VERSION, Member, Membership};
use std::rc::Rc;
use std::time::Duration;
use traffic::{Call, Front, FrontInput, FrontLimits, FrontOutput, Reply};
use wire::{Capacity, ForwardMessage, RequestHead};

pub const ME: u64 = 1;
pub const OTHER: u64 = 2;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn routes() -> Rc<RouteTable> {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary"}"#;
    Rc::new(RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter()))
}

pub fn membership(number: u64, ids: &[u64]) -> Rc<Membership> {
    let line = |id: &u64| Member {
        id: *id,
        incarnation: 1,
        address: "".into(),
        zone: "a".into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING_VERSION,
        capacity: Capacity::default(),
    };
    let members: Vec<Member> = ids.iter().map(line).collect();
    Rc::new(Membership { number, members: members.into() })
}

pub fn front(incarnation: u64, owner: u64) -> Front {
    let mut front = Front::new(ME, incarnation, FrontLimits::default());
    front.step(ms(0), true, FrontInput::RouteTable { routes: routes() });
    front.step(ms(0), true, FrontInput::Membership { membership: membership(1, &[owner]) });
    front.step(ms(0), true, FrontInput::Link { id: owner, up: true });
    front
}

/// Lets a caller send a request to the front.
pub fn send_request(front: &mut Front, at: u64, may_serve: bool, path: &str) -> Vec<FrontOutput> {
    let head = RequestHead { method: "POST".into(), target: path.into(), headers: Vec::new().into() };
    let (host, path) = (String::new(), path.to_owned());
    let call = Call {
        host,
        path,
        deadline: None,
        head,
        body: b"x".to_vec().into(),
        key: None,
        api_key: None,
        respond_async: false,
    };
    front.step(ms(at), may_serve, FrontInput::Task { request_id: at, call })
}

/// Returns the forwarded request, which must be the first output, and its number.
pub fn forward(outputs: &[FrontOutput]) -> (u64, ForwardMessage) {
    match &outputs[0] {
        FrontOutput::Forward { message: message @ ForwardMessage::Forward { request }, .. } => {
            (request.task, message.clone())
        }
        other => panic!("not a forward: {other:?}"),
    }
}

/// Returns the first reply to a caller.
pub fn reply(outputs: &[FrontOutput]) -> Option<&Reply> {
    outputs.iter().find_map(|output| match output {
        FrontOutput::Reply { reply, .. } => Some(reply),
        _ => None,
    })
}
