//! Settings of a router.

use crate::allowances::Allowances;
use crate::owner_settings::OwnerSettings;
use config::{address, address_or_none, any_value, identifier, in_range, seed_addresses};
use http_server::check_tokens;
use quota::QuotaBounds;
use std::path::PathBuf;
use std::time::Duration;
use wire::Capacity;

config::settings! {
    pub struct RouterSettings {
        cluster: String = "heronlink".into(), identifier, "name of the cluster; frames of another are refused";
        zone: String = "a".into(), identifier, "zone of this machine";
        address: String = String::new(), address, "IP address and port for links from other heronlink processes";
        listen: String = String::new(), address, "IP address and port for callers (HTTP/1.1)";
        ops: String = String::new(), address, "IP address and port for health, metrics and the status page";
        bind: String = String::new(), address_or_none, "IP address and port to listen at for other heronlink processes, if not `address` itself";
        seeds: Vec<String> = Vec::new(), seed_addresses, "addresses of three registries";
        platform: String = String::new(), address, "IP address and port of the platform's API";
        hold: Duration = Duration::from_millis(1500), in_range(Duration::from_millis(500), Duration::from_secs(10)), "how long a proof of revision lasts; must be the same on every machine";
        peer_hold: Duration = leases::DEFAULT_PEER_HOLD, in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long this router may serve on proofs from peers after the last proof from the registries; must be the same on every machine";
        connections: usize = 4096, in_range(1, 65_536), "maximum number of concurrent connections from callers";
        head_bytes: usize = 16 * 1024, in_range(8192, 256 * 1024), "maximum size of a request head in bytes";
        headers: usize = 64, in_range(8, 256), "maximum number of headers of a request";
        body: usize = 256 * 1024, in_range(0, 4 * 1024 * 1024), "maximum size of a request body in bytes";
        head_time: Duration = Duration::from_secs(20), in_range(Duration::from_millis(100), Duration::from_secs(60)), "time limit for a request head, and for the idle time before it";
        body_time: Duration = Duration::from_secs(4), in_range(Duration::from_millis(100), Duration::from_secs(60)), "time limit for a request body";
        life: Duration = Duration::from_secs(600), in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "maximum lifetime of a connection";
        grace: Duration = Duration::from_secs(8), in_range(Duration::from_secs(1), Duration::from_secs(120)), "time limit for a planned stop, in which requests in progress are finished";
        tokens: Vec<String> = Vec::new(), check_tokens, "bearer tokens for the views of kinds, tenant=SECRET or *=SECRET, separated by commas";
        tokens_file: PathBuf = PathBuf::new(), any_value, "file with more bearer tokens, one per line, so that none need be given on a command line";
        processor_share: f64 = 1.0, in_range(0.001, 4096.0), "processor cores that this router may use; routers with fewer cores own fewer functions";
        link_mbps: f64 = 1000.0, in_range(0.01, 1_000_000.0), "network bandwidth of this machine in Mbit/s; routers with less bandwidth own fewer functions";
        list_every: Duration = Duration::from_millis(1000), in_range(Duration::from_millis(100), Duration::from_secs(30)), "interval at which the platform's list of instances is read";
        starts_per_second: f64 = 64.0, in_range(0.1, 10_000.0), "instance starts per second over all routers; set it below what the platform accepts";
        start_gb_seconds: f64 = 0.2, in_range(0.0, 1000.0), "cost of one instance start, in gigabyte-seconds of memory; an idle instance is kept while that costs less than a start";
        zone_losses: u32 = 1, in_range(0, 16), "number of zones whose simultaneous loss must be tolerated; with 0, instances run in the zone of their function's owner";
        retry_ratio: f64 = 0.2, in_range(0.0, 10.0), "retries allowed per request of a function, over all routers, in any retry window";
        retry_slack: usize = 60, in_range(0, 1_000_000), "additional retries allowed per function and retry window";
        retry_window: Duration = Duration::from_secs(10), in_range(Duration::from_secs(1), Duration::from_secs(600)), "length of the retry window";
        key_window: Duration = Duration::from_secs(1800), in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "minimum time for which requests with the same run-once key count as one operation; must be the same on every machine";
        recorded_answer_bytes: usize = 8 * 1024 * 1024, in_range(0, 8 * 1024 * 1024), "maximum size in bytes of an answer under a run-once key that the registries record; a larger answer is kept only by the function's owner, and a repeated request that does not find it there is answered that the outcome is unknown";
        turned_most: usize = 11, in_range(0, 1_000_000), "maximum number of requests that the instances of one function may reject in any five seconds";
        quota_window: Duration = Duration::from_secs(5), in_range(Duration::from_secs(1), Duration::from_secs(600)), "window in which the requests of a consumer with a limit are counted, over all routers; must be the same on every machine";
        quota_overrun: f64 = 0.1, in_range(0.0, 10.0), "fraction of its limit by which a consumer's requests in a window may exceed it";
        quota_slack: f64 = 20.0, in_range(0.0, 1_000_000.0), "additional number of requests by which they may exceed it";
        step: Duration = Duration::from_secs(15), in_range(Duration::from_millis(250), Duration::from_secs(600)), "length of one step of samples and plans; must be the same on every machine";
        format: u16 = wire::FORMAT, in_range(wire::OLDEST_FORMAT, wire::FORMAT), "format version of sent frames; use the previous one during a rolling update from a version that does not know this one";
        memory_mb: usize = 256, in_range(32, 1_048_576), "memory that this process may take in megabytes; it bounds the connections of callers and what is held of requests and answers";
        file_descriptors: usize = 0, in_range(0, 1_048_576), "descriptors that this process may open, 0 for as many as the system lets it; callers' connections take at most half of them";
        log_level: String = "info".into(), identifier, "error, warn, info, debug or trace";
        log_file: String = String::new(), any_value, "log file, rotated by size; empty for standard error";
    }
}

impl RouterSettings {
    /// Returns the capacity by which functions are distributed over routers.
    pub fn capacity(&self) -> Capacity {
        let milli = |of: f64| (of * 1000.0).round() as u32;
        Capacity { processor_milli: milli(self.processor_share), link_kbit: milli(self.link_mbps) }
    }

    /// Returns the bounds on the error with which consumers' limits are kept.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds { window: self.quota_window, overrun: self.quota_overrun, slack: self.quota_slack }
    }

    /// Returns the settings of the function owner.
    pub fn owner_settings(&self) -> OwnerSettings {
        OwnerSettings {
            starts_per_second: self.starts_per_second,
            start_gb_seconds: self.start_gb_seconds,
            tolerated_zone_losses: self.zone_losses,
            sample_interval: self.step,
            list_interval: self.list_every,
            allowances: self.allowances(),
            key_window: self.key_window,
            recorded_answer_bytes: self.recorded_answer_bytes,
            claims_for_ticks: self.format >= wire::KEY_WINDOW_FORMAT,
            ..OwnerSettings::default()
        }
    }

    /// Returns the limits on retries and rejections.
    pub fn allowances(&self) -> Allowances {
        Allowances {
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: self.retry_window,
            max_rejections: self.turned_most,
            ..Allowances::default()
        }
    }
}
