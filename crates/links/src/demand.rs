//! Links on demand: a message for a known peer without a connection waits while the peer is dialled,
//! and goes out in its order once the link stands. Where the dial fails, what waited is dropped and the
//! peer told of as down; the next message tries again.

use crate::order::LinkEvent;
use crate::service::{Inner, report};
use crate::stream;
use events::event;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Message, NodeId};

/// How long a dial may take.
const CONNECT: Duration = Duration::from_millis(1000);
/// The most messages that wait for one peer to be dialled.
const WAITING: usize = 1024;

#[derive(Default)]
pub struct Demand {
    known: BTreeMap<NodeId, String>,
    waiting: BTreeMap<NodeId, VecDeque<Message>>,
}

impl Demand {
    pub fn know(&mut self, members: Vec<(NodeId, String)>) {
        self.known = members.into_iter().collect();
    }

    /// The address to dial, if nobody dials it yet.
    fn wait(&mut self, to: NodeId, message: Message) -> Option<String> {
        if let Some(queue) = self.waiting.get_mut(&to) {
            if queue.len() < WAITING {
                queue.push_back(message);
            } else {
                event!(inbox_full, "frames waiting for {to:016x}");
            }
            return None;
        }
        let address = self.known.get(&to)?.clone();
        self.waiting.insert(to, [message].into());
        Some(address)
    }

    /// A link stands, dialled from here or taken in: what waited goes first.
    pub fn release(&mut self, id: NodeId, sender: &mpsc::Sender<Message>) {
        for message in self.waiting.remove(&id).into_iter().flatten() {
            if sender.try_send(message).is_err() {
                event!(inbox_full, "outbound frames for {id:016x}");
            }
        }
    }
}

pub fn send(inner: &Rc<Inner>, to: NodeId, message: Message) {
    let address = inner.demand.borrow_mut().wait(to, message);
    if let Some(address) = address {
        spawn_local(dial(inner.clone(), to, address));
    }
}

async fn dial(inner: Rc<Inner>, to: NodeId, address: String) {
    let connected = tokio::time::timeout(CONNECT, TcpStream::connect(&address)).await;
    if let Ok(Ok(stream)) = connected {
        report(stream::run(inner.clone(), stream, Some(address.clone())).await, &address);
    }
    // Taken away already where the link came to stand, unless the next messages wait by now.
    if !inner.is_linked(to) && inner.demand.borrow_mut().waiting.remove(&to).is_some() {
        inner.deliver(LinkEvent::Down { id: to }).await;
    }
}
