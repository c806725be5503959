//! Numbered events: every log line a daemon writes is one of these, and `docs/events.md` lists
//! the same numbers with what an operator should make of them.

#![warn(missing_docs)]

mod list;
mod setup;

pub use list::{EVENTS, Event};
pub use setup::{SetupError, setup};

/// Writes an event's line; use [`event!`].
pub fn emit(event: &Event, detail: std::fmt::Arguments<'_>) {
    log::log!(target: "heronlink", event.level, "E{:04} {}: {detail}", event.number, event.title);
}

/// Writes a numbered event, with a detail as in `format!` if one is given.
#[macro_export]
macro_rules! event {
    ($event:ident) => { $crate::emit(&$crate::EVENTS.$event, format_args!("-")) };
    ($event:ident, $($detail:tt)+) => { $crate::emit(&$crate::EVENTS.$event, format_args!($($detail)+)) };
}
