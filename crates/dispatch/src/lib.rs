//! Sending tasks to instances over connections that are kept. An answer is matched to its task by
//! the id it echoes and is believed only whole; whatever falls short of that is told as it is: not
//! run by the instance's own word, never sent, or in doubt. Where tasks carry no id, each has a
//! connection of its own.

#![warn(missing_docs)]

mod connection;
mod dispatcher;
mod forwarded_headers;
mod http_dialect;
mod instance_request;
mod order;
mod pool;
mod response;

pub use dispatcher::{Dispatcher, ReportHandler, run, send_to_instance};
pub use forwarded_headers::{append_headers, forwarded_request_headers, forwarded_response_headers};
pub use http_dialect::HttpDialect;
pub use order::{DispatchOrder, DispatchOutcome, DispatchReport, DispatcherMessage};
