//! Held TCP connections between heronlink's own processes. A service on a thread of its own dials
//! the addresses it is given and the peers something is sent to, takes in those who dial it, and finds a
//! peer's connection by its identity. What comes in is handed to the owner named by a function of the message.

#![warn(missing_docs)]

mod demand;
mod order;
mod service;
mod stream;

pub use order::{LinkEvent, LinkOrder, LocalNode};
pub use service::{Deliver, start};
