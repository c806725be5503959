//! A bounded inbox for one message type, and the sender that other services use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// Reason why a message was not queued; contains the message.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<M> {
    /// The inbox is full.
    Full(M),
    /// The receiving end was dropped.
    Closed(M),
}

/// Receiving end of a bounded queue, with a single owner.
pub struct Inbox<M> {
    queue: mpsc::Receiver<M>,
}

/// Sending end of a bounded queue; clones share the queue and its count of rejected messages.
pub struct InboxSender<M> {
    queue: mpsc::Sender<M>,
    refused: Arc<AtomicU64>,
}

impl<M> Clone for InboxSender<M> {
    fn clone(&self) -> Self {
        InboxSender { queue: self.queue.clone(), refused: self.refused.clone() }
    }
}

/// Creates a queue of at most `bound` messages and returns its sending and receiving ends.
pub fn inbox<M>(bound: usize) -> (InboxSender<M>, Inbox<M>) {
    let (sender, queue) = mpsc::channel(bound);
    (InboxSender { queue: sender, refused: Arc::default() }, Inbox { queue })
}

impl<M> Inbox<M> {
    /// Waits for the next message; returns `None` once all senders are dropped and the queue is empty.
    pub async fn next(&mut self) -> Option<M> {
        self.queue.recv().await
    }

    /// Same as [`Inbox::next`], for a thread without a runtime.
    pub fn next_blocking(&mut self) -> Option<M> {
        self.queue.blocking_recv()
    }

    /// Returns the next message if one is already queued.
    pub fn ready(&mut self) -> Option<M> {
        self.queue.try_recv().ok()
    }

    /// Returns the number of queued messages.
    pub fn depth(&self) -> usize {
        self.queue.len()
    }
}

impl<M> InboxSender<M> {
    /// Queues a message without waiting. A full queue rejects it and counts the rejection.
    pub fn send(&self, message: M) -> Result<(), SendError<M>> {
        self.queue.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(message) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                SendError::Full(message)
            }
            mpsc::error::TrySendError::Closed(message) => SendError::Closed(message),
        })
    }

    /// Waits until the queue has space, for senders that need backpressure, such as a connection's reader. Returns
    /// `false` if the inbox is closed.
    pub async fn send_waiting(&self, message: M) -> bool {
        self.queue.send(message).await.is_ok()
    }

    /// Same as [`InboxSender::send_waiting`], for a thread without a runtime.
    pub fn send_blocking(&self, message: M) -> bool {
        self.queue.blocking_send(message).is_ok()
    }

    /// Returns the number of messages rejected since the queue was created.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of queued messages.
    pub fn depth(&self) -> usize {
        self.queue.max_capacity() - self.queue.capacity()
    }
}
