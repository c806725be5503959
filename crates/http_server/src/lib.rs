//! The doors: HTTP/1.1 connections taken in within bounds, the bearer tokens that scope what is seen,
//! and the pages every node has alike: its view of the declared kinds, and a live watch of it.

#![warn(missing_docs)]

mod kinds;
mod resource_index;
mod serve;
mod tokens;
mod views;

pub use kinds::kinds;
pub use resource_index::{Filter, ResourceIndex, in_scope};
pub use serve::{ServerLimits, serve, serve_within};
pub use tokens::{Tokens, TokensError, well_formed};
pub use views::{Views, views};
