//! Directory of services by name. It is filled while a program is set up and then cloned into each thread;
//! announcing a name twice is a programming error and panics.

use crate::inbox::{Inbox, InboxSender, inbox};
use std::any::Any;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maps service names to the sending ends of their inboxes. Cheap to clone.
#[derive(Clone, Default)]
pub struct Directory {
    posts: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
}

impl Directory {
    /// Creates the inbox of a service, with space for `bound` messages. Panics if the name is already announced.
    pub fn announce<M: Send + 'static>(&mut self, name: &'static str, bound: usize) -> Inbox<M> {
        let (post, taken) = inbox::<M>(bound);
        let before = self.posts.insert(name, Arc::new(post));
        assert!(before.is_none(), "service {name} is announced twice");
        taken
    }

    /// Returns the sending end of a service's inbox, or `None` if the name is unknown or the message type differs.
    pub fn find<M: Send + 'static>(&self, name: &str) -> Option<InboxSender<M>> {
        self.posts.get(name)?.downcast_ref::<InboxSender<M>>().cloned()
    }

    /// Returns the names of all announced services, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        self.posts.keys().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SendError;

    #[test]
    fn a_service_is_found_by_name_and_type_and_its_inbox_refuses_past_its_bound() {
        let mut directory = Directory::default();
        let mut inbox = directory.announce::<u32>("counter", 1);
        assert!(directory.find::<String>("counter").is_none());
        let post = directory.find::<u32>("counter").unwrap();
        assert_eq!(post.send(7), Ok(()));
        assert_eq!(post.send(8), Err(SendError::Full(8)));
        assert_eq!((post.refused(), post.depth(), inbox.ready()), (1, 1, Some(7)));
    }
}
