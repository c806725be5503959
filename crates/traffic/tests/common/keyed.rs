//! An owner of a run-once function with one instance, and its answers and proposals.

use super::{ME, OTHER, membership, ms};
use bindings::RouteTable;
use std::rc::Rc;
use std::time::Duration;
use traffic::{DispatchOutcome, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
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

/// Returns an owner with one instance.
pub fn owner(claims_for_ticks: bool) -> FunctionOwner {
    owner_with(OwnerSettings { key_window: WINDOW, claims_for_ticks, ..OwnerSettings::default() }, false)
}

pub fn owner_with(settings: OwnerSettings, deduplicates: bool) -> FunctionOwner {
    let mut owner = FunctionOwner::new(ME, 1, settings);
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes(deduplicates) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[ME, OTHER]) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(2, &[ME]) });
    owner.step(ms(0), true, OwnerInput::RegistriesReachable { reachable: true });
    let slot = InstanceSlots { instance: "i".into(), address: "127.0.0.1:1".into(), ready: 1, busy: 0 };
    let slots = vec![slot].into();
    let table = OwnershipTable { function: "t/f".into(), membership: 2, slots, ..OwnershipTable::default() };
    owner.step(ms(1), true, OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table } });
    owner
}

/// Sends a request under the key `k-a`.
pub fn send_request(owner: &mut FunctionOwner, at: u64, task: u64, body: &[u8]) -> Vec<OwnerOutput> {
    send_request_with_key(owner, at, task, "k-a", body)
}

/// Sends a request under the given key.
pub fn send_request_with_key(
    owner: &mut FunctionOwner,
    at: u64,
    task: u64,
    key: &str,
    body: &[u8],
) -> Vec<OwnerOutput> {
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

/// Returns the proposed commands and their request ids.
pub fn proposals(outputs: &[OwnerOutput]) -> Vec<(u64, Command)> {
    let proposals = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Propose { request_id, body } => Some((*request_id, wire::from_bytes(body)?)),
        _ => None,
    });
    proposals.collect()
}

/// Replies to a claim.
pub fn reply_to_claim(
    owner: &mut FunctionOwner,
    at: u64,
    claim: u64,
    state: ClaimState,
    answer: &[u8],
) -> Vec<OwnerOutput> {
    let reply = CommandReply::Claim { state, answer: answer.to_vec().into() };
    let message = LeaseMessage::ProposalAck { request_id: claim, state: 1, body: wire::to_bytes(&reply).into() };
    owner.step(ms(at), true, OwnerInput::StoreReply { message })
}

/// Returns the answers to callers: request, outcome, status, retry delay in milliseconds, body.
pub fn answers(outputs: &[OwnerOutput]) -> Vec<(u64, Outcome, u16, u32, Vec<u8>)> {
    let answers = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Forward {
            message: ForwardMessage::Answer { task, outcome, status, retry_after_ms, body, .. },
            ..
        } => Some((*task, *outcome, *status, *retry_after_ms, body.as_slice().to_vec())),
        _ => None,
    });
    answers.collect()
}

/// Returns the dispatch numbers.
pub fn dispatch_numbers(outputs: &[OwnerOutput]) -> Vec<u64> {
    let numbers = outputs.iter().filter_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order.number),
        _ => None,
    });
    numbers.collect()
}

/// Sends the first request under the key, grants its claim, and returns its dispatch number.
pub fn dispatch_first_request(owner: &mut FunctionOwner) -> u64 {
    let claims = proposals(&send_request(owner, 2, 7, b"x"));
    let [(claim, _)] = claims[..] else { panic!("one claim: {claims:?}") };
    let dispatches = dispatch_numbers(&reply_to_claim(owner, 10, claim, ClaimState::Granted, b""));
    let [dispatch] = dispatches[..] else { panic!("one dispatch: {dispatches:?}") };
    dispatch
}

/// Reports the answer of a dispatch.
pub fn report_answer(owner: &mut FunctionOwner, at: u64, number: u64) -> Vec<OwnerOutput> {
    let outcome =
        DispatchOutcome::Complete { status: 201, head: Vec::new(), body: b"sword".to_vec().into(), turned_away: false };
    owner.step(ms(at), true, OwnerInput::Dispatched { number, outcome })
}
