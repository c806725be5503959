//! What the machine tells of a process: processor time by thread, memory, bytes written to files.

use std::collections::BTreeMap;
use std::fs;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// Seconds of processor time by thread name.
    pub threads: BTreeMap<String, f64>,
    pub resident_mb: f64,
    pub peak_mb: f64,
    /// Bytes of file writes the process asked for, and those that went on to the disk.
    pub asked_bytes: u64,
    pub disk_bytes: u64,
    pub sockets: usize,
}

impl Usage {
    pub fn of(pid: u32) -> Usage {
        let read = |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let (status, io) = (read("status"), read("io"));
        let mut threads: BTreeMap<String, f64> = BTreeMap::new();
        for task in fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
            let read = |name: &str| fs::read_to_string(task.path().join(name)).unwrap_or_default();
            let name = read("comm").trim().to_owned();
            *threads.entry(name).or_default() += nanoseconds(&read("schedstat")) as f64 / 1e9;
        }
        let links = fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        let is_socket = |entry: &fs::DirEntry| {
            fs::read_link(entry.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
        };
        Usage {
            threads,
            resident_mb: field(&status, "VmRSS:") as f64 / 1024.0,
            peak_mb: field(&status, "VmHWM:") as f64 / 1024.0,
            asked_bytes: field(&io, "wchar:"),
            disk_bytes: field(&io, "write_bytes:"),
            sockets: links.filter(is_socket).count(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.threads.values().sum()
    }
}

/// The number after a field's name in a page of `name: number` lines, zero where there is none.
pub fn field(page: &str, name: &str) -> u64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn nanoseconds(schedstat: &str) -> u64 {
    schedstat.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Memory of the machine in megabytes.
pub fn memory_mb() -> u64 {
    field(&fs::read_to_string("/proc/meminfo").unwrap_or_default(), "MemTotal:") / 1024
}

/// How many files and sockets this process may hold open.
pub fn files_allowed() -> u64 {
    let page = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|word| word.parse().ok()).unwrap_or(1024)
}
