//! Directory of services by name. It is filled while a program is set up and then cloned into each thread;
//! announcing a name twice is a programming error and panics.

use crate::inbox::{Inbox, InboxSender, inbox};
use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maps service names to the sending ends of their inboxes. Cheap to clone.
#[derive(Clone, Default)]
pub struct Directory {
    senders: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Directory {
    /// Creates the inbox of a service, with space for `bound` messages. Panics if the name is already announced.
    pub fn announce<M: Send + 'static>(&mut self, name: &'static str, bound: usize) -> Inbox<M> {
        let (sender, receiver) = inbox::<M>(bound);
        let previous = self.senders.insert(name, Arc::new(sender));
        assert!(previous.is_none(), "service {name} is announced twice");
        receiver
    }

    /// Returns the sending end of a service's inbox, or `None` if the name is unknown or the message type differs.
    pub fn find<M: Send + 'static>(&self, name: &str) -> Option<InboxSender<M>> {
        self.senders.get(name)?.downcast_ref::<InboxSender<M>>().cloned()
    }

    /// Returns the names of all announced services, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        self.senders.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SendError;

    #[test]
    fn a_service_is_found_by_name_and_type_and_its_full_inbox_rejects_messages() {
        let mut directory = Directory::default();
        let mut inbox = directory.announce::<u32>("counter", 1);
        assert!(directory.find::<String>("counter").is_none());
        let sender = directory.find::<u32>("counter").unwrap();
        assert_eq!(sender.send(7), Ok(()));
        assert_eq!(sender.send(8), Err(SendError::Full(8)));
        assert_eq!((sender.refused(), sender.depth(), inbox.ready()), (1, 1, Some(7)));
    }

    #[test]
    fn the_inbox_of_an_ended_service_rejects_messages_as_closed_and_not_as_full() {
        let mut directory = Directory::default();
        let inbox = directory.announce::<u32>("counter", 1);
        let sender = directory.find::<u32>("counter").unwrap();
        drop(inbox);
        assert_eq!((sender.send(7), sender.refused()), (Err(SendError::Closed(7)), 0));
    }
}
