//! The registry's settings.

use config::{address, address_or_none, any_value, identifier, in_range, non_empty, seed_addresses};
use http_server::check_tokens;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn folder(path: &Path) -> Result<(), String> {
    if path.as_os_str().is_empty() { Err("must not be empty".into()) } else { Ok(()) }
}

config::settings! {
    /// Settings of a registry.
    pub struct RegistrySettings {
        cluster: String = "heronlink".into(), identifier, "name of the cluster; frames and data files of another are refused";
        zone: String = "a".into(), identifier, "zone of this machine";
        address: String = String::new(), address, "IP address and port for other heronlink processes";
        api: String = String::new(), address, "IP address and port for operators (HTTP/1.1, JSON)";
        bind: String = String::new(), address_or_none, "IP address and port to listen at for other heronlink processes, if different from address";
        seeds: Vec<String> = Vec::new(), seed_addresses, "addresses of the founding registries, usually three, the same on all; a cluster is founded by all of them together, and any other registry joins it";
        losses: usize = 1, in_range(1, 4), "how many registries may lose their disks at once without losing anything acknowledged; the same on every registry";
        found: bool = true, any_value, "whether this registry may found a cluster together with the other seeds while all their disks are empty; if false, it only joins an existing one";
        data: PathBuf = PathBuf::new(), |path: &PathBuf| folder(path), "folder for the data file";
        tokens: Vec<String> = Vec::new(), check_tokens, "bearer tokens, tenant=SECRET or *=SECRET, separated by commas";
        hold: Duration = Duration::from_millis(1500), in_range(Duration::from_millis(500), Duration::from_secs(10)), "how long a lease proof is valid; the same on every machine";
        peer_hold: Duration = leases::DEFAULT_PEER_HOLD, in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long routers accept each other's proofs after the core's last one; a change waits at most this long for routers of its quorum that are gone; the same on every machine";
        grace: Duration = Duration::from_secs(4), in_range(Duration::from_secs(1), Duration::from_secs(120)), "maximum time that a planned stop waits until the other registries no longer need this one";
        call: Duration = Duration::from_secs(10), in_range(Duration::from_secs(1), Duration::from_secs(60)), "time after which an operator's call is answered with an unknown outcome";
        body: usize = 4 * 1024 * 1024, in_range(1024, 5 * 1024 * 1024), "maximum body size of an operator's call in bytes";
        solve: Duration = Duration::from_millis(1000), in_range(Duration::from_millis(10), Duration::from_secs(10)), "maximum time for solving one headcount plan";
        step: Duration = Duration::from_secs(15), in_range(Duration::from_millis(250), Duration::from_secs(600)), "length of one step of samples and plans; the same on every machine";
        fits: f64 = 8.0, in_range(0.0, 1000.0), "maximum number of forecast fits per second; without a fit the last value is repeated";
        plans: bool = true, any_value, "whether this registry makes plans while it hosts the optimizer; if false, the functions' owners use their fallback";
        tuning: bool = true, any_value, "whether this registry tunes weight sheets by measurements while it hosts the optimizer";
        tokens_file: PathBuf = PathBuf::new(), any_value, "file with more bearer tokens, one per line, so that none need appear on a command line";
        show: bool = false, any_value, "print the configuration stored in the data folder and exit without serving or changing anything";
        format: u16 = wire::FORMAT, in_range(wire::OLDEST_FORMAT, wire::FORMAT), "format of the frames that are sent; set the previous one during a rolling update from a version that does not know the newest";
        log_level: String = "info".into(), |level: &String| one_of_levels(level), "error, warn, info, debug or trace";
        log_file: String = String::new(), any_value, "log file, rotated by size; empty for standard error";
    }
}

fn one_of_levels(level: &str) -> Result<(), String> {
    non_empty(&level.to_owned())?;
    let known = ["error", "warn", "info", "debug", "trace"].contains(&level);
    if known { Ok(()) } else { Err("allowed are error, warn, info, debug, trace".into()) }
}
