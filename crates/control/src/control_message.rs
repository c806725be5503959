//! What the control thread is sent by the others.

use crate::api_calls::{ApiCall, ApiReply};
use chain::DiskReport;
use links::LinkEvent;
use tokio::sync::oneshot;

/// A message to the control thread.
pub enum ControlMessage {
    /// A frame of another process, or a connection that came up or went down.
    Link(LinkEvent),
    /// A write is synced, or the disk failed or recovered.
    Disk(DiskReport),
    /// An operator's call.
    Call { call: ApiCall, reply: oneshot::Sender<ApiReply> },
    /// The seeds as the settings file has them now, or why it cannot be read.
    Seeds(Result<Vec<String>, String>),
    /// The process is to stop.
    Stop,
}
