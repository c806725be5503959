//! Peers with a link service each, on loopback.

use kernel::{Inbox, InboxSender, inbox};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use wire::{LeaseMessage, Message, NodeId};

pub struct TestPeer {
    pub orders: InboxSender<LinkOrder>,
    pub events: Inbox<LinkEvent>,
    pub address: String,
}

pub async fn start_peer(id: NodeId) -> TestPeer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let local_node =
        LocalNode { id, incarnation: id, cluster: "test".into(), address: address.clone(), format: wire::FORMAT };
    let (orders, orders_inbox) = inbox::<LinkOrder>(1024);
    let (event_sender, events) = inbox::<LinkEvent>(1024);
    let deliver: links::Deliver = Rc::new(move |event| {
        let event_sender = event_sender.clone();
        Box::pin(async move {
            event_sender.send_waiting(event).await;
        })
    });
    spawn_local(links::start(local_node, listener, orders_inbox, deliver));
    TestPeer { orders, events, address }
}

pub fn staged_message(number: u64) -> Message {
    Message::Lease(LeaseMessage::Staged { number })
}

pub async fn next_message(peer: &mut TestPeer) -> Message {
    loop {
        match peer.events.next().await.unwrap() {
            LinkEvent::Frame { message, .. } => return message,
            LinkEvent::Up { .. } => {}
            LinkEvent::Down { id } => panic!("{id} is down"),
        }
    }
}
