//! An owner of a run-once function with one instance, and what it says and asks.

use super::{ME, OTHER, membership, ms};
use bindings::RouteTable;
use std::rc::Rc;
use std::time::Duration;
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming};
use wire::{
    ClaimState, Command, CommandReply, ForwardMessage, InstanceSlots, LeaseMessage, Outcome, OwnershipTable,
    RequestHead,
};

pub const WINDOW: Duration = Duration::from_secs(60);

pub fn routes(deduplicates: bool) -> Rc<RouteTable> {
    let function = format!(r#"{{"memory_mb":128,"boot_ms":900,"instance_limit":4,"deduplicates":{deduplicates}}}"#);
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"once","aim_ms":400,"instance_limit":4}"#;
    let pairs = [("functions/t/f", function.as_bytes()), ("function-bindings/t/f", binding)];
    Rc::new(RouteTable::build(1, 1, pairs.into_iter()))
}

/// An owner with one instance.
pub fn owner(claims_for_ticks: bool) -> FunctionOwner {
    owner_with(OwnerTiming { key_window: WINDOW, claims_for_ticks, ..OwnerTiming::default() }, false)
}

pub fn owner_with(timing: OwnerTiming, deduplicates: bool) -> FunctionOwner {
    let mut owner = FunctionOwner::new(ME, 1, timing);
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes(deduplicates) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[ME, OTHER]) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[ME]) });
    owner.step(ms(0), true, OwnerInput::Core { near: true });
    let slot = InstanceSlots { instance: "i".into(), address: "127.0.0.1:1".into(), ready: 1, busy: 0 };
    let slots = vec![slot].into();
    let table = OwnershipTable { function: "t/f".into(), membership: 2, slots, ..OwnershipTable::default() };
    owner.step(ms(1), true, OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table } });
    owner
}

pub fn ask(owner: &mut FunctionOwner, at: u64, task: u64, body: &[u8]) -> Vec<OwnerOutput> {
    ask_under(owner, at, task, "k-a", body)
}

pub fn ask_under(owner: &mut FunctionOwner, at: u64, task: u64, key: &str, body: &[u8]) -> Vec<OwnerOutput> {
    let head = RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let message = ForwardMessage::ForwardUncounted {
        task,
        function: "t/f".into(),
        binding: "t/f".into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: key.into(),
        head: wire::to_bytes(&head).into(),
        body: body.to_vec().into(),
    };
    owner.step(ms(at), true, OwnerInput::Forward { from: OTHER, message })
}

pub fn proposals(outputs: &[OwnerOutput]) -> Vec<(u64, Command)> {
    let proposed = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Propose { request_id, body } => Some((*request_id, wire::from_bytes(body)?)),
        _ => None,
    });
    proposed.collect()
}

pub fn claim_answered(
    owner: &mut FunctionOwner,
    at: u64,
    claim: u64,
    state: ClaimState,
    answer: &[u8],
) -> Vec<OwnerOutput> {
    let reply = CommandReply::Claim { state, answer: answer.to_vec().into() };
    let message = LeaseMessage::ProposalAck { request_id: claim, state: 1, body: wire::to_bytes(&reply).into() };
    owner.step(ms(at), true, OwnerInput::StoreOperation { message })
}

/// What callers were told: task, outcome, status, time to come back, body.
pub fn told(outputs: &[OwnerOutput]) -> Vec<(u64, Outcome, u16, u32, Vec<u8>)> {
    let told = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Forward {
            message: ForwardMessage::Answer { task, outcome, status, retry_after_ms, body, .. },
            ..
        } => Some((*task, *outcome, *status, *retry_after_ms, body.as_slice().to_vec())),
        _ => None,
    });
    told.collect()
}

pub fn sent(outputs: &[OwnerOutput]) -> Vec<u64> {
    let sent = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    });
    sent.collect()
}

/// The first under the key is claimed, granted and sent; returns the number of its dispatch.
pub fn first_is_sent(owner: &mut FunctionOwner) -> u64 {
    let claims = proposals(&ask(owner, 2, 7, b"x"));
    let [(claim, _)] = claims[..] else { panic!("one claim: {claims:?}") };
    let dispatches = sent(&claim_answered(owner, 10, claim, ClaimState::Granted, b""));
    let [dispatch] = dispatches[..] else { panic!("one dispatch: {dispatches:?}") };
    dispatch
}

pub fn complete(owner: &mut FunctionOwner, at: u64, number: u64) -> Vec<OwnerOutput> {
    let outcome =
        DispatchOutcome::Complete { status: 201, head: Vec::new(), body: b"sword".to_vec(), turned_away: false };
    owner.step(ms(at), true, OwnerInput::Dispatched { number, outcome })
}
