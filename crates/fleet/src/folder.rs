//! The folder of a fleet: one fleet at a time uses it, and a fleet starts only once the processes of the one
//! before it have let go of their data files.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const LOCK_FILE: &str = "fleet.lock";
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a folder cannot be used.
#[derive(Debug)]
pub enum FolderError {
    /// Another fleet runs in it.
    InUse { folder: PathBuf },
    /// A process of an earlier fleet still has a data file open.
    DataFileLocked { file: PathBuf, waited: Duration },
    /// A file cannot be opened or locked.
    File { file: PathBuf, error: std::io::Error },
}

impl std::fmt::Display for FolderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FolderError::InUse { folder } => {
                write!(f, "{} is in use by another fleet; end that one or give another --folder", folder.display())
            }
            FolderError::DataFileLocked { file, waited } => write!(
                f,
                "{} is still open in a registry of an earlier fleet after {} s; end that process",
                file.display(),
                waited.as_secs()
            ),
            FolderError::File { file, error } => write!(f, "{}: {error}", file.display()),
        }
    }
}

/// The right to use a folder, for as long as it is kept.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Takes the right, unless another fleet has it.
    pub fn acquire(folder: &Path) -> Result<FolderLock, FolderError> {
        let path = folder.join(LOCK_FILE);
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
        let file = file.map_err(|error| FolderError::File { file: path.clone(), error })?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(FolderError::InUse { folder: folder.to_owned() }),
            Err(TryLockError::Error(error)) => Err(FolderError::File { file: path, error }),
        }
    }
}

/// Waits until no process has any of these data files open. Files that are not there yet are free.
pub async fn wait_for_data_files(files: &[PathBuf], timeout: Duration) -> Result<(), FolderError> {
    let started = Instant::now();
    for path in files {
        while is_locked(path)? {
            let waited = started.elapsed();
            if waited >= timeout {
                return Err(FolderError::DataFileLocked { file: path.clone(), waited });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn is_locked(path: &Path) -> Result<bool, FolderError> {
    let file = match OpenOptions::new().read(true).write(true).open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(FolderError::File { file: path.to_owned(), error }),
    };
    match file.try_lock() {
        Ok(()) => Ok(false),
        Err(TryLockError::WouldBlock) => Ok(true),
        Err(TryLockError::Error(error)) => Err(FolderError::File { file: path.to_owned(), error }),
    }
}

#[cfg(test)]
#[path = "folder_tests.rs"]
mod folder_tests;
