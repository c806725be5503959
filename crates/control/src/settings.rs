//! The registry's settings.

use config::{address, address_or_none, any, in_range, non_empty, seeds, word};
use http_server::well_formed;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn folder(path: &Path) -> Result<(), String> {
    if path.as_os_str().is_empty() { Err("it must be given".into()) } else { Ok(()) }
}

config::settings! {
    pub struct RegistrySettings {
        cluster: String = "heronlink".into(), word, "name of the cluster; frames and data files of another are refused";
        zone: String = "a".into(), word, "zone this machine stands in";
        address: String = String::new(), address, "IP number and port for heronlink's own processes";
        api: String = String::new(), address, "IP number and port for operators (HTTP/1.1, JSON)";
        bind: String = String::new(), address_or_none, "where to listen for them, if not at that address itself";
        seeds: Vec<String> = Vec::new(), seeds, "addresses of the registries, the same on all; a cluster is founded by all of them, three as a rule, and whoever is not among them joins it";
        losses: usize = 1, in_range(1, 4), "how many registries may lose their disks at once with all that was acknowledged still kept; the same on every one of them";
        found: bool = true, any, "whether this registry may found a cluster together with the other seeds while all their disks are empty; without, it only ever joins one";
        data: PathBuf = PathBuf::new(), |path: &PathBuf| folder(path), "folder for the data file";
        tokens: Vec<String> = Vec::new(), well_formed, "bearer tokens, tenant=SECRET or *=SECRET, parted by commas";
        hold: Duration = Duration::from_millis(1500), in_range(Duration::from_millis(500), Duration::from_secs(10)), "how long a proof of revision lasts; the same on every machine";
        peer_hold: Duration = leases::DEFAULT_PEER_HOLD, in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long routers go by each other's word after the core's last; a change waits so long at most for routers of its quorum that are gone; the same on every machine";
        grace: Duration = Duration::from_secs(4), in_range(Duration::from_secs(1), Duration::from_secs(120)), "how long a planned stop may wait until the others can do without this registry";
        call: Duration = Duration::from_secs(10), in_range(Duration::from_secs(1), Duration::from_secs(60)), "how long an operator's call may take before its outcome is told as unknown";
        body: usize = 4 * 1024 * 1024, in_range(1024, 5 * 1024 * 1024), "longest body of an operator's call in bytes";
        solve: Duration = Duration::from_millis(1000), in_range(Duration::from_millis(10), Duration::from_secs(10)), "limit on one solve of a headcount plan";
        step: Duration = Duration::from_secs(15), in_range(Duration::from_millis(250), Duration::from_secs(600)), "one step of samples and plans; the same on every machine";
        fits: f64 = 8.0, in_range(0.0, 1000.0), "most fits of a forecast a second; without one the last value is repeated";
        plans: bool = true, any, "whether plans are made here when this registry is the optimizer's host; without, homes fall back";
        tuning: bool = true, any, "whether weight sheets are tuned by what is measured when this registry is the optimizer's host";
        tokens_file: PathBuf = PathBuf::new(), any, "file of more bearer tokens, one to a line, so that none need stand on a command line";
        show: bool = false, any, "print the configuration kept in the data folder and stop; nothing is served or changed";
        format: u16 = wire::FORMAT, in_range(wire::OLDEST_FORMAT, wire::FORMAT), "format in which frames are written; the one before while a fleet rolls from a version that knows no newer";
        log_level: String = "info".into(), |level: &String| one_of_levels(level), "error, warn, info, debug or trace";
        log_file: String = String::new(), any, "log file, rolled over by size; empty for standard error";
    }
}

fn one_of_levels(level: &str) -> Result<(), String> {
    non_empty(&level.to_owned())?;
    let known = ["error", "warn", "info", "debug", "trace"].contains(&level);
    if known { Ok(()) } else { Err("allowed are error, warn, info, debug, trace".into()) }
}
