//! An owner of one deferred function, the tasks sent to it, and the store as it reads it.

use super::{ME, OTHER, membership, ms};
use leases::Membership;
use std::rc::Rc;
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerTiming};
use wire::{
    ConfigurationItem, ForwardMessage, InstanceSlots, LeaseMessage, OwnershipTable, RequestHead, StoredRequest,
};

pub const FUNCTION: &str = "t/f";

/// One that waits for the table of the owner before.
pub fn owner() -> FunctionOwner {
    home_of(ME, 1)
}

pub fn home_of(id: u64, roster_number: u64) -> FunctionOwner {
    router(id, membership(roster_number, &[id]))
}

/// A router that begins with this membership, owner or not.
pub fn router(id: u64, first: Rc<Membership>) -> FunctionOwner {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"deferred"}"#;
    let routes = bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    let mut owner = FunctionOwner::new(id, 1, OwnerTiming::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: Rc::new(routes) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: first });
    owner.step(ms(0), true, OwnerInput::Core { near: true });
    owner
}

fn head() -> Vec<u8> {
    wire::to_bytes(&RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() })
}

pub fn forward(number: u64) -> OwnerInput {
    let message = ForwardMessage::ForwardUncounted {
        task: number,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        remaining_ms: 60_000,
        resends: 0,
        respond_async: 1,
        key: format!("k-{number}").as_str().into(),
        head: head().into(),
        body: Vec::new().into(),
    };
    OwnerInput::Forward { from: OTHER, message }
}

pub fn granted(outputs: &[OwnerOutput]) -> OwnerInput {
    let request_id = outputs.iter().find_map(|output| match output {
        OwnerOutput::Propose { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let receipt = wire::CommandReply::Stored { state: wire::ClaimState::Granted, answer: Vec::new().into() };
    let body = wire::to_bytes(&receipt).into();
    OwnerInput::StoreOperation {
        message: LeaseMessage::ProposalAck { request_id: request_id.expect("asked to store"), state: 1, body },
    }
}

/// A table with one instance that is ready.
pub fn table(roster_number: u64) -> OwnershipTable {
    let slots = vec![InstanceSlots { instance: "i1".into(), address: "127.0.0.1:9".into(), ready: 1, busy: 0 }].into();
    OwnershipTable { function: FUNCTION.into(), membership: roster_number, slots, ..OwnershipTable::default() }
}

pub fn handed() -> OwnerInput {
    given(table(1))
}

pub fn given(table: OwnershipTable) -> OwnerInput {
    OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table } }
}

pub fn reported(outputs: &[OwnerOutput]) -> Option<OwnershipTable> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { message: ForwardMessage::OwnershipTable { table }, .. } => Some(table.clone()),
        _ => None,
    })
}

pub fn sent(outputs: &[OwnerOutput]) -> usize {
    outputs.iter().filter(|output| matches!(output, OwnerOutput::Dispatch(_))).count()
}

pub fn read(owner: &mut FunctionOwner, at: u64, numbers: &[u64]) -> Vec<OwnerOutput> {
    let mut outputs = owner.step(ms(at), true, OwnerInput::Tick);
    let request_id = asked(&outputs).expect("reads the store");
    outputs.extend(owner.step(ms(at + 1), true, listed(request_id, numbers)));
    outputs
}

/// The number under which an owner reads the store.
pub fn asked(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Read { request_id, .. } => Some(*request_id),
        _ => None,
    })
}

/// The store's answer: these are pending.
pub fn listed(request_id: u64, numbers: &[u64]) -> OwnerInput {
    let is_standby_copy = StoredRequest { binding: FUNCTION.into(), head: head().into(), body: Vec::new().into() };
    let item = |number: &u64| ConfigurationItem {
        key: format!("p/{FUNCTION}/{}", stored(*number)).as_str().into(),
        value: wire::to_bytes(&is_standby_copy).into(),
        is_removed: 0,
    };
    let items: Vec<ConfigurationItem> = numbers.iter().map(item).collect();
    OwnerInput::StoreOperation { message: LeaseMessage::ReadReply { request_id, state: 1, items: items.into() } }
}

pub fn stored(number: u64) -> String {
    traffic::stored_id(&format!("{FUNCTION}/k-{number}"))
}
