//! Rules checked during a run. The first violation ends the run.

use crate::consumer_rules::ConsumerRecords;
use crate::world::World;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time after a revision was first used in which another router may still serve by an older one.
const OLDER_REVISION_GRACE: Duration = Duration::from_millis(250);
/// Time after the acknowledgement of a revision in which an older one may still be used.
const ACKNOWLEDGED_REVISION_GRACE: Duration = Duration::from_secs(3);
/// Maximum number of rejections of one service in five seconds.
const MAX_REJECTIONS: usize = 11;

/// The observations that the rules need, and the violations found so far.
#[derive(Default)]
pub struct Rules {
    pub violations: Vec<String>,
    runs: BTreeMap<String, u32>,
    runs_by_key: BTreeMap<String, u32>,
    run_once_keys: BTreeSet<String>,
    single_run_tries: BTreeSet<String>,
    instances_by_label: BTreeMap<String, BTreeSet<String>>,
    told_not_run: BTreeSet<String>,
    accepted_tasks: BTreeMap<String, String>,
    pub last_first_run: Duration,
    acknowledged_revisions: Vec<(Duration, u64)>,
    first_served: BTreeMap<u64, Duration>,
    newest_served: u64,
    recent_rejections: BTreeMap<String, VecDeque<Duration>>,
    recent_runs: BTreeMap<String, VecDeque<(Duration, bool)>>,
    ops_by_entry: BTreeMap<u64, (u64, u64)>,
    checked_entries: BTreeMap<usize, u64>,
    fault_spans: Vec<(Duration, Duration)>,
    successes: Vec<Duration>,
    pub run_count: u64,
    pub(crate) consumers: ConsumerRecords,
}

impl Rules {
    pub fn report_violation(&mut self, now: Duration, fault: String) {
        self.violations.push(format!("at {:.3} s: {fault}", now.as_secs_f64()));
    }

    /// Records that a caller sent a try of a request.
    pub fn request_sent(&mut self, _now: Duration, label: &str, service: &str) {
        let function: usize = service.rsplit('f').next().and_then(|n| n.parse().ok()).unwrap_or_default();
        if crate::callers::CLASSES[function % 4] == "once" {
            self.run_once_keys.insert(label.split('#').next().unwrap_or_default().to_owned());
        }
    }

    /// Records that a try was sent that may run only once and on one instance only.
    pub fn single_run_try_sent(&mut self, label: &str) {
        self.single_run_tries.insert(label.to_owned());
    }

    /// Records that a try was sent to an instance; its route allows at most `most` different ones.
    pub fn sent_to_instance(&mut self, now: Duration, label: &str, instance: &str, most: usize) {
        let instances = self.instances_by_label.entry(label.to_owned()).or_default();
        instances.insert(instance.to_owned());
        let count = instances.len();
        if count > most {
            self.report_violation(now, format!("{label} was sent to {count} instances, {most} allowed"));
        }
    }

    /// Records that an instance runs a try.
    pub fn ran(&mut self, now: Duration, label: &str, service: &str) {
        self.run_count += 1;
        let count = self.runs.entry(label.to_owned()).or_default();
        *count += 1;
        let is_second_try = *count > 1;
        if !is_second_try {
            self.last_first_run = now;
        }
        let key = label.split('#').next().unwrap_or_default().to_owned();
        let times = self.runs_by_key.entry(key.clone()).or_default();
        *times += 1;
        if *times > 1 && self.run_once_keys.contains(&key) {
            self.report_violation(now, format!("run-once task {key} ran twice"));
        }
        if is_second_try && self.single_run_tries.contains(label) {
            self.report_violation(now, format!("{label} ran twice, though each try may run only once"));
        }
        if self.told_not_run.contains(label) {
            self.report_violation(now, format!("{label} ran after its caller was told that it would not run"));
        }
        self.check_second_tries(now, service, is_second_try);
    }

    fn check_second_tries(&mut self, now: Duration, service: &str, is_second_try: bool) {
        let list = self.recent_runs.entry(service.to_owned()).or_default();
        list.push_back((now, is_second_try));
        while list.front().is_some_and(|(at, _)| now > *at + Duration::from_secs(10)) {
            list.pop_front();
        }
        let second_tries = list.iter().filter(|(_, is_second_try)| *is_second_try).count();
        if second_tries > (list.len() - second_tries) / 5 + 60 {
            self.report_violation(now, format!("{second_tries} second tries to {service} in 10 s"));
        }
    }

    /// Records that an instance rejected a try, either over its limit or by its own choice.
    pub fn rejected(&mut self, now: Duration, service: &str, is_over_limit: bool) {
        let list = self.recent_rejections.entry(service.to_owned()).or_default();
        list.push_back(now);
        while list.front().is_some_and(|at| now > *at + Duration::from_secs(5)) {
            list.pop_front();
        }
        if list.len() > MAX_REJECTIONS {
            let (count, why) = (list.len(), if is_over_limit { "over their limit" } else { "by their own choice" });
            self.report_violation(now, format!("{service} rejected {count} tries in 5 s, {why}"));
        }
    }

    /// Checks that the answer to a try names a run of the same task.
    pub fn answered(&mut self, now: Duration, label: &str, key: &str, body: &[u8]) {
        let message = String::from_utf8_lossy(body).into_owned();
        if message.split('#').next() != Some(key) || !self.runs.contains_key(&message) {
            self.report_violation(now, format!("{label} was answered with {message}"));
        }
    }

    /// Records that a deferred task was accepted.
    pub fn accepted(&mut self, key: &str, service: &str) {
        self.accepted_tasks.insert(key.to_owned(), service.to_owned());
    }

    /// Returns key and service of each accepted task that hasn't run.
    pub fn accepted_but_never_run(&self) -> Vec<(String, String)> {
        let never = self.accepted_tasks.iter().filter(|(key, _)| !self.runs_by_key.contains_key(*key));
        never.map(|(key, service)| (key.clone(), service.clone())).collect()
    }

    /// Records that a caller was told that its try did not and will not run.
    pub fn not_run(&mut self, now: Duration, label: &str) {
        if self.runs.contains_key(label) {
            self.report_violation(now, format!("{label} was reported as not run though it ran"));
        }
        self.told_not_run.insert(label.to_owned());
    }

    /// Returns origin and number of the operation known to be committed as this entry.
    pub fn committed_op(&self, entry: u64) -> Option<(u64, u64)> {
        self.ops_by_entry.get(&entry).copied()
    }

    /// Records that a fault lasts at most from one time to the other.
    pub fn add_fault_span(&mut self, from: Duration, to: Duration) {
        self.fault_spans.push((from, to));
    }

    /// Records a successful answer or acceptance, for the check of recovery.
    pub fn request_succeeded(&mut self, now: Duration) {
        self.successes.push(now);
    }

    /// Checks that throughput is above a quarter of its earlier level in every second that lies more than 12 s
    /// after the end of a fault and before the next fault. Returns the number of seconds checked.
    pub fn check_recovery(&mut self, from: Duration, until: Duration) -> usize {
        let recovery = checker::check_recovery(&self.successes, &self.fault_spans, from, until);
        for low in &recovery.low_seconds {
            let (served, second, level) = (low.served, low.second, low.baseline);
            let message =
                format!("{served} tasks served in second {second}, {level} per second before the first fault");
            self.report_violation(until, message);
        }
        recovery.judged_seconds
    }

    /// Records that a configuration change was acknowledged with this revision.
    pub fn revision_acknowledged(&mut self, now: Duration, revision: u64) {
        self.acknowledged_revisions.push((now, revision));
    }

    /// Checks the revision by which a task was forwarded or dispatched now.
    pub fn served_by_revision(&mut self, now: Duration, revision: u64) {
        if revision > self.newest_served {
            self.newest_served = revision;
            self.first_served.insert(revision, now);
        }
        let newer = self.first_served.range(revision + 1..).next().map(|(newer, at)| (*newer, *at));
        if let Some((newer, at)) = newer
            && now > at + OLDER_REVISION_GRACE
        {
            self.report_violation(
                now,
                format!("served by {revision} {} ms after {newer} was seen", (now - at).as_millis()),
            );
        }
        let due = self
            .acknowledged_revisions
            .iter()
            .filter(|(at, _)| now > *at + ACKNOWLEDGED_REVISION_GRACE)
            .map(|(_, acked)| *acked)
            .max();
        if due.is_some_and(|acked| revision < acked) {
            self.report_violation(now, format!("served by {revision} though {due:?} was acknowledged over 3 s ago"));
        }
    }
}

impl World {
    /// Checks that the members of the chain agree on every committed entry.
    pub fn check_chain(&mut self) {
        let mut faults = Vec::new();
        for (n, node) in self.registries.iter().enumerate() {
            let Some(core) = &node.core else {
                self.rules.checked_entries.remove(&n);
                continue;
            };
            let committed = core.replica().positions().committed;
            let seen = self.rules.checked_entries.get(&n).copied().unwrap_or(0);
            if committed == seen {
                continue;
            }
            self.rules.checked_entries.insert(n, committed);
            for entry in core.replica().entries().filter(|entry| entry.seq > seen && entry.seq <= committed) {
                let op = (entry.op.origin, entry.op.number);
                let known = *self.rules.ops_by_entry.entry(entry.seq).or_insert(op);
                if known != op {
                    faults.push(format!("entry {} is {op:?} at registry {n}, {known:?} at another", entry.seq));
                }
            }
        }
        let now = self.now;
        faults.into_iter().for_each(|fault| self.rules.report_violation(now, fault));
    }
}
