//! Errors that prevent a router from running.

use derive_more::{Display, Error, From};
use http_server::TokensError;
use kernel::StartError;

/// Reason why a router could not start, or ended by itself.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The process could not be set up.
    Start(StartError),
    /// The bearer tokens could not be loaded.
    Tokens(TokensError),
    /// A thread ended although the router was not told to stop.
    #[display("thread {name} ended by itself")]
    #[from(skip)]
    ThreadEnded {
        /// The thread's name.
        name: &'static str,
    },
}
