//! Which function is the owner where, worked out once for all nodes of a node group. Each router of the product
//! works it out for itself; what that costs is measured apart (`hollow homes`), and four hundred
//! times over one process could not bear it.

use crate::node::NodeInput;
use crate::node_group::Shared;
use crate::workload::Workload;
use bindings::RouteTable;
use instance_provider::{Listing, ProviderReport};
use leases::Membership;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::NodeId;

const LOOK: Duration = Duration::from_millis(250);
const CALM: Duration = Duration::from_millis(750);
const LIST: Duration = Duration::from_secs(1);

/// The newest membership and step any node of the node group has.
pub fn newest(shared: &Shared) -> (u64, u64) {
    let nodes = shared.nodes.borrow();
    let each = nodes.values().map(|node| {
        let node = node.borrow();
        (node.follower.membership().number, node.follower.step_number())
    });
    each.fold((0, 0), |(membership, step), (r, s)| (membership.max(r), step.max(s)))
}

pub async fn run(shared: Rc<Shared>) {
    let mut seen = ((0, 0), Instant::now());
    let mut listed = Instant::now();
    let mut owners: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK).await;
        let newest = newest(&shared);
        if newest != seen.0 {
            seen = (newest, Instant::now());
        }
        if newest != shared.assigned.get() && seen.1.elapsed() >= CALM && newest.0 > 0 && newest.1 > 0 {
            owners = assign(&shared, newest);
            shared.assigned.set(newest);
        }
        if listed.elapsed() >= LIST {
            listed = Instant::now();
            list(&shared, &owners);
        }
    }
}

fn assign(shared: &Shared, newest: (u64, u64)) -> BTreeMap<NodeId, Vec<String>> {
    let nodes: Vec<_> = shared.nodes.borrow().values().cloned().collect();
    let membership = nodes.iter().find(|node| node.borrow().follower.membership().number == newest.0);
    let source = nodes.iter().find(|node| node.borrow().follower.step_number() == newest.1);
    let (Some(membership), Some(source)) = (membership, source) else { return BTreeMap::new() };
    let membership: Rc<Membership> = Rc::new(membership.borrow().follower.membership().clone());
    let source = source.borrow();
    let (revision, mut parts) = (source.follower.revision(), BTreeMap::<NodeId, Vec<(&str, &[u8])>>::new());
    let mut owners: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
    for (key, value) in source.follower.pairs() {
        let Some(name) = key.strip_prefix("function-bindings/") else { continue };
        let Some(owner) = membership.owner(name) else { continue };
        parts.entry(owner).or_default().push((key, value));
        owners.entry(owner).or_default().push(name.to_owned());
    }
    let tables: BTreeMap<NodeId, Rc<RouteTable>> = parts
        .into_iter()
        .map(|(id, pairs)| (id, Rc::new(RouteTable::build(newest.1, revision, pairs.into_iter()))))
        .collect();
    drop(source);
    for node in nodes {
        let id = node.borrow().follower.me();
        let routes = tables.get(&id).cloned().unwrap_or_default();
        give(shared, &node, NodeInput::Assigned { membership: membership.clone(), routes });
    }
    owners
}

/// Tells each node which instances the awake functions homed there have, as the platform's list would.
fn list(shared: &Shared, owners: &BTreeMap<NodeId, Vec<String>>) {
    let nodes: Vec<_> = shared.nodes.borrow().values().cloned().collect();
    for node in nodes {
        let id = node.borrow().follower.me();
        let numbers = owners.get(&id).into_iter().flatten().filter_map(|name| Workload::number(name));
        let instances = numbers.flat_map(|number| shared.plan.workload.lines(number)).collect();
        let report = ProviderReport::Listed { listing: Listing { instances }, asked: Instant::now() };
        give(shared, &node, NodeInput::Listed { report });
    }
}

/// What a node returns to these two goes out with its next tick's, a hundredth of a second later.
fn give(shared: &Shared, node: &Rc<std::cell::RefCell<crate::node::Node>>, input: NodeInput) {
    let mut node = node.borrow_mut();
    let outputs = node.step(shared.begun.elapsed(), input);
    node.keep(outputs);
}
