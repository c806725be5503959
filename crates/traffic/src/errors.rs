//! What may keep a router from running.

use derive_more::{Display, Error, From};
use http_server::TokensError;
use kernel::StartError;

#[derive(Debug, Display, Error, From)]
pub enum RunError {
    Start(StartError),
    Tokens(TokensError),
}
