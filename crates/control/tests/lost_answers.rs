//! Replies to operators when an answer that the registry waits for comes late, or belongs to an earlier request.

mod cluster;

use chain::{ChainReplica, StoredReplica, Timing};
use cluster::{change, read_configuration};
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

/// Returns registry 3 as started with a view on its disk.
fn registry(chain: &[NodeId]) -> Core {
    let mut stored = StoredReplica::default();
    stored.meta.view = view(1, chain);
    let replica = ChainReplica::new(node(3), stored, Timing::default(), control::apply, Duration::ZERO);
    Core::new(replica, CoreTiming::default(), 100)
}

fn proposed(outputs: &[CoreOutput]) -> Option<(NodeId, ProposalId)> {
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

fn not_appended(from: NodeId, op: ProposalId) -> CoreInput {
    CoreInput::Chain { from, message: ChainMessage::ProposalReply { op, appended: 0, reply: Vec::new().into() } }
}

#[test]
fn a_change_proposed_before_a_view_change_is_never_reported_as_not_run() {
    let now = Duration::from_millis(10);
    let mut core = registry(&[1, 2, 3]);
    let (head, first) = proposed(&core.step(now, CoreInput::Call { request_id: 1, call: change("a", 0) }))
        .expect("the change is proposed");
    assert_eq!(head, 1);
    let decided = ChainMessage::Decided { view: view(2, &[2, 3]) };
    let (head, second) = proposed(&core.step(now, CoreInput::Chain { from: 2, message: decided }))
        .expect("the change is proposed again");
    assert_eq!(head, 2);
    assert!(replied(&core.step(now, not_appended(1, first))).is_none(), "the outcome of the first proposal is ignored");
    let outputs = core.step(now, not_appended(2, second));
    let reply = replied(&outputs).expect("the change is answered");
    assert_eq!(reply.status, 504, "the first proposal may be in the log: {}", reply.body);
}

#[test]
fn a_change_proposed_once_and_not_appended_is_reported_as_not_run() {
    let now = Duration::from_millis(10);
    let mut core = registry(&[1, 2, 3]);
    let (_, op) = proposed(&core.step(now, CoreInput::Call { request_id: 1, call: change("a", 0) }))
        .expect("the change is proposed");
    let outputs = core.step(now, not_appended(1, op));
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
fn a_restarted_read_ignores_late_pages_of_its_first_attempt() {
    let mut now = Duration::from_millis(10);
    let mut core = registry(&[3, 2, 1]);
    let first = page_request_id(&core.step(now, CoreInput::Call { request_id: 1, call: read_configuration() }))
        .expect("the first page is requested");
    let second = page_request_id(&core.step(now, page(first, "function-bindings/t/a", "function-bindings/t/b")));
    let second = second.expect("the next page is requested");
    now += Duration::from_millis(450);
    let again = page_request_id(&core.step(now, CoreInput::Tick)).expect("the read is restarted");
    let outputs = core.step(now, page(second, "function-bindings/t/b", ""));
    assert!(replied(&outputs).is_none(), "the last page alone is not the whole configuration");
    let last = page_request_id(&core.step(now, page(again, "function-bindings/t/a", "function-bindings/t/b")))
        .expect("the next page is requested");
    let outputs = core.step(now, page(last, "function-bindings/t/b", ""));
    let reply = replied(&outputs).expect("all pages have arrived");
    assert!(reply.status == 200 && reply.body.contains("\"t/a\"") && reply.body.contains("\"t/b\""), "{}", reply.body);
}
