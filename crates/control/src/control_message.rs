//! Messages that other threads send to the control thread.

use crate::api_calls::{ApiCall, ApiReply};
use chain::DiskReport;
use links::LinkEvent;
use tokio::sync::oneshot;

/// A message to the control thread.
pub enum ControlMessage {
    /// A frame from another process, or a connection that came up or went down.
    Link(LinkEvent),
    /// A write is synced, or the disk failed or recovered.
    Disk(DiskReport),
    /// An operator's call.
    Call { call: ApiCall, reply: oneshot::Sender<ApiReply> },
    /// The seeds as reread from the settings file, or the reason why the file cannot be read.
    Seeds(Result<Vec<String>, String>),
    /// A request to stop the process.
    Stop,
}
