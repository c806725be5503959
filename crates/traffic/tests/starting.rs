//! Wishes for instances: one nonce each, kept until the outcome is known, so that no wish makes two.

mod common;

use common::supplied::{FUNCTION, Supplied, line, six_workers};
use common::{ME, OTHER, membership};
use instance_provider::{InstanceState, StartReply, StopReply};
use traffic::{DispatchOrder, DispatchOutcome, HomeInput, HomeOutput};
use wire::{ForwardMessage, RequestHead};

fn accepted_one() -> Supplied {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    home.accepted(&nonce, "i1");
    home
}

#[test]
fn instances_to_be_kept_warm_are_started_at_once_and_paced() {
    let mut home = Supplied::new(30, six_workers());
    home.pass(100);
    let first = home.starts.len();
    assert!((4..=12).contains(&first), "{first}");
    home.pass(1000);
    assert_eq!(home.starts.len(), 30, "alone it may start 64 a second");
}

#[test]
fn an_unanswered_start_is_ordered_again_under_its_nonce_on_its_worker() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let first = home.starts[0].clone();
    for tries in 1..5 {
        home.started(&first.nonce, StartReply::Unanswered);
        home.pass(1700);
        assert_eq!(home.starts.len(), tries + 1);
    }
    assert!(home.starts.iter().all(|order| *order == first), "{:?}", home.starts);
    home.accepted(&first.nonce, "i1");
    home.pass(500);
    assert_eq!((home.starts.len(), home.count("starting")), (5, 1));
}

#[test]
fn a_start_that_took_effect_unanswered_is_one_with_what_the_list_shows() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    home.started(&nonce, StartReply::Unanswered);
    home.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!((home.count("ready"), home.count("starting")), (1, 1));
    home.pass(100);
    home.accepted(&nonce, "i1");
    home.pass(300);
    assert_eq!((home.count("ready"), home.count("starting"), home.stops.len()), (1, 0, 0));
}

#[test]
fn after_many_unanswered_tries_the_list_tells() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    while home.starts.last().is_some_and(|order| order.nonce == nonce) && home.at < 20_000 {
        home.started(&nonce, StartReply::Unanswered);
        home.pass(1700);
    }
    assert_eq!(home.starts.len(), 7, "six under the first nonce");
    home.list(vec![line("i1", "w0", InstanceState::Running)]);
    home.accepted(&home.starts[6].nonce.clone(), "i2");
    home.probed("i2", true);
    assert_eq!(home.count("ready"), 2, "what the first start made is adopted");
}

#[test]
fn too_many_calls_are_waited_out_under_the_same_nonce() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    home.started(&nonce, StartReply::Limited);
    home.pass(200);
    assert_eq!(home.starts.len(), 1);
    home.pass(200);
    assert_eq!((home.starts.len(), &home.starts[1].nonce), (2, &nonce));
}

#[test]
fn a_started_one_is_looked_at_and_serves_before_the_list_shows_it() {
    let mut home = accepted_one();
    assert_eq!(home.probes.len(), 1);
    assert!(home.probes[0].1 <= std::time::Duration::from_millis(450));
    home.probed("i1", false);
    assert_eq!((home.count("starting"), home.count("ready")), (1, 0), "then the list tells");
    home.list(vec![line("i1", "w0", InstanceState::Running)]);
    assert_eq!(home.count("ready"), 1);
}

fn task(number: u64) -> ForwardMessage {
    let head = RequestHead { method: "GET".into(), target: "/t/f".into(), headers: Vec::new().into() };
    ForwardMessage::ForwardUncounted {
        task: number,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        left_ms: 4000,
        tries: 0,
        respond_async: 0,
        key: "".into(),
        head: wire::to_bytes(&head).into(),
        body: Vec::new().into(),
    }
}

fn last_dispatch(home: &Supplied) -> Option<&DispatchOrder> {
    home.others.iter().rev().find_map(|output| match output {
        HomeOutput::Dispatch(order) => Some(order),
        _ => None,
    })
}

#[test]
fn one_that_refuses_a_connection_is_not_taken_back_unless_it_takes_one_again() {
    let mut home = accepted_one();
    home.probed("i1", true);
    home.feed(HomeInput::Forward { from: OTHER, message: task(1) });
    let number = last_dispatch(&home).expect("a dispatch").number;
    home.feed(HomeInput::Dispatched { number, outcome: DispatchOutcome::NotSent });
    home.list(vec![line("i1", "w0", InstanceState::Running)]);
    home.pass(100);
    assert_eq!((home.count("ready"), home.count("starting"), home.starts.len()), (0, 1, 2));
    assert_eq!(home.probes.last().map(|(id, _)| id.as_str()), Some("i1"));
    home.probed("i1", true);
    assert_eq!(home.count("ready"), 1);
}

#[test]
fn one_that_refused_is_stopped_if_it_stays_listed_and_forgotten_if_not() {
    for listed in [true, false] {
        let mut home = accepted_one();
        home.probed("i1", true);
        home.list(vec![line("i1", "w0", InstanceState::Running)]);
        home.feed(HomeInput::Forward { from: OTHER, message: task(1) });
        let number = last_dispatch(&home).expect("a dispatch").number;
        home.feed(HomeInput::Dispatched { number, outcome: DispatchOutcome::NotSent });
        for _ in 0..6 {
            home.pass(1000);
            home.list(if listed { vec![line("i1", "w0", InstanceState::Running)] } else { Vec::new() });
        }
        assert_eq!(home.stops.iter().filter(|id| *id == "i1").count(), usize::from(listed));
    }
}

#[test]
fn a_stop_that_was_not_taken_is_ordered_again() {
    let mut home = accepted_one();
    home.probed("i1", true);
    home.list(vec![line("i1", "w0", InstanceState::Leaving)]);
    home.pass(100);
    for (times, receipt) in [(1, StopReply::Limited), (2, StopReply::Unanswered), (3, StopReply::Unknown)] {
        assert_eq!(home.stops.len(), times);
        home.stopped("i1", receipt);
        home.pass(1000);
    }
    home.pass(6000);
    assert_eq!((home.stops.len(), home.count("draining")), (3, 0));
}

#[test]
fn a_pending_wish_goes_over_to_the_next_home_under_its_nonce() {
    let mut home = Supplied::new(1, six_workers());
    home.pass(100);
    let nonce = home.starts[0].nonce.clone();
    home.feed(HomeInput::Membership { membership: membership(8, &[OTHER]) });
    let table = home.others.iter().find_map(|output| match output {
        HomeOutput::Forward { message: ForwardMessage::Table { table }, .. } if table.kept == 0 => Some(table.clone()),
        _ => None,
    });
    let mut next = Supplied::beside(OTHER, 1, six_workers());
    next.feed(HomeInput::Membership { membership: membership(8, &[ME]) });
    next.feed(HomeInput::Forward { from: OTHER, message: ForwardMessage::Table { table: table.expect("a table") } });
    next.pass(300);
    let nonces: Vec<&str> = next.starts.iter().map(|order| order.nonce.as_str()).collect();
    assert_eq!(nonces, [nonce.as_str()]);
}
