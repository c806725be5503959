//! A bounded inbox of one message type, and the post box that others hold of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// Why a message was not queued; it is handed back to the sender.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<M> {
    /// The inbox holds as many messages as it may.
    Full(M),
    /// The receiving end is gone.
    Closed(M),
}

/// The receiving end of a bounded queue. It has one owner.
pub struct Inbox<M> {
    queue: mpsc::Receiver<M>,
}

/// A sending end of a bounded queue; clones share the queue and its count of refusals.
pub struct InboxSender<M> {
    queue: mpsc::Sender<M>,
    refused: Arc<AtomicU64>,
}

impl<M> Clone for InboxSender<M> {
    fn clone(&self) -> Self {
        InboxSender { queue: self.queue.clone(), refused: self.refused.clone() }
    }
}

/// A queue of at most `bound` messages, as its sending and its receiving end.
pub fn inbox<M>(bound: usize) -> (InboxSender<M>, Inbox<M>) {
    let (sender, queue) = mpsc::channel(bound);
    (InboxSender { queue: sender, refused: Arc::default() }, Inbox { queue })
}

impl<M> Inbox<M> {
    /// The next message; none once all sending ends are gone and the queue is empty.
    pub async fn next(&mut self) -> Option<M> {
        self.queue.recv().await
    }

    /// For a plain thread that owns no runtime.
    pub fn next_blocking(&mut self) -> Option<M> {
        self.queue.blocking_recv()
    }

    /// The next message if one is queued now.
    pub fn ready(&mut self) -> Option<M> {
        self.queue.try_recv().ok()
    }

    /// The number of messages queued.
    pub fn depth(&self) -> usize {
        self.queue.len()
    }
}

impl<M> InboxSender<M> {
    /// Queues a message without waiting. A full queue refuses it and counts the refusal.
    pub fn send(&self, message: M) -> Result<(), SendError<M>> {
        self.queue.try_send(message).map_err(|error| match error {
            mpsc::error::TrySendError::Full(message) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                SendError::Full(message)
            }
            mpsc::error::TrySendError::Closed(message) => SendError::Closed(message),
        })
    }

    /// For a sender that itself must slow down, such as a connection's reader.
    pub async fn send_waiting(&self, message: M) -> bool {
        self.queue.send(message).await.is_ok()
    }

    /// For a plain thread that owns no runtime.
    pub fn send_blocking(&self, message: M) -> bool {
        self.queue.blocking_send(message).is_ok()
    }

    /// The number of messages refused since the queue was made.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// The number of messages queued.
    pub fn depth(&self) -> usize {
        self.queue.max_capacity() - self.queue.capacity()
    }
}
