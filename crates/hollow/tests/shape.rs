//! What does and does not grow with nodes, counted exactly: one hollow node for two seconds of its own
//! time, answered by a tail at once.

use bindings::RouteTable;
use hollow::{Node, NodeInput, NodeOutput, Workload};
use leases::{Member, Membership};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use wire::{ForwardMessage, LeaseMessage, Message, NodeId, PlanMessage};

const TAIL: NodeId = 2;
const ME: NodeId = 11;
const SEED: &str = "10.9.9.9:1";
const TICK: Duration = Duration::from_millis(10);

fn membership(members: u64) -> Membership {
    let line = |n: u64| Member {
        id: ME + n,
        incarnation: 1,
        address: format!("10.0.0.1:{n}").as_str().into(),
        zone: ["a", "b", "c"][(n % 3) as usize].into(),
        ops: "".into(),
        leaving: 0,
        hashing: leases::HASHING,
        capacity: wire::Capacity::default(),
    };
    Membership { number: 1, members: (0..members).map(line).collect::<Vec<_>>().into() }
}

/// Messages the node sends in two seconds among so many members, by kind.
fn sent(members: u64, awake: usize) -> BTreeMap<&'static str, usize> {
    let workload = Workload { functions: 40, awake, instances: awake * 2 };
    let pairs = workload.pairs();
    let membership = membership(members);
    let mine: Vec<&(String, Vec<u8>)> = pairs.iter().take(20).collect();
    let routes = RouteTable::build(1, 1, mine.iter().map(|(key, value)| (key.as_str(), value.as_slice())));
    let mut node = Node::new(ME, 1, "10.0.0.1:0", "a", &[SEED.to_owned()]);
    let mut now = TICK;
    node.step(now, NodeInput::Up { id: TAIL, address: SEED.into() });
    let step = wire::ConfigurationEpoch { number: 1, revision: 1, quorum: Vec::new().into(), items: Vec::new().into() };
    let body = wire::to_bytes(&membership).into();
    for message in [
        LeaseMessage::Stage { step },
        LeaseMessage::Activate { number: 1 },
        LeaseMessage::Membership { number: 1, body },
    ] {
        node.step(now, NodeInput::Frame { from: TAIL, message: Message::Lease(message) });
    }
    node.step(now, NodeInput::Assigned { membership: Rc::new(membership), routes: Rc::new(routes) });
    let mut counts = BTreeMap::new();
    for tick in 0..400 {
        now += TICK;
        let outputs = node.step(now, NodeInput::Tick);
        for output in outputs {
            let NodeOutput::Send { message, .. } = output else { continue };
            if let Message::Lease(LeaseMessage::Renew { request_id, .. }) = &message {
                let proof = LeaseMessage::Proof { request_id: *request_id, active: 1, latest: 1, member: 1 };
                node.step(now, NodeInput::Frame { from: TAIL, message: Message::Lease(proof) });
            }
            let kind = match &message {
                Message::Lease(LeaseMessage::Renew { .. }) => "renewals",
                Message::Lease(_) => "other words to the core",
                Message::Forward(ForwardMessage::Heartbeat) => "beats",
                Message::Plan(PlanMessage::Request { .. }) => "plan asks",
                _ => "others",
            };
            if tick >= 200 {
                *counts.entry(kind).or_default() += 1;
            }
        }
    }
    counts
}

#[test_case(4; "4 members")]
#[test_case(50; "50 members")]
#[test_case(430; "430 members")]
fn renewals_do_not_grow_with_members_and_nobody_sends_heartbeats_for_nothing(members: u64) {
    let counts = sent(members, 0);
    assert_eq!(counts.get("renewals"), Some(&8), "{counts:?}");
    assert_eq!(counts.get("other words to the core"), None, "{counts:?}");
    assert_eq!(counts.get("beats"), None, "{counts:?}");
}
