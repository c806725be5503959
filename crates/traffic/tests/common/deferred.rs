//! An owner of one deferred function, requests to it, and the store's replies.

use super::{ME, OTHER, membership, ms};
use leases::Membership;
use std::rc::Rc;
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{
    ConfigurationItem, ForwardMessage, InstanceSlots, LeaseMessage, OwnershipTable, RequestHead, StoredRequest,
};

pub const FUNCTION: &str = "t/f";

/// Returns an owner that waits for the earlier owner's table.
pub fn owner() -> FunctionOwner {
    owner_with_id(ME, 1)
}

pub fn owner_with_id(id: u64, membership_number: u64) -> FunctionOwner {
    router(id, membership(membership_number, &[id]))
}

/// Returns a router that starts with the given membership, which need not make it the owner.
pub fn router(id: u64, first: Rc<Membership>) -> FunctionOwner {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"deferred"}"#;
    let routes = bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    let mut owner = FunctionOwner::new(id, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: Rc::new(routes) });
    owner.step(ms(0), true, OwnerInput::Membership { membership: first });
    owner.step(ms(0), true, OwnerInput::RegistriesReachable { reachable: true });
    owner
}

fn head() -> Vec<u8> {
    wire::to_bytes(&RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() })
}

/// Forwards a deferred request with a key of its own.
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

/// Replies to the proposal among the outputs that the request is stored.
pub fn store_reply(outputs: &[OwnerOutput]) -> OwnerInput {
    let request_id = outputs.iter().find_map(|output| match output {
        OwnerOutput::Propose { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let receipt = wire::CommandReply::Stored { state: wire::ClaimState::Granted, answer: Vec::new().into() };
    let body = wire::to_bytes(&receipt).into();
    OwnerInput::StoreReply {
        message: LeaseMessage::ProposalAck {
            request_id: request_id.expect("a proposal to store the request"),
            state: 1,
            body,
        },
    }
}

/// Returns a table with one ready instance.
pub fn table(membership_number: u64) -> OwnershipTable {
    let slots = vec![InstanceSlots { instance: "i1".into(), address: "127.0.0.1:9".into(), ready: 1, busy: 0 }].into();
    OwnershipTable { function: FUNCTION.into(), membership: membership_number, slots, ..OwnershipTable::default() }
}

/// Hands over a table of the first membership.
pub fn handover() -> OwnerInput {
    table_message(table(1))
}

/// Sends a table from the other router.
pub fn table_message(table: OwnershipTable) -> OwnerInput {
    OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table } }
}

/// Returns the table among the outputs.
pub fn table_in(outputs: &[OwnerOutput]) -> Option<OwnershipTable> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Forward { message: ForwardMessage::OwnershipTable { table }, .. } => Some(table.clone()),
        _ => None,
    })
}

/// Returns the number of dispatches.
pub fn dispatch_count(outputs: &[OwnerOutput]) -> usize {
    outputs.iter().filter(|output| matches!(output, OwnerOutput::Dispatch(_))).count()
}

/// Lets the owner read the store, which lists the given requests as pending.
pub fn read_store(owner: &mut FunctionOwner, at: u64, numbers: &[u64]) -> Vec<OwnerOutput> {
    let mut outputs = owner.step(ms(at), true, OwnerInput::Tick);
    let request_id = store_read_id(&outputs).expect("a read of the store");
    outputs.extend(owner.step(ms(at + 1), true, store_list(request_id, numbers)));
    outputs
}

/// Returns the id of the owner's read of the store.
pub fn store_read_id(outputs: &[OwnerOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        OwnerOutput::Read { request_id, .. } => Some(*request_id),
        _ => None,
    })
}

/// Replies to a read of the store that the given requests are pending.
pub fn store_list(request_id: u64, numbers: &[u64]) -> OwnerInput {
    let is_standby_copy = StoredRequest { binding: FUNCTION.into(), head: head().into(), body: Vec::new().into() };
    let item = |number: &u64| ConfigurationItem {
        key: format!("p/{FUNCTION}/{}", stored_name(*number)).as_str().into(),
        value: wire::to_bytes(&is_standby_copy).into(),
        is_removed: 0,
    };
    let items: Vec<ConfigurationItem> = numbers.iter().map(item).collect();
    OwnerInput::StoreReply { message: LeaseMessage::ReadReply { request_id, state: 1, items: items.into() } }
}

/// Returns the name under which the request is stored.
pub fn stored_name(number: u64) -> String {
    traffic::stored_id(&format!("{FUNCTION}/k-{number}"))
}
