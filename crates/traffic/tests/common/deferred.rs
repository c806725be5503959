//! A home of one deferred function, the tasks sent to it, and the store as it reads it.

use super::{ME, OTHER, ms, roster};
use leases::Roster;
use std::rc::Rc;
use traffic::{Home, HomeInput, HomeOutput, HomeTiming};
use wire::{ForwardMessage, HomeTable, ItemLine, LeaseMessage, RequestHead, SlotLine, StoredTask};

pub const FUNCTION: &str = "t/f";

/// One that waits for the table of the home before.
pub fn home() -> Home {
    home_of(ME, 1)
}

pub fn home_of(id: u64, roster_number: u64) -> Home {
    router(id, roster(roster_number, &[id]))
}

/// A router that begins with this roster, home or not.
pub fn router(id: u64, first: Rc<Roster>) -> Home {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"deferred"}"#;
    let routes = bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    let mut home = Home::new(id, 1, HomeTiming::default());
    home.step(ms(0), true, HomeInput::RouteTable { routes: Rc::new(routes) });
    home.step(ms(0), true, HomeInput::Roster { roster: first });
    home.step(ms(0), true, HomeInput::Core { near: true });
    home
}

fn head() -> Vec<u8> {
    wire::to_bytes(&RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() })
}

pub fn forward(number: u64) -> HomeInput {
    let message = ForwardMessage::ForwardUncounted {
        task: number,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        left_ms: 60_000,
        tries: 0,
        respond_async: 1,
        key: format!("k-{number}").as_str().into(),
        head: head().into(),
        body: Vec::new().into(),
    };
    HomeInput::Forward { from: OTHER, message }
}

pub fn granted(outputs: &[HomeOutput]) -> HomeInput {
    let ask = outputs.iter().find_map(|output| match output {
        HomeOutput::Propose { ask, .. } => Some(*ask),
        _ => None,
    });
    let receipt = wire::Receipt::Stored { state: wire::ClaimState::Granted, answer: Vec::new().into() };
    let body = wire::to_bytes(&receipt).into();
    HomeInput::Ledger { message: LeaseMessage::ProposalAck { ask: ask.expect("asked to store"), state: 1, body } }
}

/// A table with one instance that is ready.
pub fn table(roster_number: u64) -> HomeTable {
    let slots = vec![SlotLine { instance: "i1".into(), address: "127.0.0.1:9".into(), ready: 1, busy: 0 }].into();
    HomeTable { function: FUNCTION.into(), roster: roster_number, slots, ..HomeTable::default() }
}

pub fn handed() -> HomeInput {
    given(table(1))
}

pub fn given(table: HomeTable) -> HomeInput {
    HomeInput::Forward { from: OTHER, message: ForwardMessage::Table { table } }
}

pub fn told(outputs: &[HomeOutput]) -> Option<HomeTable> {
    outputs.iter().find_map(|output| match output {
        HomeOutput::Forward { message: ForwardMessage::Table { table }, .. } => Some(table.clone()),
        _ => None,
    })
}

pub fn sent(outputs: &[HomeOutput]) -> usize {
    outputs.iter().filter(|output| matches!(output, HomeOutput::Dispatch(_))).count()
}

pub fn read(home: &mut Home, at: u64, numbers: &[u64]) -> Vec<HomeOutput> {
    let mut outputs = home.step(ms(at), true, HomeInput::Tick);
    let ask = asked(&outputs).expect("reads the store");
    outputs.extend(home.step(ms(at + 1), true, listed(ask, numbers)));
    outputs
}

/// The number under which a home reads the store.
pub fn asked(outputs: &[HomeOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        HomeOutput::Read { ask, .. } => Some(*ask),
        _ => None,
    })
}

/// The store's answer: these are pending.
pub fn listed(ask: u64, numbers: &[u64]) -> HomeInput {
    let kept = StoredTask { binding: FUNCTION.into(), head: head().into(), body: Vec::new().into() };
    let item = |number: &u64| ItemLine {
        key: format!("p/{FUNCTION}/{}", stored(*number)).as_str().into(),
        value: wire::to_bytes(&kept).into(),
        gone: 0,
    };
    let items: Vec<ItemLine> = numbers.iter().map(item).collect();
    HomeInput::Ledger { message: LeaseMessage::ReadReply { ask, state: 1, items: items.into() } }
}

pub fn stored(number: u64) -> String {
    traffic::stored_id(&format!("{FUNCTION}/k-{number}"))
}
