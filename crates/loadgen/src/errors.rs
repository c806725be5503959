//! Errors of the load generator and the checker.

use crate::replay::ReplayError;
use derive_more::{Display, Error, From};
use std::io;
use std::path::{Path, PathBuf};

/// Reason why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum ToolError {
    #[display("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    #[display("{}: {error}: {line}", path.display())]
    Line { path: PathBuf, error: serde_json::Error, line: String },
    #[display("cannot start the runtime: {_0}")]
    Runtime(io::Error),
    #[display("more than {_0} tasks are open at once; the load is stopped")]
    #[from(ignore)]
    TooManyOpen(#[error(not(source))] usize),
    #[display("a task of the load generator failed: {_0}")]
    TaskFailed(tokio::task::JoinError),
    #[from]
    Replay(ReplayError),
}

/// Returns a function that adds the path to an I/O error.
pub fn file_error(path: &Path) -> impl Fn(io::Error) -> ToolError {
    move |error| ToolError::File { path: path.to_owned(), error }
}
