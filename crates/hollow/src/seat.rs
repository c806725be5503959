//! A hollow node's place in its ward, which outlasts the node.

use kernel::Inbox;
use links::LinkEvent;
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use wire::{Message, NodeId};

pub enum NodeMsg {
    Link(LinkEvent),
    Peer { from: NodeId, message: Message },
}

/// One hollow node's place, known before anything starts.
pub struct Seat {
    pub id: NodeId,
    pub address: String,
    pub zone: String,
    pub listener: TcpListener,
    pub inbox: Inbox<NodeMsg>,
}

/// Gives a seat back when its node ends, however it ends.
pub struct Put {
    pub seat: Rc<RefCell<Option<Seat>>>,
    pub taken: Option<Seat>,
}

impl Drop for Put {
    fn drop(&mut self) {
        *self.seat.borrow_mut() = self.taken.take();
    }
}
