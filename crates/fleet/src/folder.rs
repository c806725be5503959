//! The folder of a fleet: only one fleet at a time uses it, and a fleet starts only after the processes of the
//! previous one have closed their data files.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const LOCK_FILE: &str = "fleet.lock";
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a folder cannot be used.
#[derive(Debug)]
pub enum FolderError {
    /// Another fleet uses the folder.
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
                write!(f, "{} is in use by another fleet; stop that fleet or choose another --folder", folder.display())
            }
            FolderError::DataFileLocked { file, waited } => write!(
                f,
                "{} is still open in a registry of an earlier fleet after {} s; stop that process",
                file.display(),
                waited.as_secs()
            ),
            FolderError::File { file, error } => write!(f, "{}: {error}", file.display()),
        }
    }
}

/// Exclusive lock on a folder, held until it is dropped.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

impl FolderLock {
    /// Locks the folder; fails if another fleet has locked it.
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

/// Waits until no process has any of these data files open. Files that do not exist yet count as closed.
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
