//! Supply of instances: starting, stopping and listing them at whoever runs them, over
//! HTTP/1.1 with JSON in the product's own dialect. Another supplier fills the same port.

mod client;
mod watcher;

pub use client::{Client, InstanceLine, Listing, StartReceipt};
pub use watcher::{Probe, SupplyOrder, SupplyReport, run};
