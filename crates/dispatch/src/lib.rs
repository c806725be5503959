//! Sending tasks to instances over connections that are kept. An answer is matched to its task by
//! the id it echoes and is believed only whole; whatever falls short of that is told as it is: not
//! run by the instance's own word, never sent, or in doubt. Where tasks carry no id, each has a
//! connection of its own.

#![warn(missing_docs)]

mod answer;
mod connection;
mod dispatcher;
mod head;
mod instance_request;
mod order;
mod pool;
mod words;

pub use dispatcher::{Dispatcher, Report, run, send_to_instance};
pub use head::{answer_lines, fill, lines};
pub use order::{DispatchOrder, DispatchOutcome, DispatchReport, DispatcherMessage};
pub use words::Words;
