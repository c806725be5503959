//! The registry's connections to other processes. Plan frames go to the optimizer's thread, all other events to the
//! control thread.

use crate::control_message::ControlMessage;
use crate::optimizer::OptimizerMessage;
use events::event;
use kernel::{Directory, Inbox, SendError, adopt, find};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::net::TcpListener;
use std::rc::Rc;
use wire::Message;

/// Accepts and makes connections, and passes on their events.
pub(crate) async fn run_links(names: Directory, me: LocalNode, listener: TcpListener, orders: Inbox<LinkOrder>) {
    let control = find::<ControlMessage>(&names, "control");
    let optimizer = find::<OptimizerMessage>(&names, "optimizer");
    let deliver: links::Deliver = Rc::new(move |event| {
        let (control, optimizer) = (control.clone(), optimizer.clone());
        Box::pin(async move {
            match event {
                LinkEvent::Frame { from, message: Message::Plan(message), .. } => {
                    if let Err(SendError::Full(_)) = optimizer.send(OptimizerMessage::Frame { from, message }) {
                        event!(inbox_full, "optimizer");
                    }
                }
                other => drop(control.send_waiting(ControlMessage::Link(other)).await),
            }
        })
    });
    links::start(me, adopt(listener), orders, deliver).await;
}
