//! The router's settings.

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
        zone: String = "a".into(), identifier, "zone this machine stands in";
        address: String = String::new(), address, "IP number and port for heronlink's own processes";
        listen: String = String::new(), address, "IP number and port for callers (HTTP/1.1)";
        ops: String = String::new(), address, "IP number and port for health, metrics and this node's view";
        bind: String = String::new(), address_or_none, "where to listen for them, if not at that address itself";
        seeds: Vec<String> = Vec::new(), seed_addresses, "addresses of three registries";
        platform: String = String::new(), address, "IP number and port of the platform's API";
        hold: Duration = Duration::from_millis(1500), in_range(Duration::from_millis(500), Duration::from_secs(10)), "how long a proof of revision lasts; the same on every machine";
        peer_hold: Duration = leases::DEFAULT_PEER_HOLD, in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long this router goes by its peers' word after the core's last; the same on every machine";
        connections: usize = 4096, in_range(1, 65_536), "most connections of callers at once";
        head_bytes: usize = 16 * 1024, in_range(8192, 256 * 1024), "longest head of a request in bytes";
        headers: usize = 64, in_range(8, 256), "most headers of a request";
        body: usize = 256 * 1024, in_range(0, 4 * 1024 * 1024), "longest body of a request in bytes";
        head_time: Duration = Duration::from_secs(20), in_range(Duration::from_millis(100), Duration::from_secs(60)), "how long a request's head, or the pause before it, may take";
        body_time: Duration = Duration::from_secs(4), in_range(Duration::from_millis(100), Duration::from_secs(60)), "how long a request's body may take";
        life: Duration = Duration::from_secs(600), in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long a connection may be kept open";
        grace: Duration = Duration::from_secs(8), in_range(Duration::from_secs(1), Duration::from_secs(120)), "how long a planned stop may take to finish what it has begun";
        tokens: Vec<String> = Vec::new(), check_tokens, "bearer tokens for the views of kinds, tenant=SECRET or *=SECRET, parted by commas";
        tokens_file: PathBuf = PathBuf::new(), any_value, "file of more bearer tokens, one to a line, so that none need stand on a command line";
        processor_share: f64 = 1.0, in_range(0.001, 4096.0), "processor this router may use, in cores; weaker machines are home to fewer functions";
        link_mbps: f64 = 1000.0, in_range(0.01, 1_000_000.0), "what this machine's link carries, in Mbit/s; likewise";
        list_every: Duration = Duration::from_millis(1000), in_range(Duration::from_millis(100), Duration::from_secs(30)), "how often the platform's list is read";
        starts_per_second: f64 = 64.0, in_range(0.1, 10_000.0), "starts a second that all routers share, below what the platform takes";
        start_gb_seconds: f64 = 0.2, in_range(0.0, 1000.0), "what one start costs, in gigabytes of memory kept for a second; an idle instance is kept while that costs less than a start";
        zone_losses: u32 = 1, in_range(0, 16), "zones whose loss is to be borne at once; with none, instances stand in the zone of their function's owner";
        retry_ratio: f64 = 0.2, in_range(0.0, 10.0), "second tries to a function allowed for each of its requests, over all routers, in any window";
        retry_slack: usize = 60, in_range(0, 1_000_000), "second tries to a function allowed besides";
        retry_window: Duration = Duration::from_secs(10), in_range(Duration::from_secs(1), Duration::from_secs(600)), "length of that window";
        key_window: Duration = Duration::from_secs(1800), in_range(Duration::from_secs(1), Duration::from_secs(86_400)), "how long requests with the same run-once key are one operation, at least; the same on every machine";
        recorded_answer_bytes: usize = 8 * 1024 * 1024, in_range(0, 8 * 1024 * 1024), "longest answer under a run-once key that the registries record, in bytes; a longer one is kept by the function's owner alone, and a repeat that does not find it there hears that the outcome is unknown";
        turned_most: usize = 11, in_range(0, 1_000_000), "tasks that one function's instances may turn away in any five seconds";
        quota_window: Duration = Duration::from_secs(5), in_range(Duration::from_secs(1), Duration::from_secs(600)), "window in which the requests of a consumer with a limit are counted, over all routers; the same on every machine";
        quota_overrun: f64 = 0.1, in_range(0.0, 10.0), "part of its limit by which a consumer's requests in a window may be beyond it";
        quota_slack: f64 = 20.0, in_range(0.0, 1_000_000.0), "requests by which they may be beyond it besides";
        step: Duration = Duration::from_secs(15), in_range(Duration::from_millis(250), Duration::from_secs(600)), "one step of samples and plans; the same on every machine";
        format: u16 = wire::FORMAT, in_range(wire::OLDEST_FORMAT, wire::FORMAT), "format in which frames are written; the one before while a fleet rolls from a version that knows no newer";
        log_level: String = "info".into(), identifier, "error, warn, info, debug or trace";
        log_file: String = String::new(), any_value, "log file, rolled over by size; empty for standard error";
    }
}

impl RouterSettings {
    pub fn capacity(&self) -> Capacity {
        let milli = |of: f64| (of * 1000.0).round() as u32;
        Capacity { processor_milli: milli(self.processor_share), link_kbit: milli(self.link_mbps) }
    }

    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds { window: self.quota_window, overrun: self.quota_overrun, slack: self.quota_slack }
    }

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
