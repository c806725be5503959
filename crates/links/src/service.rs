//! The service's table of connections and its loops: taking in, dialling with a growing pause,
//! and carrying out orders. An order for a peer that is neither linked nor known is dropped; owners
//! know who is linked from the events and time out what went unanswered.

use crate::demand::{self, Demand};
use crate::order::{LinkEvent, LinkOrder, LocalNode};
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
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{FrameError, Message, NodeId};

/// The most connections taken in at a time; more are closed at once.
const CONNECTIONS: usize = 1024;
/// The longest pause between two dials of one address.
const PAUSE_MAX_MS: u64 = 800;
/// How long a dial may take.
const CONNECT: Duration = Duration::from_millis(900);

/// Hands an event to its owner; awaiting it slows the connection's reader down.
pub type Deliver = Rc<dyn Fn(LinkEvent) -> Pin<Box<dyn Future<Output = ()>>>>;

struct Connection {
    number: u64,
    incarnation: u64,
    sender: mpsc::Sender<Message>,
    dialled: Option<String>,
}

pub struct Inner {
    pub me: LocalNode,
    deliver: Deliver,
    connections: RefCell<BTreeMap<NodeId, Vec<Connection>>>,
    by_address: RefCell<BTreeMap<String, NodeId>>,
    dialled: RefCell<BTreeSet<String>>,
    wanted: RefCell<BTreeSet<String>>,
    pub demand: RefCell<Demand>,
    next: Cell<u64>,
    open: Cell<usize>,
}

impl Inner {
    pub fn add(
        &self,
        id: NodeId,
        incarnation: u64,
        sender: mpsc::Sender<Message>,
        dialled: Option<String>,
        address: String,
    ) -> u64 {
        let number = self.next.get() + 1;
        self.next.set(number);
        let mut connections = self.connections.borrow_mut();
        let list = connections.entry(id).or_default();
        list.retain(|old| old.incarnation == incarnation);
        let news = list.is_empty();
        if let Some(address) = &dialled {
            self.by_address.borrow_mut().insert(address.clone(), id);
        }
        self.demand.borrow_mut().release(id, &sender);
        list.push(Connection { number, incarnation, sender, dialled });
        if news {
            event!(link_up, "{id:016x} at {address}");
            let told = (self.deliver)(LinkEvent::Up { id, incarnation, address });
            spawn_local(told);
        }
        number
    }

    pub async fn remove(&self, id: NodeId, number: u64) {
        let gone = {
            let mut connections = self.connections.borrow_mut();
            let Some(list) = connections.get_mut(&id) else { return };
            let before = list.len();
            list.retain(|connection| connection.number != number);
            before > list.len() && list.is_empty()
        };
        if gone {
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

    /// Whether a connection is held though nothing goes over it.
    pub fn is_held(&self, dialled: Option<&String>) -> bool {
        dialled.is_none_or(|address| self.wanted.borrow().contains(address))
    }

    fn send(self: &Rc<Self>, to: NodeId, message: Message) {
        let Some(sender) = self.connections.borrow().get(&to).and_then(|list| Some(list.last()?.sender.clone())) else {
            return demand::send(self, to, message);
        };
        if sender.try_send(message).is_err() {
            event!(inbox_full, "outbound frames for {to:016x}");
        }
    }

    fn is_dialled(&self, address: &str) -> bool {
        let linked = self.connections.borrow().values().flatten().any(|c| c.dialled.as_deref() == Some(address));
        linked || self.dialled.borrow().contains(address)
    }
}

/// Runs the service on the current thread until its inbox of orders is closed.
pub async fn start(me: LocalNode, listener: TcpListener, mut orders: Inbox<LinkOrder>, deliver: Deliver) {
    let inner = Rc::new(Inner {
        me,
        deliver,
        connections: RefCell::default(),
        by_address: RefCell::default(),
        dialled: RefCell::default(),
        wanted: RefCell::default(),
        demand: RefCell::default(),
        next: Cell::new(0),
        open: Cell::new(0),
    });
    spawn_local(take_in(inner.clone(), listener));
    while let Some(order) = orders.next().await {
        match order {
            LinkOrder::Send { to, message } => inner.send(to, message),
            LinkOrder::SendAddress { address, message } => {
                let known = inner.by_address.borrow().get(&address).copied();
                if let Some(id) = known {
                    inner.send(id, message);
                }
            }
            LinkOrder::SetKnownPeers { members } => inner.demand.borrow_mut().know(members),
            LinkOrder::KeepConnected { addresses } => {
                let wanted: BTreeSet<String> = addresses.into_iter().filter(|a| *a != inner.me.address).collect();
                *inner.wanted.borrow_mut() = wanted.clone();
                for address in wanted {
                    if !inner.is_dialled(&address) {
                        inner.dialled.borrow_mut().insert(address.clone());
                        spawn_local(dial(inner.clone(), address));
                    }
                }
            }
        }
    }
}

async fn dial(inner: Rc<Inner>, address: String) {
    let mut pause = 20;
    while inner.wanted.borrow().contains(&address) {
        let connected = tokio::time::timeout(CONNECT, TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connected {
            pause = 20;
            report(stream::run(inner.clone(), stream, Some(address.clone())).await, &address);
        }
        let wait = rand::rng().random_range(pause / 2..=pause);
        tokio::time::sleep(Duration::from_millis(wait)).await;
        pause = (pause * 2).min(PAUSE_MAX_MS);
    }
    inner.dialled.borrow_mut().remove(&address);
}

async fn take_in(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if inner.open.get() >= CONNECTIONS {
            continue;
        }
        let inner = inner.clone();
        inner.open.set(inner.open.get() + 1);
        spawn_local(async move {
            report(stream::run(inner.clone(), stream, None).await, &from.to_string());
            inner.open.set(inner.open.get() - 1);
        });
    }
}

pub fn report(ended: Result<(), FrameError>, address: &str) {
    match ended {
        Err(FrameError::Connection(_)) | Ok(()) => {}
        Err(error) => event!(frame_rejected, "{address}: {error}"),
    }
}
