//! Links on demand over real sockets: what is sent to a known peer dials it and arrives in order, both
//! ways over the one link; a peer that cannot be dialled is told of as down; a stranger is dialled never.

use kernel::{Inbox, InboxSender, inbox, local};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use wire::{LeaseMessage, Message, NodeId};

struct Peer {
    orders: InboxSender<LinkOrder>,
    events: Inbox<LinkEvent>,
    address: String,
}

async fn peer(id: NodeId) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let me = LocalNode { id, incarnation: id, cluster: "test".into(), address: address.clone(), format: wire::FORMAT };
    let (orders, taken) = inbox::<LinkOrder>(1024);
    let (told, events) = inbox::<LinkEvent>(1024);
    let deliver: links::Deliver = Rc::new(move |event| {
        let told = told.clone();
        Box::pin(async move {
            told.send_waiting(event).await;
        })
    });
    spawn_local(links::start(me, listener, taken, deliver));
    Peer { orders, events, address }
}

fn staged(number: u64) -> Message {
    Message::Lease(LeaseMessage::Staged { number })
}

async fn frame(peer: &mut Peer) -> Message {
    loop {
        match peer.events.next().await.unwrap() {
            LinkEvent::Frame { message, .. } => return message,
            LinkEvent::Up { .. } => {}
            LinkEvent::Down { id } => panic!("{id} is down"),
        }
    }
}

#[test]
fn what_is_sent_to_a_known_peer_dials_it_and_arrives_in_order() {
    local(async {
        let (mut one, mut two) = (peer(1).await, peer(2).await);
        one.orders.send(LinkOrder::SetKnownPeers { members: vec![(2, two.address.clone())] }).unwrap();
        for number in 0..100 {
            one.orders.send(LinkOrder::Send { to: 2, message: staged(number) }).unwrap();
        }
        for number in 0..100 {
            assert_eq!(frame(&mut two).await, staged(number));
        }
        two.orders.send(LinkOrder::Send { to: 1, message: staged(7) }).unwrap();
        assert_eq!(frame(&mut one).await, staged(7), "answered over the same link, unknown as the caller is");
    });
}

#[test]
fn a_known_peer_that_cannot_be_dialled_is_reported_as_down() {
    local(async {
        let mut one = peer(1).await;
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
        one.orders.send(LinkOrder::SetKnownPeers { members: vec![(2, nobody)] }).unwrap();
        for _ in 0..2 {
            one.orders.send(LinkOrder::Send { to: 3, message: staged(1) }).unwrap();
            one.orders.send(LinkOrder::Send { to: 2, message: staged(1) }).unwrap();
            assert!(matches!(one.events.next().await, Some(LinkEvent::Down { id: 2 })));
        }
    });
}
