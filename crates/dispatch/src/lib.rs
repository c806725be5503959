//! HTTP client that sends tasks to instances over pooled connections.
//!
//! A response is matched to its task by the request id that it echoes, and is accepted only if it is
//! complete. A connection carries the same id only once. Any other result is reported as what it is: rejected by the instance without running,
//! never sent, or in doubt. Tasks without an id each use a connection of their own.

#![warn(missing_docs)]

mod answer_memory;
mod chunked_body;
mod connection;
mod dispatcher;
mod forwarded_headers;
mod http_dialect;
mod instance_request;
mod keep_alive;
mod open_count;
mod order;
mod pool;
mod response;
mod sent_requests;

pub use answer_memory::{AnswerMemory, UNRESERVED_ANSWER_BYTES};
pub use dispatcher::{Dispatcher, ReportHandler, run, send_to_instance};
pub use forwarded_headers::{append_headers, forwarded_request_headers, forwarded_response_headers};
pub use http_dialect::HttpDialect;
pub use order::{DispatchOrder, DispatchOutcome, DispatchReport, DispatcherMessage};
pub use response::MAX_BODY_BYTES as MAX_ANSWER_BYTES;
