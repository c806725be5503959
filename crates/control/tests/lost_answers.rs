//! What a registry tells its operator when an answer it waited for comes late, or for an earlier ask.

mod cluster;

use chain::{ChainReplica, StoredReplica, Timing};
use cluster::{change, fetch};
use control::{ApiReply, Core, CoreInput, CoreOutput, CoreTiming};
use std::time::Duration;
use wire::{ChainMessage, ConfigurationItem, LeaseMessage, NodeAddress, NodeId, ProposalId, View};

fn node(id: NodeId) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

fn view(number: u64, chain: &[NodeId]) -> View {
    let voters: Vec<NodeAddress> = (1..=3).map(node).collect();
    View { number, chain: chain.to_vec().into(), voters: voters.into(), learner: 0, optimizer: chain[0] }
}

/// Registry 3 as it starts with a view on its disk.
fn registry(chain: &[NodeId]) -> Core {
    let mut stored = StoredReplica::default();
    stored.meta.view = view(1, chain);
    let member = ChainReplica::new(node(3), stored, Timing::default(), control::apply, Duration::ZERO);
    Core::new(member, CoreTiming::default(), 100)
}

fn appended(outputs: &[CoreOutput]) -> Option<(NodeId, ProposalId)> {
    outputs.iter().find_map(|output| match output {
        CoreOutput::Registry { to, message: ChainMessage::Propose { op, .. } } => Some((*to, *op)),
        _ => None,
    })
}

fn replied(outputs: &[CoreOutput]) -> Option<&ApiReply> {
    outputs.iter().find_map(|output| match output {
        CoreOutput::Reply { reply, .. } => Some(reply),
        _ => None,
    })
}

fn page_request_id(outputs: &[CoreOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        CoreOutput::Router { message: LeaseMessage::ConfigurationRequest { request_id, .. }, .. } => Some(*request_id),
        _ => None,
    })
}

fn not_entered(from: NodeId, op: ProposalId) -> CoreInput {
    CoreInput::Chain { from, message: ChainMessage::ProposalReply { op, appended: 0, reply: Vec::new().into() } }
}

#[test]
fn a_change_that_was_entered_before_a_view_change_is_never_called_not_run() {
    let now = Duration::from_millis(10);
    let mut core = registry(&[1, 2, 3]);
    let (head, first) =
        appended(&core.step(now, CoreInput::Call { request_id: 1, call: change("a", 0) })).expect("it is entered");
    assert_eq!(head, 1);
    let decided = ChainMessage::Decided { view: view(2, &[2, 3]) };
    let (head, second) =
        appended(&core.step(now, CoreInput::Chain { from: 2, message: decided })).expect("entered again");
    assert_eq!(head, 2);
    assert!(replied(&core.step(now, not_entered(1, first))).is_none(), "the earlier entry is waited for no longer");
    let outputs = core.step(now, not_entered(2, second));
    let reply = replied(&outputs).expect("it is answered");
    assert_eq!(reply.status, 504, "the first entry may have come into the log: {}", reply.body);
}

#[test]
fn a_change_that_was_entered_once_and_turned_down_is_not_run() {
    let now = Duration::from_millis(10);
    let mut core = registry(&[1, 2, 3]);
    let (_, op) =
        appended(&core.step(now, CoreInput::Call { request_id: 1, call: change("a", 0) })).expect("it is entered");
    let outputs = core.step(now, not_entered(1, op));
    assert_eq!(replied(&outputs).map(|reply| (reply.status, reply.retry_after)), Some((503, Some(1))));
}

fn page(request_id: u64, key: &str, next: &str) -> CoreInput {
    let items = vec![ConfigurationItem { key: key.into(), is_removed: 0, value: b"{}".to_vec().into() }];
    let quorum = Vec::new().into();
    let message = LeaseMessage::ConfigurationPage {
        request_id,
        epoch: 4,
        revision: 9,
        quorum,
        items: items.into(),
        next: next.into(),
    };
    CoreInput::Router { from: 1, incarnation: 0, message }
}

#[test]
fn a_read_that_was_started_anew_takes_no_late_page_of_its_first_try() {
    let mut now = Duration::from_millis(10);
    let mut core = registry(&[3, 2, 1]);
    let first =
        page_request_id(&core.step(now, CoreInput::Call { request_id: 1, call: fetch() })).expect("the tail is asked");
    let second = page_request_id(&core.step(now, page(first, "function-bindings/t/a", "function-bindings/t/b")));
    let second = second.expect("the next page is asked for");
    now += Duration::from_millis(450);
    let again = page_request_id(&core.step(now, CoreInput::Tick)).expect("it is begun anew");
    let outputs = core.step(now, page(second, "function-bindings/t/b", ""));
    assert!(replied(&outputs).is_none(), "the last page alone isn't the configuration");
    let last =
        page_request_id(&core.step(now, page(again, "function-bindings/t/a", "function-bindings/t/b"))).expect("asked");
    let outputs = core.step(now, page(last, "function-bindings/t/b", ""));
    let reply = replied(&outputs).expect("all pages are there");
    assert!(reply.status == 200 && reply.body.contains("\"t/a\"") && reply.body.contains("\"t/b\""), "{}", reply.body);
}
