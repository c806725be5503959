//! Two fleets in one folder, and data files that processes of an earlier fleet still have open.

use super::*;

fn create_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heronlink-fleet-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(work)
}

#[test]
fn folder_is_refused_while_another_fleet_uses_it() {
    let folder = create_folder("in-use");
    let first = FolderLock::acquire(&folder).unwrap();
    let refused = FolderLock::acquire(&folder).unwrap_err().to_string();
    assert!(refused.contains("in use by another fleet"), "{refused}");
    drop(first);
    assert!(FolderLock::acquire(&folder).is_ok());
}

#[test]
fn locked_data_file_is_awaited_and_named_on_timeout() {
    let folder = create_folder("locked");
    let path = folder.join("registry.redb");
    let missing = folder.join("none.redb");
    let file = File::create(&path).unwrap();
    file.lock().unwrap();
    let files = [missing, path.clone()];
    let error = block_on(wait_for_data_files(&files, Duration::from_millis(120))).unwrap_err().to_string();
    assert!(error.contains("registry.redb is still open"), "{error}");
    let unlocked = async {
        sleep(Duration::from_millis(80)).await;
        drop(file);
    };
    let (waited, ()) = block_on(async { tokio::join!(wait_for_data_files(&files, Duration::from_secs(60)), unlocked) });
    assert!(waited.is_ok());
}
