//! Size of the data file under many complete configurations: it depends on what is kept, not on how much was ever
//! written, and stays far below the 64 MB of a small machine's disk.

use chain::{ChainReplica, Input, Output, Store, Timing};
use control::apply;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wire::{Command, ConfigurationItem, NodeAddress, ProposalId, to_bytes};

const ROUTES: usize = 3000;
const FUNCTIONS: usize = 158;
const CHANGES: u64 = 30;
const DISK_BYTES: u64 = 64 * 1024 * 1024;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("heronlink-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn file_bytes(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}

/// A single registry with the real state machine and the real data file.
struct Registry {
    replica: ChainReplica,
    store: Store,
    now: Duration,
    proposal_count: u64,
}

impl Registry {
    fn open(path: &Path) -> Registry {
        let node = NodeAddress { id: 5, address: "127.0.0.1:1".into() };
        let (store, stored) = Store::open(path, "posta", node.clone()).unwrap();
        let replica = ChainReplica::new(node, stored, Timing::default(), apply, Duration::ZERO).with_founders(1);
        let mut registry = Registry { replica, store, now: Duration::ZERO, proposal_count: 0 };
        (0..20).for_each(|_| registry.tick());
        registry
    }

    fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.replica.step(self.now, input) {
                match output {
                    Output::Write { ticket, batch } => {
                        self.store.write(&batch).unwrap();
                        inputs.push(Input::Written { ticket });
                    }
                    Output::SendSeeds { message } => inputs.push(Input::Message { from: 5, message }),
                    _ => {}
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(100);
        self.step(Input::Tick);
    }

    fn propose(&mut self, command: &Command) {
        self.proposal_count += 1;
        let op = ProposalId { origin: 5, number: self.proposal_count };
        self.step(Input::Propose { op, body: to_bytes(command) });
        self.tick();
    }

    fn change(&mut self, number: u64) {
        let bindings = (0..ROUTES).map(|route| binding(route, 1000 + number));
        let items: Vec<ConfigurationItem> = (0..FUNCTIONS).map(function).chain(bindings).collect();
        let op = format!("change {number}").as_str().into();
        let command = Command::Declare {
            op,
            base: 0,
            is_any_base: 1,
            replaces_scope: 1,
            revision: 0,
            scope: "main".into(),
            items: items.into(),
        };
        self.propose(&command);
        self.propose(&Command::Activate { epoch: number });
    }
}

fn function(number: usize) -> ConfigurationItem {
    let value = r#"{"memory_mb":768,"boot_ms":1400,"instance_limit":6,"connections":106,"notes":{}}"#;
    ConfigurationItem {
        key: format!("functions/main/s{number}").as_str().into(),
        is_removed: 0,
        value: value.as_bytes().to_vec().into(),
    }
}

fn binding(route: usize, deadline: u64) -> ConfigurationItem {
    let value = format!(
        r#"{{"host":"h{}.example","route":"/gowu{route}/fi14/","function":"s{}","class":"ordinary","deadline_ms":{deadline},"aim_ms":300,"attempts":2,"rank":2,"declared":true,"notes":{{"fields":{{"name":"r-{route}"}},"place":[7,{route}]}}}}"#,
        route % 7,
        route % FUNCTIONS
    );
    ConfigurationItem {
        key: format!("function-bindings/main/r-{route}").as_str().into(),
        is_removed: 0,
        value: value.into_bytes().into(),
    }
}

#[test]
fn the_data_file_stays_far_below_the_disk_size_after_many_complete_configurations() {
    let folder = folder("disk-bound");
    let path = folder.join("registry.redb");
    let mut registry = Registry::open(&path);
    let mut largest_bytes = 0;
    for number in 1..=CHANGES {
        registry.change(number);
        largest_bytes = largest_bytes.max(file_bytes(&path));
        if number % 10 == 0 {
            println!("{number} changes: {} KB", file_bytes(&path) / 1024);
        }
    }
    assert_eq!(control::read_number(registry.replica.state(), "c/revision"), CHANGES, "all changes were accepted");
    assert!(largest_bytes < DISK_BYTES / 2, "the file grew to {largest_bytes} bytes");
    let state = registry.replica.state().clone();
    drop(registry);
    let reopened = Registry::open(&path);
    assert!(
        reopened.replica.state().ptr_eq(&state) || *reopened.replica.state() == state,
        "the reopened state equals the last one"
    );
    let _ = std::fs::remove_dir_all(folder);
}
