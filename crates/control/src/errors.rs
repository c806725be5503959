//! What may keep a registry from running.

use chain::StoreError;
use derive_more::{Display, Error, From};
use http_server::TokensError;
use kernel::StartError;
use std::io;
use std::path::PathBuf;

#[derive(Debug, Display, Error, From)]
pub enum RunError {
    #[from]
    Start(StartError),
    #[from]
    Tokens(TokensError),
    #[display("{}: there is no data file", path.display())]
    NoFile { path: PathBuf },
    #[display("data folder {}: {fault}", path.display())]
    Folder { path: PathBuf, fault: io::Error },
    #[display("{}: {fault}; it is left as it is", path.display())]
    Store { path: PathBuf, fault: StoreError },
    #[display("the disk's thread: {_0}")]
    Disk(io::Error),
    #[display("cannot print: {_0}")]
    Print(io::Error),
}
