//! The operators' client as a library: one call to a registry's or router's HTTP API.

#![warn(missing_docs)]

mod client;
mod folder;

pub use client::{Answer, Call, CallError, send_call, watch};
pub use folder::{Declared, FolderError, differences, document, read, resources};
