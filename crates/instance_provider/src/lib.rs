//! Port to the platform that runs instances: the trait for starting, stopping and listing them, the service that
//! executes orders through it, and an implementation for heronlink's own HTTP API.

#![warn(missing_docs)]

mod http_caller;
mod own_provider;
mod port;
mod service;

pub use http_caller::HttpCaller;
pub use own_provider::OwnInstanceProvider;
pub use port::{
    Call, InstanceLine, InstanceProvider, InstanceState, Listing, ProviderFactory, StartOrder, StartReply, StopReply,
    WorkerLine,
};
pub use service::{ProviderOrder, ProviderReport, ReportCallback, run};
