//! What may keep a registry from running.

use chain::StoreFault;
use derive_more::{Display, Error, From};
use doors::TokensFault;
use kernel::StartFault;
use std::io;
use std::path::PathBuf;

#[derive(Debug, Display, Error, From)]
pub enum RunFault {
    #[from]
    Start(StartFault),
    #[from]
    Tokens(TokensFault),
    #[display("{}: there is no data file", path.display())]
    NoFile { path: PathBuf },
    #[display("data folder {}: {fault}", path.display())]
    Folder { path: PathBuf, fault: io::Error },
    #[display("{}: {fault}; it is left as it is", path.display())]
    Store { path: PathBuf, fault: StoreFault },
    #[display("the disk's thread: {_0}")]
    Disk(io::Error),
    #[display("cannot print: {_0}")]
    Print(io::Error),
}
