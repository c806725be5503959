//! Numbered log events: every log line of a daemon is one of these. `docs/events.md` lists the same numbers
//! with their meaning for an operator.

#![warn(missing_docs)]

mod list;
mod setup;

pub use list::{EVENTS, Event};
pub use setup::{SetupError, setup};

/// Writes the log line of an event; call it through [`event!`].
pub fn emit(event: &Event, detail: std::fmt::Arguments<'_>) {
    log::log!(target: "heronlink", event.level, "E{:04} {}: {detail}", event.number, event.title);
}

/// Logs a numbered event, with an optional detail formatted as in `format!`.
#[macro_export]
macro_rules! event {
    ($event:ident) => { $crate::emit(&$crate::EVENTS.$event, format_args!("-")) };
    ($event:ident, $($detail:tt)+) => { $crate::emit(&$crate::EVENTS.$event, format_args!($($detail)+)) };
}
