//! The operators' client as a library: one call to a registry's or router's HTTP API.

mod client;

pub use client::{Answer, Call, ask, watch};
