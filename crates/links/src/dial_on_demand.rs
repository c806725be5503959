//! Dialling on demand: messages to a known peer without a connection are queued while the peer is dialled
//! and sent in order once the connection is established. If the dial fails, the queued messages are dropped
//! and the peer is reported as down; the next message starts another dial.

use crate::interface::LinkEvent;
use crate::service::{LinkService, report_frame_error};
use crate::stream;
use events::event;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use wire::{Message, NodeId};

/// Maximum time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of messages queued for one peer while it is dialled.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// The peers that can be dialled on demand, and the messages queued for those being dialled.
#[derive(Default)]
pub struct OnDemandDials {
    known_addresses: BTreeMap<NodeId, String>,
    queued: BTreeMap<NodeId, VecDeque<Message>>,
}

impl OnDemandDials {
    /// Replaces the known peers and their addresses.
    pub fn set_known_peers(&mut self, members: Vec<(NodeId, String)>) {
        self.known_addresses = members.into_iter().collect();
    }

    /// Queues a message, and returns the peer's address if the caller has to start a dial.
    fn enqueue(&mut self, to: NodeId, message: Message) -> Option<String> {
        if let Some(queue) = self.queued.get_mut(&to) {
            if queue.len() < MAX_QUEUED_MESSAGES {
                queue.push_back(message);
            } else {
                event!(inbox_full, "frames queued for {to:016x}");
            }
            return None;
        }
        let address = self.known_addresses.get(&to)?.clone();
        self.queued.insert(to, [message].into());
        Some(address)
    }

    /// Sends the queued messages ahead of all others on a new connection, dialled or accepted.
    pub fn release_queue(&mut self, id: NodeId, sender: &mpsc::Sender<Message>) {
        for message in self.queued.remove(&id).into_iter().flatten() {
            if sender.try_send(message).is_err() {
                event!(inbox_full, "outbound frames for {id:016x}");
            }
        }
    }
}

/// Queues a message for a peer without a connection and dials the peer if no dial is running.
pub fn send_on_demand(service: &Rc<LinkService>, to: NodeId, message: Message) {
    let address = service.on_demand.borrow_mut().enqueue(to, message);
    if let Some(address) = address {
        spawn_local(dial(service.clone(), to, address));
    }
}

async fn dial(service: Rc<LinkService>, to: NodeId, address: String) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await;
    if let Ok(Ok(stream)) = connected {
        report_frame_error(stream::run_connection(service.clone(), stream, Some(address.clone())).await, &address);
    }
    // Once connected, `release_queue` emptied the queue; it exists again only if later messages are waiting by now.
    if !service.is_linked(to) && service.on_demand.borrow_mut().queued.remove(&to).is_some() {
        service.deliver(LinkEvent::Down { id: to }).await;
    }
}
