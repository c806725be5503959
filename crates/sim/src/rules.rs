//! The rules, checked after every step; the first broken one ends the run with its seed.

use crate::consumer_rules::ConsumerRecords;
use crate::world::World;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const SLIP: Duration = Duration::from_millis(250);
const OLD: Duration = Duration::from_secs(3);
const MAX_REJECTIONS: usize = 11;

#[derive(Default)]
pub struct Rules {
    pub broken: Vec<String>,
    runs: BTreeMap<String, u32>,
    by_key: BTreeMap<String, u32>,
    once: BTreeSet<String>,
    once_per_try: BTreeSet<String>,
    instances: BTreeMap<String, BTreeSet<String>>,
    not_run: BTreeSet<String>,
    accepted: BTreeMap<String, String>,
    pub newly_run: Duration,
    acked: Vec<(Duration, u64)>,
    first_served: BTreeMap<u64, Duration>,
    newest_served: u64,
    rejections: BTreeMap<String, VecDeque<Duration>>,
    resends: BTreeMap<String, VecDeque<(Duration, bool)>>,
    chain: BTreeMap<u64, (u64, u64)>,
    chain_seen: BTreeMap<usize, u64>,
    faults: Vec<(Duration, Duration)>,
    good: Vec<Duration>,
    pub run_count: u64,
    pub(crate) consumers: ConsumerRecords,
}

impl Rules {
    pub fn tell(&mut self, now: Duration, fault: String) {
        self.broken.push(format!("at {:.3} s: {fault}", now.as_secs_f64()));
    }

    pub fn asked(&mut self, _now: Duration, label: &str, service: &str) {
        let function: usize = service.rsplit('f').next().and_then(|n| n.parse().ok()).unwrap_or_default();
        if crate::callers::CLASSES[function % 4] == "once" {
            self.once.insert(label.split('#').next().unwrap_or_default().to_owned());
        }
    }

    /// A try that may run on one instance only, and once.
    pub fn asked_once_per_try(&mut self, label: &str) {
        self.once_per_try.insert(label.to_owned());
    }

    /// An instance was sent a try, whose route allows `most` of them.
    pub fn sent_to(&mut self, now: Duration, label: &str, instance: &str, most: usize) {
        let instances = self.instances.entry(label.to_owned()).or_default();
        instances.insert(instance.to_owned());
        let count = instances.len();
        if count > most {
            self.tell(now, format!("{label} was sent to {count} instances, {most} allowed"));
        }
    }

    pub fn ran(&mut self, now: Duration, label: &str, service: &str) {
        self.run_count += 1;
        let count = self.runs.entry(label.to_owned()).or_default();
        *count += 1;
        let second = *count > 1;
        if !second {
            self.newly_run = now;
        }
        let key = label.split('#').next().unwrap_or_default().to_owned();
        let times = self.by_key.entry(key.clone()).or_default();
        *times += 1;
        if *times > 1 && self.once.contains(&key) {
            self.tell(now, format!("run-once task {key} ran twice"));
        }
        if second && self.once_per_try.contains(label) {
            self.tell(now, format!("{label} ran twice, and may run once a try"));
        }
        if self.not_run.contains(label) {
            self.tell(now, format!("{label} ran after its caller heard it never would"));
        }
        self.try_counted(now, service, second);
    }

    fn try_counted(&mut self, now: Duration, service: &str, second: bool) {
        let list = self.resends.entry(service.to_owned()).or_default();
        list.push_back((now, second));
        while list.front().is_some_and(|(at, _)| now > *at + Duration::from_secs(10)) {
            list.pop_front();
        }
        let seconds = list.iter().filter(|(_, second)| *second).count();
        if seconds > (list.len() - seconds) / 5 + 60 {
            self.tell(now, format!("{seconds} second tries to {service} in 10 s"));
        }
    }

    pub fn turned_away(&mut self, now: Duration, service: &str, over: bool) {
        let list = self.rejections.entry(service.to_owned()).or_default();
        list.push_back(now);
        while list.front().is_some_and(|at| now > *at + Duration::from_secs(5)) {
            list.pop_front();
        }
        if list.len() > MAX_REJECTIONS {
            let (count, why) = (list.len(), if over { "over their limit" } else { "by their own choice" });
            self.tell(now, format!("{service} turned away {count} in 5 s, {why}"));
        }
    }

    pub fn answered(&mut self, now: Duration, label: &str, key: &str, body: &[u8]) {
        let told = String::from_utf8_lossy(body).into_owned();
        if told.split('#').next() != Some(key) || !self.runs.contains_key(&told) {
            self.tell(now, format!("{label} was answered with {told}"));
        }
    }

    pub fn accepted(&mut self, key: &str, service: &str) {
        self.accepted.insert(key.to_owned(), service.to_owned());
    }

    pub fn accepted_but_never_run(&self) -> Vec<(String, String)> {
        let never = self.accepted.iter().filter(|(key, _)| !self.by_key.contains_key(*key));
        never.map(|(key, service)| (key.clone(), service.clone())).collect()
    }

    pub fn not_run(&mut self, now: Duration, label: &str) {
        if self.runs.contains_key(label) {
            self.tell(now, format!("{label} heard not-run though it ran"));
        }
        self.not_run.insert(label.to_owned());
    }

    /// What is known to be committed at this place of the chain.
    pub fn committed_op(&self, entry: u64) -> Option<(u64, u64)> {
        self.chain.get(&entry).copied()
    }

    /// Something is failing from one moment to the other, at the most.
    pub fn faulty(&mut self, from: Duration, to: Duration) {
        self.faults.push((from, to));
    }

    pub fn served_well(&mut self, now: Duration) {
        self.good.push(now);
    }

    /// Service must be above a quarter of its earlier level in every second that lies more than 12 s
    /// after all machines returned and before anything fails anew. Says what was judged.
    pub fn recovered(&mut self, from: Duration, until: Duration) -> usize {
        let recovery = checker::check_recovery(&self.good, &self.faults, from, until);
        for low in &recovery.low_seconds {
            let (served, second, level) = (low.served, low.second, low.baseline);
            let told = format!("{served} tasks served in second {second}, {level} a second before anything failed");
            self.tell(until, told);
        }
        recovery.judged_seconds
    }

    pub fn acknowledged(&mut self, now: Duration, revision: u64) {
        self.acked.push((now, revision));
    }

    /// A task was forwarded or dispatched by this revision just now.
    pub fn served(&mut self, now: Duration, revision: u64) {
        if revision > self.newest_served {
            self.newest_served = revision;
            self.first_served.insert(revision, now);
        }
        let newer = self.first_served.range(revision + 1..).next().map(|(newer, at)| (*newer, *at));
        if let Some((newer, at)) = newer
            && now > at + SLIP
        {
            self.tell(now, format!("served by {revision} {} ms after {newer} was seen", (now - at).as_millis()));
        }
        let due = self.acked.iter().filter(|(at, _)| now > *at + OLD).map(|(_, acked)| *acked).max();
        if due.is_some_and(|acked| revision < acked) {
            self.tell(now, format!("served by {revision} though {due:?} was acknowledged over 3 s ago"));
        }
    }
}

impl World {
    /// Members of the chain agree on what each place in it holds, as far as they have committed.
    pub fn check_chain(&mut self) {
        let mut faults = Vec::new();
        for (n, node) in self.registries.iter().enumerate() {
            let Some(core) = &node.core else {
                self.rules.chain_seen.remove(&n);
                continue;
            };
            let committed = core.replica().positions().committed;
            let seen = self.rules.chain_seen.get(&n).copied().unwrap_or(0);
            if committed == seen {
                continue;
            }
            self.rules.chain_seen.insert(n, committed);
            for entry in core.replica().entries().filter(|entry| entry.seq > seen && entry.seq <= committed) {
                let op = (entry.op.origin, entry.op.number);
                let known = *self.rules.chain.entry(entry.seq).or_insert(op);
                if known != op {
                    faults.push(format!("entry {} is {op:?} at registry {n}, {known:?} elsewhere", entry.seq));
                }
            }
        }
        let now = self.now;
        faults.into_iter().for_each(|fault| self.rules.tell(now, fault));
    }
}
