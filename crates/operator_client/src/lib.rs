//! The operators' client as a library: one call to a registry's or router's HTTP API.

#![warn(missing_docs)]

mod client;
mod declarations;

pub use client::{Answer, Call, CallError, send_call, watch};
pub use declarations::{DeclarationError, Declarations, differences, from_document, read_declarations, to_document};
