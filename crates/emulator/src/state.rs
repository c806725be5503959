//! The emulator's state, owned by one task: workers, instances, the rate limit of calls, and the lagging lists.

use crate::services::Services;
use config::{address, any_value, in_range};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

config::settings! {
    pub struct EmulatorSettings {
        address: String = String::new(), address, "address of the platform's API";
        services: PathBuf = PathBuf::new(), any_value, "JSON file of services";
        record: PathBuf = PathBuf::from("runs.jsonl"), any_value, "file of the instances' record";
        workers: u32 = 12, in_range(1, 1000), "number of workers";
        zones: Vec<String> = vec!["a".into(), "b".into(), "c".into()], any_value, "zones, assigned to the workers in rotation";
        memory_mb: u32 = 5427, in_range(64, 1_000_000), "memory of each worker";
        calls: u32 = 80, in_range(1, 10_000), "maximum starts and stops per second";
        lag: Duration = Duration::from_millis(1200), in_range(Duration::ZERO, Duration::from_secs(30)), "lag of the lists";
        seed: u64 = 1, any_value, "seed of the random source";
    }
}

/// An instance that was started and not removed.
pub struct Instance {
    pub service: String,
    pub address: String,
    pub worker: usize,
    pub memory_mb: u32,
    pub state: &'static str,
    pub task: Option<AbortHandle>,
    pub alive: Arc<AtomicBool>,
    pub requested_at: Instant,
}

/// Result of a start, returned again for the same nonce.
#[derive(Clone)]
pub struct Started {
    pub id: String,
    pub address: String,
    pub worker: usize,
}

/// Share of calls or tasks affected by each kind of misbehaviour.
#[derive(Clone, Default)]
pub struct Misbehaviour {
    pub lose: f64,
    pub garbage: f64,
    pub cut: f64,
    pub turn_away: f64,
    pub hang_calls: f64,
    pub drop_receipts: f64,
}

/// The whole state.
pub struct Emulator {
    pub settings: EmulatorSettings,
    pub services: Services,
    pub instances: BTreeMap<String, Instance>,
    /// Results of starts by service and nonce.
    pub nonces: BTreeMap<(String, String), Started>,
    pub started_count: u64,
    /// Whether each worker is drained.
    pub drained: Vec<bool>,
    /// Lists of instances and workers with the time when they were taken, oldest first.
    pub snapshots: VecDeque<(Instant, Value, Value)>,
    /// Times of the calls in the last second.
    pub recent_calls: VecDeque<Instant>,
    pub mischief: Misbehaviour,
    pub rng: rand_chacha::ChaCha8Rng,
    pub refused_calls: u64,
    /// Instances already listed as leaving to any caller.
    pub announced_leaving: BTreeSet<String>,
    /// Lifetime of all removed instances together.
    pub instance_seconds: f64,
}

impl Emulator {
    /// Returns true with the given probability.
    pub fn draw_chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    /// Counts a call against the rate limit; returns whether it is admitted.
    pub fn admit_call(&mut self) -> bool {
        let now = Instant::now();
        while self.recent_calls.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
            self.recent_calls.pop_front();
        }
        if self.recent_calls.len() >= self.settings.calls as usize {
            self.refused_calls += 1;
            return false;
        }
        self.recent_calls.push_back(now);
        true
    }

    /// Returns the free memory of each worker.
    fn free_mb_by_worker(&self) -> Vec<i64> {
        let mut free_mb_by_worker = vec![i64::from(self.settings.memory_mb); self.drained.len()];
        for instance in self.instances.values() {
            free_mb_by_worker[instance.worker] -= i64::from(instance.memory_mb);
        }
        free_mb_by_worker
    }

    /// Returns the requested worker, or the one with the most free memory, if it has enough and is not drained.
    pub fn choose_worker(&self, requested_worker: Option<usize>, memory_mb: u32) -> Option<usize> {
        let free_mb_by_worker = self.free_mb_by_worker();
        (0..free_mb_by_worker.len())
            .filter(|worker| requested_worker.is_none_or(|requested_worker| requested_worker == *worker))
            .filter(|worker| !self.drained[*worker] && free_mb_by_worker[*worker] >= i64::from(memory_mb))
            .max_by_key(|worker| (free_mb_by_worker[*worker], std::cmp::Reverse(*worker)))
    }

    fn zone(&self, worker: usize) -> &str {
        let zones = &self.settings.zones;
        zones.get(worker % zones.len().max(1)).map_or("", String::as_str)
    }

    /// Returns the current list of instances.
    pub fn instance_list(&self) -> Value {
        let line = |(id, instance): (&String, &Instance)| {
            json!({
                "id": id, "service": instance.service, "address": instance.address, "zone": self.zone(instance.worker),
                "worker": worker_name(instance.worker), "state": instance.state,
            })
        };
        json!({"instances": self.instances.iter().map(line).collect::<Vec<Value>>()})
    }

    /// Returns the current list of workers.
    pub fn workers(&self) -> Value {
        let line = |(worker, free_mb): (usize, i64)| {
            json!({
                "name": worker_name(worker), "zone": self.zone(worker), "memory_mb": self.settings.memory_mb,
                "free_mb": free_mb.max(0), "ready": !self.drained[worker],
            })
        };
        json!({"workers": self.free_mb_by_worker().into_iter().enumerate().map(line).collect::<Vec<Value>>()})
    }

    /// Returns the lists of instances and workers as they were before the lag.
    fn lagged_snapshot(&mut self) -> Option<&(Instant, Value, Value)> {
        let now = Instant::now();
        let lag = self.settings.lag;
        while self.snapshots.len() > 1 && now.duration_since(self.snapshots[1].0) >= lag {
            self.snapshots.pop_front();
        }
        self.snapshots.front()
    }

    /// Returns the lagging list of workers.
    pub fn lagged_workers(&mut self) -> Value {
        let now = self.workers();
        self.lagged_snapshot().map_or(now, |(_, _, workers)| workers.clone())
    }

    /// Returns the lagging list of instances; calls `on_leaving` for each that is listed as leaving the first time.
    pub fn lagged_instances(&mut self, on_leaving: impl Fn(&str)) -> Value {
        let list = self.lagged_snapshot().map_or_else(|| json!({"instances": []}), |(_, list, _)| list.clone());
        for line in list["instances"].as_array().into_iter().flatten().filter(|line| line["state"] == "leaving") {
            let id = line["id"].as_str().unwrap_or_default();
            if self.announced_leaving.insert(id.to_owned()) {
                on_leaving(id);
            }
        }
        list
    }

    /// Ends an instance; returns whether it existed.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(instance) = self.instances.remove(id) else { return false };
        self.instance_seconds += instance.requested_at.elapsed().as_secs_f64();
        instance.alive.store(false, Ordering::SeqCst);
        if let Some(task) = instance.task {
            task.abort();
        }
        true
    }
}

/// Returns the name of a worker.
pub fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

/// Returns the number of a worker from its name.
pub fn worker_number(name: &str) -> Option<usize> {
    name.strip_prefix('w')?.parse().ok()
}
