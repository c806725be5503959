//! A fleet that is started again in the same folder.

use super::*;

fn create_folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("heronlink-ports-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A single test, because two running in parallel would reserve the same ports.
#[test]
fn ports_of_the_previous_fleet_are_reused_unless_one_is_in_use() {
    let folder = create_folder("again");
    let first = reserve_ports(&folder, 5).unwrap();
    assert_eq!(first.iter().collect::<BTreeSet<_>>().len(), 5);
    assert_eq!(reserve_ports(&folder, 5).unwrap(), first);
    let more = reserve_ports(&folder, 8).unwrap();
    assert_eq!((more.len(), &more[..5]), (8, &first[..]));
    let _other = TcpListener::bind(&first[1]).unwrap();
    let second = reserve_ports(&folder, 3).unwrap();
    assert!(!second.contains(&first[1]), "{second:?}");
}
