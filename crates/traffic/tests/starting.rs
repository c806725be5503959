//! Instance starts: each has one nonce until its outcome is known, so that no start creates two instances.

mod common;

use common::provider::{FUNCTION, OwnerWithProvider, line, six_workers};
use common::{ME, OTHER, membership};
use instance_provider::{InstanceState, StartReply, StopReply};
use traffic::{DispatchOrder, DispatchOutcome, OwnerInput, OwnerOutput};
use wire::{ForwardMessage, RequestHead};

fn owner_with_accepted_start() -> OwnerWithProvider {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.accepted(&nonce, "i1");
    owner
}

#[test]
fn the_minimum_number_of_instances_is_started_at_once_at_a_limited_rate() {
    let mut owner = OwnerWithProvider::new(30, six_workers());
    owner.pass(100);
    let first = owner.starts.len();
    assert!((4..=12).contains(&first), "{first}");
    owner.pass(1000);
    assert_eq!(owner.starts.len(), 30, "a single owner may order 64 starts per second");
}

#[test]
fn an_unanswered_start_is_ordered_again_under_its_nonce_on_its_worker() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let first = owner.starts[0].clone();
    for orders in 1..5 {
        owner.started(&first.nonce, StartReply::Unanswered);
        owner.pass(1700);
        assert_eq!(owner.starts.len(), orders + 1);
    }
    assert!(owner.starts.iter().all(|order| *order == first), "{:?}", owner.starts);
    owner.accepted(&first.nonce, "i1");
    owner.pass(500);
    assert_eq!((owner.starts.len(), owner.count("starting")), (5, 1));
}

#[test]
fn a_start_without_a_reply_is_matched_with_the_instance_in_the_list() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.started(&nonce, StartReply::Unanswered);
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!((owner.count("ready"), owner.count("starting")), (1, 1));
    owner.pass(100);
    owner.accepted(&nonce, "i1");
    owner.pass(300);
    assert_eq!((owner.count("ready"), owner.count("starting"), owner.stops.len()), (1, 0, 0));
}

#[test]
fn after_many_unanswered_orders_the_list_decides() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    while owner.starts.last().is_some_and(|order| order.nonce == nonce) && owner.at < 20_000 {
        owner.started(&nonce, StartReply::Unanswered);
        owner.pass(1700);
    }
    assert_eq!(owner.starts.len(), 7, "six orders under the first nonce");
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    owner.accepted(&owner.starts[6].nonce.clone(), "i2");
    owner.probed("i2", true);
    assert_eq!(owner.count("ready"), 2, "the instance of the first start is adopted");
}

#[test]
fn a_start_refused_for_too_many_calls_is_ordered_again_under_the_same_nonce() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.started(&nonce, StartReply::RateLimited);
    owner.pass(200);
    assert_eq!(owner.starts.len(), 1);
    owner.pass(200);
    assert_eq!((owner.starts.len(), &owner.starts[1].nonce), (2, &nonce));
}

#[test]
fn a_new_instance_is_probed_and_the_list_decides_if_the_probe_fails() {
    let mut owner = owner_with_accepted_start();
    assert_eq!(owner.probes.len(), 1);
    assert!(owner.probes[0].1 <= std::time::Duration::from_millis(450));
    owner.probed("i1", false);
    assert_eq!((owner.count("starting"), owner.count("ready")), (1, 0), "the list decides");
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!(owner.count("ready"), 1);
}

fn forward_message(number: u64) -> ForwardMessage {
    let head = RequestHead { method: "GET".into(), target: "/t/f".into(), headers: Vec::new().into() };
    ForwardMessage::ForwardUncounted {
        task: number,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: "".into(),
        head: wire::to_bytes(&head).into(),
        body: Vec::new().into(),
    }
}

fn last_dispatch(owner: &OwnerWithProvider) -> Option<&DispatchOrder> {
    owner.others.iter().rev().find_map(|output| match output {
        OwnerOutput::Dispatch(order) => Some(order),
        _ => None,
    })
}

#[test]
fn an_instance_that_refused_a_connection_is_used_again_only_after_a_successful_probe() {
    let mut owner = owner_with_accepted_start();
    owner.probed("i1", true);
    owner.feed(OwnerInput::Forward { from: OTHER, message: forward_message(1) });
    let number = last_dispatch(&owner).expect("a dispatch").number;
    owner.feed(OwnerInput::Dispatched { number, outcome: DispatchOutcome::Unreachable });
    owner.list(vec![line("i1", "w0", InstanceState::Running)]);
    owner.pass(100);
    assert_eq!((owner.count("ready"), owner.count("starting"), owner.starts.len()), (0, 1, 2));
    assert_eq!(owner.probes.last().map(|(id, _)| id.as_str()), Some("i1"));
    owner.probed("i1", true);
    assert_eq!(owner.count("ready"), 1);
}

#[test]
fn an_instance_that_refused_a_connection_is_stopped_only_if_it_stays_listed() {
    for listed in [true, false] {
        let mut owner = owner_with_accepted_start();
        owner.probed("i1", true);
        owner.list(vec![line("i1", "w0", InstanceState::Running)]);
        owner.feed(OwnerInput::Forward { from: OTHER, message: forward_message(1) });
        let number = last_dispatch(&owner).expect("a dispatch").number;
        owner.feed(OwnerInput::Dispatched { number, outcome: DispatchOutcome::Unreachable });
        for _ in 0..6 {
            owner.pass(1000);
            owner.list(if listed { vec![line("i1", "w0", InstanceState::Running)] } else { Vec::new() });
        }
        assert_eq!(owner.stops.iter().filter(|id| *id == "i1").count(), usize::from(listed));
    }
}

#[test]
fn a_stop_without_effect_is_ordered_again() {
    let mut owner = owner_with_accepted_start();
    owner.probed("i1", true);
    owner.list(vec![line("i1", "w0", InstanceState::Leaving)]);
    owner.pass(100);
    for (times, reply) in [(1, StopReply::RateLimited), (2, StopReply::Unanswered), (3, StopReply::Unknown)] {
        assert_eq!(owner.stops.len(), times);
        owner.stopped("i1", reply);
        owner.pass(1000);
    }
    owner.pass(6000);
    assert_eq!((owner.stops.len(), owner.count("draining")), (3, 0));
}

#[test]
fn a_pending_start_is_handed_over_to_the_next_owner_under_its_nonce() {
    let mut owner = OwnerWithProvider::new(1, six_workers());
    owner.pass(100);
    let nonce = owner.starts[0].nonce.clone();
    owner.feed(OwnerInput::Membership { membership: membership(8, &[OTHER]) });
    let table = owner.others.iter().find_map(|output| match output {
        OwnerOutput::Forward { message: ForwardMessage::OwnershipTable { table }, .. }
            if table.is_standby_copy == 0 =>
        {
            Some(table.clone())
        }
        _ => None,
    });
    let mut next = OwnerWithProvider::with_member(OTHER, 1, six_workers());
    next.feed(OwnerInput::Membership { membership: membership(8, &[ME]) });
    next.feed(OwnerInput::Forward {
        from: OTHER,
        message: ForwardMessage::OwnershipTable { table: table.expect("a table") },
    });
    next.pass(300);
    let nonces: Vec<&str> = next.starts.iter().map(|order| order.nonce.as_str()).collect();
    assert_eq!(nonces, [nonce.as_str()]);
}
