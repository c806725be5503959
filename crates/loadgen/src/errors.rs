//! What may keep the load generator or the checker from its work.

use crate::replay::ReplayError;
use derive_more::{Display, Error, From};
use std::io;
use std::path::{Path, PathBuf};

#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    #[display("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    #[display("{}: {error}: {line}", path.display())]
    Line { path: PathBuf, error: serde_json::Error, line: String },
    #[display("no runtime: {_0}")]
    Runtime(io::Error),
    #[display("more than {_0} tasks are open at once; the load ends here")]
    #[from(ignore)]
    TooManyOpen(#[error(not(source))] usize),
    #[display("the load broke off: {_0}")]
    TaskFailed(tokio::task::JoinError),
    #[from]
    Replay(ReplayError),
}

pub fn file_error(path: &Path) -> impl Fn(io::Error) -> ToolError {
    move |error| ToolError::File { path: path.to_owned(), error }
}
