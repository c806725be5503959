//! HTTP server parts shared by all programs: serving HTTP/1.1 connections within limits, shedding those of idle or slow
//! clients when connections or memory run short, bearer tokens that
//! limit what a reader sees, and each node's view of the declared kinds, with a live watch of it.

#![warn(missing_docs)]

mod connection;
mod resource_index;
mod serve;
mod shedding;
mod tokens;
mod view_items;
mod views;

pub use connection::{ConnectionHandle, Phase};
pub use resource_index::{Filter, ResourceIndex, in_scope};
pub use serve::{DynamicLimits, ServerLimits, serve, serve_with_dynamic_limits};
pub use shedding::{Shortage, ShortageReporter, Shortages, shortages};
pub use tokens::{Tokens, TokensError, check_tokens};
pub use view_items::view_items;
pub use views::{Views, view_routes};
