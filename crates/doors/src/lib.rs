//! The doors: HTTP/1.1 connections taken in within bounds, the bearer tokens that scope what is seen,
//! and the pages every node has alike: its view of the declared kinds, and a live watch of it.

#![warn(missing_docs)]

mod kinds;
mod serve;
mod shelf;
mod tokens;
mod views;

pub use kinds::kinds;
pub use serve::{DoorLimits, serve, serve_within};
pub use shelf::{Filter, Shelf, in_scope};
pub use tokens::{Tokens, TokensFault, well_formed};
pub use views::{Views, views};
