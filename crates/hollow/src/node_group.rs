//! A node group: many hollow nodes on one thread. Each has its own listener and its own held links, made by
//! the product's own link service; words between two hollow nodes are counted and go the short way.

use crate::assign;
use crate::node::{Node, NodeInput, NodeOutput};
use crate::node_slot::{NodeMessage, NodeSlot, ReturnOnDrop};
use crate::relay::HOLLOW;
use crate::tally::{Tally, Way};
use crate::workload::Workload;
use kernel::{Inbox, InboxSender};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use wire::{FORMAT, ForwardMessage, Frame, Message, NodeId};

const TICK: Duration = Duration::from_millis(10);

pub enum NodeGroupOrder {
    Look(oneshot::Sender<NodeGroupView>),
    /// The nodes of these places fall silent; with true they come back at once, knowing nothing.
    Silence {
        places: Vec<usize>,
        back: bool,
    },
}

#[derive(Clone, Debug, Default)]
pub struct NodeGroupView {
    pub tally: Tally,
    pub nodes: usize,
    pub serving: usize,
    pub least_revision: u64,
    pub least_members: usize,
    pub most_members: usize,
    pub assigned: bool,
}

pub struct Plan {
    pub cluster: String,
    pub seeds: Vec<String>,
    pub workload: Workload,
    pub mesh: bool,
    pub start_every: Duration,
    pub peers: Arc<BTreeMap<NodeId, InboxSender<NodeMessage>>>,
    pub addresses: Arc<BTreeSet<String>>,
    /// The real routers, whose links to hollow nodes pass no relay.
    pub routers: Arc<BTreeMap<NodeId, String>>,
}

pub struct Shared {
    pub plan: Plan,
    pub begun: Instant,
    pub tally: RefCell<Tally>,
    pub nodes: RefCell<BTreeMap<usize, Rc<RefCell<Node>>>>,
    pub assigned: Cell<(u64, u64)>,
    heartbeat_bytes: Cell<u64>,
}

pub async fn run(plan: Plan, slots: Vec<NodeSlot>, mut orders: Inbox<NodeGroupOrder>) {
    let shared = Rc::new(Shared {
        plan,
        begun: Instant::now(),
        tally: RefCell::default(),
        nodes: RefCell::default(),
        assigned: Cell::new((0, 0)),
        heartbeat_bytes: Cell::new(0),
    });
    spawn_local(assign::run(shared.clone()));
    let mut running: BTreeMap<usize, JoinHandle<()>> = BTreeMap::new();
    let slots: Vec<Rc<RefCell<Option<NodeSlot>>>> = slots.into_iter().map(|s| Rc::new(RefCell::new(Some(s)))).collect();
    for (place, slot) in slots.iter().enumerate() {
        running.insert(place, spawn_local(alone(shared.clone(), place, slot.clone())));
        tokio::time::sleep(shared.plan.start_every).await;
    }
    while let Some(order) = orders.next().await {
        match order {
            NodeGroupOrder::Look(reply) => drop(reply.send(shared.view())),
            NodeGroupOrder::Silence { places, back } => {
                for place in places {
                    let Some(task) = running.remove(&place) else { continue };
                    task.abort();
                    let _ = task.await;
                    shared.nodes.borrow_mut().remove(&place);
                    if back {
                        running.insert(place, spawn_local(alone(shared.clone(), place, slots[place].clone())));
                    }
                }
            }
        }
    }
}

impl Shared {
    fn view(&self) -> NodeGroupView {
        let nodes = self.nodes.borrow();
        let now = self.begun.elapsed();
        let mut view =
            NodeGroupView { tally: self.tally.borrow().clone(), nodes: nodes.len(), ..NodeGroupView::default() };
        view.least_revision = u64::MAX;
        view.least_members = usize::MAX;
        for node in nodes.values() {
            let node = node.borrow();
            view.serving += usize::from(node.may_serve(now));
            view.least_revision = view.least_revision.min(node.follower.revision());
            let members = node.follower.membership().members.as_slice().len();
            view.least_members = view.least_members.min(members);
            view.most_members = view.most_members.max(members);
        }
        view.assigned = assign::newest(self) == self.assigned.get();
        view
    }

    fn count(&self, (from, out): (NodeId, &str), into: &str, message: &Message) {
        let heartbeat = matches!(message, Message::Forward(ForwardMessage::Heartbeat));
        let mut bytes = if heartbeat { self.heartbeat_bytes.get() } else { 0 };
        let mut kind = "carry.beat";
        if bytes == 0 {
            let cluster = self.plan.cluster.as_str().into();
            let frame = Frame { format: FORMAT, cluster, sender: from, incarnation: 1, message: message.clone() };
            let raw = wire::encode(&frame);
            bytes = raw.len() as u64;
            kind = crate::kinds::kind(&raw[8..]);
            if heartbeat {
                self.heartbeat_bytes.set(bytes);
            }
        }
        let mut tally = self.tally.borrow_mut();
        tally.add(out, Way::Out, kind, 1, bytes);
        tally.add(into, Way::In, kind, 1, bytes);
    }
}

/// A node with all it spawns: when this ends, its links and the tasks around them end too, as those of
/// a process would.
async fn alone(shared: Rc<Shared>, place: usize, slot: Rc<RefCell<Option<NodeSlot>>>) {
    LocalSet::new().run_until(live(shared, place, slot)).await;
}

/// One node from its start until it is aborted; its slot is put back for the next beginning.
async fn live(shared: Rc<Shared>, place: usize, slot: Rc<RefCell<Option<NodeSlot>>>) {
    let Some(taken) = slot.borrow_mut().take() else { return };
    let mut guard = ReturnOnDrop { slot, taken: Some(taken) };
    let Some(taken) = guard.taken.as_mut() else { return };
    let incarnation = rand::random::<u64>() >> 8;
    let plan = &shared.plan;
    let me = LocalNode {
        id: taken.id,
        incarnation,
        cluster: plan.cluster.clone(),
        address: taken.address.clone(),
        format: FORMAT,
    };
    let node = Node::new(taken.id, incarnation, &taken.address, &taken.zone, &plan.seeds);
    let node = Rc::new(RefCell::new(node));
    shared.nodes.borrow_mut().insert(place, node.clone());
    let (links, orders) = kernel::inbox::<LinkOrder>(65_536);
    let Ok(listener) = taken.listener.try_clone() else { return };
    let events = plan.peers.get(&taken.id).cloned();
    let deliver: links::Deliver = Rc::new(move |event| {
        let events = events.clone();
        Box::pin(async move {
            if let Some(events) = events {
                events.send_waiting(NodeMessage::Link(event)).await;
            }
        })
    });
    while taken.inbox.ready().is_some() {}
    spawn_local(links::start(me, kernel::adopt(listener), orders, deliver));
    let _ = links.send(LinkOrder::Dial { addresses: plan.seeds.clone() });
    let first = tokio::time::Instant::now() + TICK.mul_f64(rand::random::<f64>());
    let mut ticks = tokio::time::interval_at(first, TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            biased;
            _ = ticks.tick() => NodeInput::Tick,
            message = taken.inbox.next() => match message {
                Some(NodeMessage::Link(LinkEvent::Up { id, address, .. })) => NodeInput::Up { id, address },
                Some(NodeMessage::Link(LinkEvent::Down { id })) => NodeInput::Down { id },
                Some(NodeMessage::Link(LinkEvent::Frame { from, message, .. })) => {
                    if let Some(name) = plan.routers.get(&from) {
                        shared.count((from, name), HOLLOW, &message);
                    }
                    NodeInput::Frame { from, message }
                }
                Some(NodeMessage::Peer { from, message }) => NodeInput::Frame { from, message },
                None => return,
            },
        };
        let outputs = node.borrow_mut().step(shared.begun.elapsed(), input);
        shared.carry_out(taken.id, &links, outputs);
    }
}

impl Shared {
    pub fn carry_out(&self, me: NodeId, links: &InboxSender<LinkOrder>, outputs: Vec<NodeOutput>) {
        for output in outputs {
            match output {
                NodeOutput::Send { to, message } if to == me => drop((to, message)),
                NodeOutput::Send { to, message } => match self.plan.peers.get(&to) {
                    Some(peer) => {
                        self.count((me, HOLLOW), HOLLOW, &message);
                        if self.plan.mesh {
                            let _ = links.send(LinkOrder::Send { to, message });
                        } else if !matches!(message, Message::Forward(ForwardMessage::Heartbeat)) {
                            let _ = peer.send(NodeMessage::Peer { from: me, message });
                        }
                    }
                    None => {
                        if let Some(name) = self.plan.routers.get(&to) {
                            self.count((me, HOLLOW), name, &message);
                        }
                        let _ = links.send(LinkOrder::Send { to, message });
                    }
                },
                NodeOutput::Dial { mut addresses } => {
                    if !self.plan.mesh {
                        addresses.retain(|address| !self.plan.addresses.contains(address));
                    }
                    let _ = links.send(LinkOrder::Dial { addresses });
                }
                NodeOutput::Ordered => self.tally.borrow_mut().add(HOLLOW, Way::Out, "platform.order", 1, 0),
            }
        }
    }
}
