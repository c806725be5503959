//! The one adapter to the platform that runs instances: starting, stopping and listing, over
//! HTTP/1.1 with JSON. Another platform means another body for this crate and nothing else.

mod client;
mod watcher;

pub use client::{Client, InstanceLine, Listing, StartReceipt};
pub use watcher::{PlatformOrder, PlatformReport, Probe, run};
