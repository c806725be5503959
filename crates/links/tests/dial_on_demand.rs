//! Dialling on demand over real sockets: sending to a known peer dials it, and messages arrive in order, both
//! ways over the one link; a peer that cannot be dialled is reported as down; an unknown peer is never dialled.

mod common;

use common::{next_message, staged_message, start_peer};
use kernel::local;
use links::{LinkEvent, LinkOrder};
use tokio::net::TcpListener;

#[test]
fn sending_to_a_known_peer_dials_it_and_delivers_in_order() {
    local(async {
        let (mut one, mut two) = (start_peer(1).await, start_peer(2).await);
        one.orders.send(LinkOrder::SetKnownPeers { members: vec![(2, two.address.clone())] }).unwrap();
        for number in 0..100 {
            one.orders.send(LinkOrder::Send { to: 2, message: staged_message(number) }).unwrap();
        }
        for number in 0..100 {
            assert_eq!(next_message(&mut two).await, staged_message(number));
        }
        two.orders.send(LinkOrder::Send { to: 1, message: staged_message(7) }).unwrap();
        assert_eq!(
            next_message(&mut one).await,
            staged_message(7),
            "the answer uses the same link, although the caller is not a known peer"
        );
    });
}

#[test]
fn a_known_peer_that_cannot_be_dialled_is_reported_as_down() {
    local(async {
        let mut one = start_peer(1).await;
        let unused_address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
        one.orders.send(LinkOrder::SetKnownPeers { members: vec![(2, unused_address)] }).unwrap();
        for _ in 0..2 {
            one.orders.send(LinkOrder::Send { to: 3, message: staged_message(1) }).unwrap();
            one.orders.send(LinkOrder::Send { to: 2, message: staged_message(1) }).unwrap();
            assert!(matches!(one.events.next().await, Some(LinkEvent::Down { id: 2 })));
        }
    });
}
