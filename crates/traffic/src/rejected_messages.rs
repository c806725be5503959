//! Log lines for messages that an inbox rejected. A full inbox recovers; a closed one means that the thread which read it
//! has ended.

use events::event;
use kernel::SendError;

/// Logs why the inbox of that name rejected a message.
pub fn log_rejected_message<M>(error: &SendError<M>, inbox: &str) {
    match error {
        SendError::Full(_) => event!(inbox_full, "{inbox}"),
        SendError::Closed(_) => event!(inbox_closed, "{inbox}"),
    }
}
