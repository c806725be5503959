//! Standby copies that others keep for an owner, and what a front does when its owner falls silent.

mod common;

use common::{ME, OTHER, forward, front, membership, ms, reply, routes, send_request};
use traffic::{FrontInput, FrontOutput, FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, InstanceSlots, Outcome, OwnershipTable, RequestHead};

const FUNCTION: &str = "t/f";

fn table(membership: u64, is_standby_copy: u8, instance: &str) -> ForwardMessage {
    let slot = InstanceSlots { instance: instance.into(), address: "127.0.0.1:9".into(), ready: 1, busy: 0 };
    let slots = vec![slot].into();
    ForwardMessage::OwnershipTable {
        table: OwnershipTable {
            function: FUNCTION.into(),
            membership,
            is_standby_copy,
            slots,
            ..OwnershipTable::default()
        },
    }
}

fn forward_message(number: u64) -> ForwardMessage {
    let head = RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() };
    ForwardMessage::ForwardUncounted {
        task: number,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "a".into(),
        head: wire::to_bytes(&head).into(),
        body: Vec::new().into(),
    }
}

/// Returns settings with expensive starts, so that instances without requests are kept: these tests check what an owner
/// knows, not which instances are worth their memory.
fn expensive_starts() -> OwnerSettings {
    OwnerSettings { start_gb_seconds: 100.0, ..OwnerSettings::default() }
}

/// Returns the new owner after the other one crashed, with or without a standby copy.
fn after_the_crash(is_standby_copy: Option<ForwardMessage>) -> FunctionOwner {
    let mut owner = FunctionOwner::new(ME, 1, expensive_starts());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: routes() });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[OTHER]) });
    if let Some(message) = is_standby_copy {
        owner.step(ms(10), true, OwnerInput::Forward { from: OTHER, message });
    }
    owner.step(ms(2000), true, OwnerInput::Membership { membership: membership(2, &[ME]) });
    owner
}

fn dispatched(outputs: &[OwnerOutput]) -> bool {
    outputs.iter().any(|output| matches!(output, OwnerOutput::Dispatch(_)))
}

#[test]
fn the_next_owner_starts_at_once_from_its_standby_copy() {
    let mut owner = after_the_crash(Some(table(1, 1, "i1")));
    assert!(dispatched(&owner.step(ms(2001), true, OwnerInput::Forward { from: OTHER, message: forward_message(7) })));
    let mut without_copy = after_the_crash(None);
    assert!(!dispatched(&without_copy.step(
        ms(2001),
        true,
        OwnerInput::Forward { from: OTHER, message: forward_message(7) }
    )));
}

#[test]
fn a_table_of_a_former_owner_is_refused_by_its_membership_number() {
    let mut owner = after_the_crash(Some(table(1, 1, "i1")));
    let ready = |owner: &mut FunctionOwner| owner.status()["functions"][FUNCTION]["ready"].as_u64();
    assert_eq!(ready(&mut owner), Some(1));
    owner.step(ms(2100), true, OwnerInput::Forward { from: OTHER, message: table(1, 0, "i2") });
    assert_eq!(ready(&mut owner), Some(1), "handed over under the previous membership");
    owner.step(ms(2200), true, OwnerInput::Forward { from: OTHER, message: table(2, 0, "i3") });
    assert_eq!(ready(&mut owner), Some(2), "handed over under the current membership");
}

#[test]
fn a_router_that_returns_is_sent_its_standby_copy() {
    let mut standby = FunctionOwner::new(ME, 1, OwnerSettings::default());
    standby.step(ms(0), true, OwnerInput::RouteTable { routes: routes() });
    standby.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[OTHER]) });
    standby.step(ms(10), true, OwnerInput::Forward { from: OTHER, message: table(1, 1, "i1") });
    let mut returned = (*membership(2, &[OTHER])).clone();
    let mut members = returned.members.into_vec();
    members[0].incarnation = 2;
    returned.members = members.into();
    let outputs = standby.step(ms(500), true, OwnerInput::Membership { membership: returned.into() });
    let handed = outputs.iter().any(|output| {
        matches!(output, OwnerOutput::Forward { to: OTHER, message: ForwardMessage::OwnershipTable { table } }
            if table.is_standby_copy == 0 && table.membership == 2 && table.slots.as_slice().len() == 1)
    });
    assert!(handed, "{outputs:?}");
}

#[test]
fn requests_that_were_not_dispatched_return_to_their_front_when_the_lease_lapses() {
    let mut owner = after_the_crash(None);
    owner.step(ms(2001), true, OwnerInput::Forward { from: OTHER, message: forward_message(7) });
    let outputs = owner.step(ms(2002), false, OwnerInput::MembershipLost);
    let back = |output: &OwnerOutput| {
        matches!(output, OwnerOutput::Forward { message: ForwardMessage::NotOwner { task: 7 }, .. })
    };
    assert!(outputs.iter().any(back), "{outputs:?}");
}

fn only_requests_heartbeat(outputs: &[FrontOutput], owner: u64) -> bool {
    matches!(outputs, [FrontOutput::Forward { to, message: ForwardMessage::HeartbeatRequest }] if *to == owner)
}

#[test]
fn a_silent_owner_is_forwarded_nothing_and_waiting_requests_are_answered_as_not_run() {
    let mut front = front(1, OTHER);
    front.step(ms(100), true, FrontInput::Message { from: OTHER, message: ForwardMessage::Heartbeat });
    forward(&send_request(&mut front, 200, true, "/t/f"));
    assert!(
        only_requests_heartbeat(&send_request(&mut front, 600, true, "/t/f"), OTHER),
        "no heartbeat for half a second"
    );
    let moved = front.step(ms(2000), true, FrontInput::Membership { membership: membership(2, &[3]) });
    assert!(only_requests_heartbeat(&moved, 3), "the next owner is not linked yet");
    let reported = front.step(ms(4600), true, FrontInput::Tick);
    let outcomes: Vec<Outcome> = reported
        .iter()
        .filter_map(|output| match output {
            FrontOutput::Reply { reply, .. } => reply.outcome,
            _ => None,
        })
        .collect();
    assert_eq!(outcomes, [Outcome::Unknown, Outcome::NotRun], "only the forwarded request may have run");
    assert!(reply(&reported).is_some());
}

/// The claim of a run-once request is granted, but there is no instance yet when the lease lapses.
#[test]
fn a_request_whose_claim_is_being_released_is_never_dispatched() {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"once"}"#;
    let once = std::rc::Rc::new(bindings::RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter()));
    let mut owner = FunctionOwner::new(ME, 1, OwnerSettings::default());
    owner.step(ms(0), true, OwnerInput::RouteTable { routes: once });
    owner.step(ms(0), true, OwnerInput::Membership { membership: membership(1, &[ME]) });
    owner.step(ms(0), true, OwnerInput::RegistriesReachable { reachable: true });
    let outputs = owner.step(ms(1), true, OwnerInput::Forward { from: OTHER, message: forward_message(7) });
    let request_id = outputs.iter().find_map(|output| match output {
        OwnerOutput::Propose { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let granted = wire::CommandReply::Claim { state: wire::ClaimState::Granted, answer: Vec::new().into() };
    let body = wire::to_bytes(&granted).into();
    let message = wire::LeaseMessage::ProposalAck { request_id: request_id.expect("a claim"), state: 1, body };
    owner.step(ms(2), true, OwnerInput::StoreReply { message });
    owner.step(ms(3), false, OwnerInput::MembershipLost);
    let outputs = owner.step(ms(4), true, OwnerInput::Forward { from: OTHER, message: table(1, 0, "i1") });
    assert!(!dispatched(&outputs), "its key is being released");
}

#[test]
fn an_owner_whose_lease_lapsed_waits_for_the_table_of_the_owner_in_between() {
    let mut owner = after_the_crash(Some(table(1, 1, "i1")));
    owner.step(ms(3000), false, OwnerInput::MembershipLost);
    assert!(!dispatched(&owner.step(ms(3001), true, OwnerInput::Forward { from: OTHER, message: forward_message(7) })));
    let ForwardMessage::OwnershipTable { table: mut table_in_between } = table(2, 0, "i2") else { panic!("a table") };
    table_in_between.rejections = 9;
    let handed = ForwardMessage::OwnershipTable { table: table_in_between.clone() };
    assert!(
        !dispatched(&owner.step(ms(3002), true, OwnerInput::Forward { from: OTHER, message: handed })),
        "nine requests were rejected"
    );
    assert!(
        dispatched(&owner.step(ms(8100), true, OwnerInput::Tick))
            || dispatched(&owner.step(
                ms(8200),
                true,
                OwnerInput::Forward { from: OTHER, message: forward_message(9) }
            ))
    );
}

/// On a planned handover the next owner may start from its standby copy before the leaving owner's table arrives.
#[test]
fn rejections_that_a_later_table_adds_to_the_standby_copy_are_counted() {
    let mut owner = after_the_crash(Some(table(1, 1, "i1")));
    let ForwardMessage::OwnershipTable { table: mut whole } = table(2, 0, "i1") else { panic!("a table") };
    let rejections = |owner: &mut FunctionOwner| owner.status()["functions"][FUNCTION]["turned_away_5s"].as_u64();
    for (at, reported, wanted) in [(2100, 5, 5), (2300, 7, 7), (2500, 7, 7)] {
        whole.rejections = reported;
        owner.step(
            ms(at),
            true,
            OwnerInput::Forward { from: OTHER, message: ForwardMessage::OwnershipTable { table: whole.clone() } },
        );
        assert_eq!(rejections(&mut owner), Some(wanted), "at {at} ms");
    }
    assert!(!dispatched(&owner.step(ms(2600), true, OwnerInput::Forward { from: OTHER, message: forward_message(7) })));
}
