//! The emulator's state, owned by one thread: workers, instances, the call limit, and the late list.

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
        address: String = String::new(), address, "where the platform's API listens";
        services: PathBuf = PathBuf::new(), any_value, "JSON file of services";
        record: PathBuf = PathBuf::from("runs.jsonl"), any_value, "file for the instances' record";
        workers: u32 = 12, in_range(1, 1000), "number of workers";
        zones: Vec<String> = vec!["a".into(), "b".into(), "c".into()], any_value, "zones that the workers stand in, by turns";
        memory_mb: u32 = 5427, in_range(64, 1_000_000), "memory of each worker";
        calls: u32 = 80, in_range(1, 10_000), "starts and stops taken in a second";
        lag: Duration = Duration::from_millis(1200), in_range(Duration::ZERO, Duration::from_secs(30)), "how late the list is";
        seed: u64 = 1, any_value, "seed of the random source";
    }
}

pub struct RunningInstance {
    pub service: String,
    pub address: String,
    pub worker: usize,
    pub memory_mb: u32,
    pub state: &'static str,
    pub task: Option<AbortHandle>,
    pub alive: Arc<AtomicBool>,
    pub asked: Instant,
}

/// What a start came to; the same nonce is told the same again.
#[derive(Clone)]
pub struct Started {
    pub id: String,
    pub address: String,
    pub worker: usize,
}

#[derive(Clone, Default)]
pub struct Misbehaviour {
    pub lose: f64,
    pub garbage: f64,
    pub cut: f64,
    pub turn_away: f64,
    pub hang_calls: f64,
    pub drop_receipts: f64,
}

pub struct Emulator {
    pub settings: EmulatorSettings,
    pub services: Services,
    pub instances: BTreeMap<String, RunningInstance>,
    pub nonces: BTreeMap<(String, String), Started>,
    pub begun: u64,
    pub drained: Vec<bool>,
    pub shown: VecDeque<(Instant, Value, Value)>,
    pub calls: VecDeque<Instant>,
    pub mischief: Misbehaviour,
    pub dice: rand_chacha::ChaCha8Rng,
    pub refused: u64,
    pub told: BTreeSet<String>,
    pub instance_seconds: f64,
}

impl Emulator {
    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.dice.random_bool(share.min(1.0))
    }

    pub fn admit_call(&mut self) -> bool {
        let now = Instant::now();
        while self.calls.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
            self.calls.pop_front();
        }
        if self.calls.len() >= self.settings.calls as usize {
            self.refused += 1;
            return false;
        }
        self.calls.push_back(now);
        true
    }

    /// Memory left on each worker.
    fn free_mb_by_worker(&self) -> Vec<i64> {
        let mut free_mb_by_worker = vec![i64::from(self.settings.memory_mb); self.drained.len()];
        for instance in self.instances.values() {
            free_mb_by_worker[instance.worker] -= i64::from(instance.memory_mb);
        }
        free_mb_by_worker
    }

    /// The worker that is named, or the one with the most memory left, if it has enough.
    pub fn place(&self, named: Option<usize>, memory_mb: u32) -> Option<usize> {
        let free_mb_by_worker = self.free_mb_by_worker();
        (0..free_mb_by_worker.len())
            .filter(|worker| named.is_none_or(|named| named == *worker))
            .filter(|worker| !self.drained[*worker] && free_mb_by_worker[*worker] >= i64::from(memory_mb))
            .max_by_key(|worker| (free_mb_by_worker[*worker], std::cmp::Reverse(*worker)))
    }

    fn zone(&self, worker: usize) -> &str {
        let zones = &self.settings.zones;
        zones.get(worker % zones.len().max(1)).map_or("", String::as_str)
    }

    pub fn listing(&self) -> Value {
        let line = |(id, instance): (&String, &RunningInstance)| {
            json!({
                "id": id, "service": instance.service, "address": instance.address, "zone": self.zone(instance.worker),
                "worker": worker_name(instance.worker), "state": instance.state,
            })
        };
        json!({"instances": self.instances.iter().map(line).collect::<Vec<Value>>()})
    }

    pub fn workers(&self) -> Value {
        let line = |(worker, free_mb_by_worker): (usize, i64)| {
            json!({
                "name": worker_name(worker), "zone": self.zone(worker), "memory_mb": self.settings.memory_mb,
                "free_mb": free_mb_by_worker.max(0), "ready": !self.drained[worker],
            })
        };
        json!({"workers": self.free_mb_by_worker().into_iter().enumerate().map(line).collect::<Vec<Value>>()})
    }

    /// The lists, of instances and of workers, as they stood a while ago.
    fn late(&mut self) -> Option<&(Instant, Value, Value)> {
        let now = Instant::now();
        let lag = self.settings.lag;
        while self.shown.len() > 1 && now.duration_since(self.shown[1].0) >= lag {
            self.shown.pop_front();
        }
        self.shown.front()
    }

    pub fn late_workers(&mut self) -> Value {
        let now = self.workers();
        self.late().map_or(now, |(_, _, workers)| workers.clone())
    }

    pub fn late_listing(&mut self, tell: impl Fn(&str)) -> Value {
        let list = self.late().map_or_else(|| json!({"instances": []}), |(_, list, _)| list.clone());
        for line in list["instances"].as_array().into_iter().flatten().filter(|line| line["state"] == "leaving") {
            let id = line["id"].as_str().unwrap_or_default();
            if self.told.insert(id.to_owned()) {
                tell(id);
            }
        }
        list
    }

    pub fn remove(&mut self, id: &str) -> bool {
        let Some(instance) = self.instances.remove(id) else { return false };
        self.instance_seconds += instance.asked.elapsed().as_secs_f64();
        instance.alive.store(false, Ordering::SeqCst);
        if let Some(task) = instance.task {
            task.abort();
        }
        true
    }
}

pub fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

pub fn worker_number(name: &str) -> Option<usize> {
    name.strip_prefix('w')?.parse().ok()
}
