//! Errors that prevent a router from running.

use derive_more::{Display, Error, From};
use http_server::TokensError;
use kernel::StartError;

/// Reason why a router could not start.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The process could not be set up.
    Start(StartError),
    /// The bearer tokens could not be loaded.
    Tokens(TokensError),
}
