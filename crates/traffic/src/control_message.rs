//! Messages to the control thread.

use links::LinkEvent;

/// Message to the control thread.
pub enum ControlMessage {
    Link(LinkEvent),
    Seeds(Result<Vec<String>, String>),
    Stop,
}
