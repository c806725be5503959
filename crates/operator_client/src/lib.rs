//! Library of the operators' client: calls to the HTTP API of a registry or router, and declarations in files.

#![warn(missing_docs)]

mod client;
mod declarations;

pub use client::{Answer, Call, CallError, send_call, watch};
pub use declarations::{DeclarationError, Declarations, differences, from_document, read_declarations, to_document};
