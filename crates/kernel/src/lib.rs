//! Parts that every program is built from: services announce an inbox under a name, and others find it by that
//! name. Every inbox is bounded; a full one rejects a message immediately and counts the rejection.

#![warn(missing_docs)]

mod descriptors;
mod directory;
mod inbox;
mod program;
mod settings_watch;
mod silence;

pub use descriptors::descriptor_limit;
pub use directory::Directory;
pub use inbox::{Inbox, InboxSender, SendError, inbox};
pub use program::{StartError, adopt, find, join_until, listen, listen_address, local, thread, wait_for_signal};
pub use settings_watch::watch_settings;
pub use silence::set_silence_timeout;
