//! Supply of instances: the port through which the product starts, stops and lists them at whoever
//! runs them, the service that carries orders to it, and the supplier of the product's own dialect.

#![warn(missing_docs)]

mod caller;
mod own;
mod port;
mod service;

pub use caller::Caller;
pub use own::OwnSupplier;
pub use port::{
    Call, InstanceLine, InstanceState, Listing, Start, StartOrder, StartReceipt, StopReceipt, Supplier, WorkerLine,
};
pub use service::{Report, SupplyOrder, SupplyReport, run};
