//! Long-lived TCP connections between heronlink's own processes. A service on its own thread dials the
//! addresses it is given and the peers that messages are sent to, accepts incoming connections, and looks
//! connections up by peer id. A callback given at the start passes each event to the owner of its message.

#![warn(missing_docs)]

mod dial_on_demand;
mod interface;
mod service;
mod stream;

pub use interface::{LinkEvent, LinkOrder, LocalNode};
pub use service::{Deliver, start};
