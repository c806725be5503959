//! The service's table of connections and its loops: accepting, dialling with a growing backoff, and
//! executing orders. An order for a peer that is neither connected nor known is dropped; owners learn
//! from the events which peers are connected, and time out unanswered messages themselves.

use crate::dial_on_demand::{self, OnDemandDials};
use crate::interface::{LinkEvent, LinkOrder, LocalNode};
use crate::stream;
use events::event;
use kernel::Inbox;
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use wire::{FrameError, Message, NodeId};

/// Maximum number of accepted connections open at a time; further ones are closed immediately.
const MAX_ACCEPTED_CONNECTIONS: usize = 1024;
/// Longest pause, in milliseconds, between two dials of one address.
const MAX_DIAL_PAUSE_MS: u64 = 800;
/// Maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Passes an event to its owner; awaiting it applies backpressure to the connection's reader.
pub type Deliver = Rc<dyn Fn(LinkEvent) -> Pin<Box<dyn Future<Output = ()>>>>;

struct Connection {
    connection_id: u64,
    incarnation: u64,
    sender: mpsc::Sender<Message>,
    dialled: Option<String>,
}

/// State shared by the service's tasks.
pub struct LinkService {
    pub local_node: LocalNode,
    deliver: Deliver,
    connections: RefCell<BTreeMap<NodeId, Vec<Connection>>>,
    by_address: RefCell<BTreeMap<String, NodeId>>,
    dialling: RefCell<BTreeSet<String>>,
    kept_open: RefCell<BTreeSet<String>>,
    pub on_demand: RefCell<OnDemandDials>,
    last_connection_id: Cell<u64>,
    accepted_count: Cell<usize>,
    is_closing: Cell<bool>,
    /// Number of running connections, watched while the service closes.
    running_count: watch::Sender<usize>,
}

/// Counts a connection as running until it is dropped.
pub struct RunningConnection {
    service: Rc<LinkService>,
}

impl Drop for RunningConnection {
    fn drop(&mut self) {
        self.service.running_count.send_modify(|count| *count -= 1);
    }
}

impl LinkService {
    /// Counts a new connection; returns `None` if the service is closing.
    pub fn begin_connection(self: &Rc<Self>) -> Option<RunningConnection> {
        if self.is_closing.get() {
            return None;
        }
        self.running_count.send_modify(|count| *count += 1);
        Some(RunningConnection { service: self.clone() })
    }

    /// Closes the queue of each connection, which then ends once its messages are written, and waits for their ends.
    async fn close(&self) {
        self.is_closing.set(true);
        self.kept_open.borrow_mut().clear();
        self.connections.borrow_mut().clear();
        let _ = self.running_count.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Adds a connection, drops those of the peer's other incarnations, and returns its id.
    pub fn add_connection(
        &self,
        id: NodeId,
        incarnation: u64,
        sender: mpsc::Sender<Message>,
        dialled: Option<String>,
        address: String,
    ) -> u64 {
        let connection_id = self.last_connection_id.get() + 1;
        self.last_connection_id.set(connection_id);
        if self.is_closing.get() {
            return connection_id;
        }
        let mut connections = self.connections.borrow_mut();
        let list = connections.entry(id).or_default();
        list.retain(|old| old.incarnation == incarnation);
        let is_first = list.is_empty();
        if let Some(address) = &dialled {
            self.by_address.borrow_mut().insert(address.clone(), id);
        }
        self.on_demand.borrow_mut().release_queue(id, &sender);
        list.push(Connection { connection_id, incarnation, sender, dialled });
        if is_first {
            event!(link_up, "{id:016x} at {address}");
            let delivery = (self.deliver)(LinkEvent::Up { id, incarnation, address });
            spawn_local(delivery);
        }
        connection_id
    }

    /// Removes a connection and reports the peer as down if it was the last one.
    pub async fn remove_connection(&self, id: NodeId, connection_id: u64) {
        let was_last = {
            let mut connections = self.connections.borrow_mut();
            let Some(list) = connections.get_mut(&id) else { return };
            let count_before = list.len();
            list.retain(|connection| connection.connection_id != connection_id);
            count_before > list.len() && list.is_empty()
        };
        if was_last {
            self.connections.borrow_mut().remove(&id);
            event!(link_down, "{id:016x}");
            self.deliver(LinkEvent::Down { id }).await;
        }
    }

    pub async fn deliver(&self, event: LinkEvent) {
        (self.deliver)(event).await;
    }

    pub fn is_linked(&self, id: NodeId) -> bool {
        self.connections.borrow().contains_key(&id)
    }

    /// Returns whether this side keeps a connection open while it is idle.
    pub fn is_kept_open(&self, dialled: Option<&String>) -> bool {
        dialled.is_none_or(|address| self.kept_open.borrow().contains(address))
    }

    fn send(self: &Rc<Self>, to: NodeId, message: Message) {
        let Some(sender) = self.connections.borrow().get(&to).and_then(|list| Some(list.last()?.sender.clone())) else {
            return dial_on_demand::send_on_demand(self, to, message);
        };
        if sender.try_send(message).is_err() {
            event!(inbox_full, "outbound frames for {to:016x}");
        }
    }

    fn is_dialled(&self, address: &str) -> bool {
        let linked = self.connections.borrow().values().flatten().any(|c| c.dialled.as_deref() == Some(address));
        linked || self.dialling.borrow().contains(address)
    }
}

/// Runs the service on the current thread until it is told to close or its inbox of orders is closed.
pub async fn start(local_node: LocalNode, listener: TcpListener, mut orders: Inbox<LinkOrder>, deliver: Deliver) {
    let service = Rc::new(LinkService {
        local_node,
        deliver,
        connections: RefCell::default(),
        by_address: RefCell::default(),
        dialling: RefCell::default(),
        kept_open: RefCell::default(),
        on_demand: RefCell::default(),
        last_connection_id: Cell::new(0),
        accepted_count: Cell::new(0),
        is_closing: Cell::new(false),
        running_count: watch::Sender::new(0),
    });
    let accepting = spawn_local(accept_connections(service.clone(), listener));
    while let Some(order) = orders.next().await {
        match order {
            LinkOrder::Send { to, message } => service.send(to, message),
            LinkOrder::SendAddress { address, message } => {
                let peer = service.by_address.borrow().get(&address).copied();
                if let Some(id) = peer {
                    service.send(id, message);
                }
            }
            LinkOrder::SetKnownPeers { members } => service.on_demand.borrow_mut().set_known_peers(members),
            LinkOrder::Close { closed } => {
                accepting.abort();
                service.close().await;
                let _ = closed.send(());
                return;
            }
            LinkOrder::KeepConnected { addresses } => {
                let wanted: BTreeSet<String> =
                    addresses.into_iter().filter(|a| *a != service.local_node.address).collect();
                *service.kept_open.borrow_mut() = wanted.clone();
                for address in wanted {
                    if !service.is_dialled(&address) {
                        service.dialling.borrow_mut().insert(address.clone());
                        spawn_local(keep_connected(service.clone(), address));
                    }
                }
            }
        }
    }
}

async fn keep_connected(service: Rc<LinkService>, address: String) {
    let mut max_pause_ms = 20;
    while service.kept_open.borrow().contains(&address) {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connected {
            max_pause_ms = 20;
            report_frame_error(stream::run_connection(service.clone(), stream, Some(address.clone())).await, &address);
        }
        let pause_ms = rand::rng().random_range(max_pause_ms / 2..=max_pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        max_pause_ms = (max_pause_ms * 2).min(MAX_DIAL_PAUSE_MS);
    }
    service.dialling.borrow_mut().remove(&address);
}

async fn accept_connections(service: Rc<LinkService>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if service.accepted_count.get() >= MAX_ACCEPTED_CONNECTIONS {
            continue;
        }
        let service = service.clone();
        service.accepted_count.set(service.accepted_count.get() + 1);
        spawn_local(async move {
            report_frame_error(stream::run_connection(service.clone(), stream, None).await, &from.to_string());
            service.accepted_count.set(service.accepted_count.get() - 1);
        });
    }
}

/// Logs why a connection ended if the peer sent a frame that was rejected.
pub fn report_frame_error(result: Result<(), FrameError>, address: &str) {
    match result {
        Err(FrameError::Connection(_)) | Ok(()) => {}
        Err(error) => event!(frame_rejected, "{address}: {error}"),
    }
}
