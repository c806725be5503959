//! What may keep a router from running.

use derive_more::{Display, Error, From};
use doors::TokensFault;
use kernel::StartFault;

#[derive(Debug, Display, Error, From)]
pub enum RunFault {
    Start(StartFault),
    Tokens(TokensFault),
}
