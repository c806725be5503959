//! The doors: HTTP/1.1 connections taken in within bounds, the bearer tokens that scope what is seen,
//! and the pages every node has alike: its view of the declared kinds, and a live watch of it.

#![warn(missing_docs)]

mod resource_index;
mod serve;
mod tokens;
mod view_items;
mod views;

pub use resource_index::{Filter, ResourceIndex, in_scope};
pub use serve::{ServerLimits, serve, serve_with_dynamic_limits};
pub use tokens::{Tokens, TokensError, check_tokens};
pub use view_items::view_items;
pub use views::{Views, view_routes};
