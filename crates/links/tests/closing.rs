//! Closing the link service over real sockets: what was queued before is delivered, and nothing is dialled afterwards.

mod common;

use common::{next_message, staged_message, start_peer};
use kernel::local;
use links::{LinkEvent, LinkOrder};
use tokio::sync::oneshot;

// Guards against answers that are lost because the process ends before they are written.
#[test]
fn messages_queued_before_the_close_are_delivered() {
    local(async {
        let (one, mut two) = (start_peer(1).await, start_peer(2).await);
        one.orders.send(LinkOrder::SetKnownPeers { members: vec![(2, two.address.clone())] }).unwrap();
        one.orders.send(LinkOrder::Send { to: 2, message: staged_message(0) }).unwrap();
        assert_eq!(next_message(&mut two).await, staged_message(0));
        for number in 1..500 {
            one.orders.send(LinkOrder::Send { to: 2, message: staged_message(number) }).unwrap();
        }
        let (closed, are_closed) = oneshot::channel();
        one.orders.send(LinkOrder::Close { closed }).unwrap();
        for number in 1..500 {
            assert_eq!(next_message(&mut two).await, staged_message(number));
        }
        assert!(matches!(two.events.next().await, Some(LinkEvent::Down { id: 1 })));
        assert!(are_closed.await.is_ok(), "both sides have closed");
    });
}

#[test]
fn a_service_without_links_closes_at_once() {
    local(async {
        let one = start_peer(1).await;
        let (closed, are_closed) = oneshot::channel();
        one.orders.send(LinkOrder::Close { closed }).unwrap();
        assert!(are_closed.await.is_ok());
    });
}
