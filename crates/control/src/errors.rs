//! Errors that prevent a registry from running.

use chain::StoreError;
use derive_more::{Display, Error, From};
use http_server::TokensError;
use kernel::StartError;
use std::io;
use std::path::PathBuf;

/// Reason why a registry could not start, or could not print its configuration.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// A listener or a thread could not be started.
    #[from]
    Start(StartError),
    /// The bearer tokens could not be read.
    #[from]
    Tokens(TokensError),
    /// The data file does not exist.
    #[display("{}: the data file does not exist", path.display())]
    NoFile { path: PathBuf },
    /// The data folder could not be created.
    #[display("data folder {}: {fault}", path.display())]
    Folder { path: PathBuf, fault: io::Error },
    /// The data file could not be opened.
    #[display("cannot open {}: {fault}; the file is left unchanged", path.display())]
    Store { path: PathBuf, fault: StoreError },
    /// The disk thread could not be started.
    #[display("cannot start the disk thread: {_0}")]
    Disk(io::Error),
    /// The configuration could not be printed.
    #[display("cannot print: {_0}")]
    Print(io::Error),
}
