//! Supply of instances: the port through which the product starts, stops and lists them at whoever
//! runs them, the service that carries orders to it, and the provider of the product's own dialect.

#![warn(missing_docs)]

mod caller;
mod own;
mod port;
mod service;

pub use caller::HttpCaller;
pub use own::OwnInstanceProvider;
pub use port::{
    Call, InstanceLine, InstanceProvider, InstanceState, Listing, ProviderFactory, StartOrder, StartReply, StopReply,
    WorkerLine,
};
pub use service::{ProviderOrder, ProviderReport, ReportCallback, run};
