//! Looks at a fleet's processes while faults are brought about: what they use, how they end, and how soon after
//! they are told to stop.

use crate::faults::ScheduledFault;
use crate::processes::Fleet;
use crate::resources::Usages;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long processes of a soak may take to stop, as they are told by their settings.
pub const STOP_GRACE: Duration = Duration::from_secs(3);
/// What ending takes besides, on a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// What was seen so far.
#[derive(Default)]
pub struct ProcessMonitor {
    usages: Usages,
    sampled_at: Option<Instant>,
    stopping_since: BTreeMap<String, Instant>,
    stops: usize,
    faults: Vec<String>,
}

impl ProcessMonitor {
    /// Looks at the fleet until a moment.
    pub async fn wait_until(&mut self, fleet: &mut Fleet, until: Instant) {
        loop {
            self.check_processes(fleet);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(POLL_INTERVAL)).await;
        }
    }

    /// Looks once: who has ended, and, once a second, what each uses.
    pub fn check_processes(&mut self, fleet: &mut Fleet) {
        for (name, code) in fleet.reap() {
            self.record_exit(fleet, &name, code);
        }
        let overdue = |since: &Instant| since.elapsed() > STOP_GRACE + EXIT_MARGIN;
        if let Some((name, _)) = self.stopping_since.iter().find(|(_, since)| overdue(since)) {
            let name = name.clone();
            self.faults
                .push(format!("{name} runs {:?} after it was told to stop", self.stopping_since[&name].elapsed()));
            self.stopping_since.remove(&name);
        }
        if self.sampled_at.is_none_or(|last| last.elapsed() >= SAMPLE_INTERVAL) {
            self.sampled_at = Some(Instant::now());
            self.usages.sample(fleet.running.iter().map(|(name, child)| (name.as_str(), child.id())));
        }
    }

    fn record_exit(&mut self, fleet: &Fleet, name: &str, code: Option<i32>) {
        if self.stopping_since.remove(name).is_some() {
            self.stops += 1;
            if code != Some(0) {
                self.faults.push(format!("{name} was told to stop and ended with {code:?}"));
            }
        } else if !fleet.told_to_stop.contains(name) {
            self.faults.push(format!("{name} ended by itself with {code:?}"));
        }
    }

    /// A fault was brought about.
    pub fn record_fault(&mut self, fault: &ScheduledFault) {
        if let Some(kind) = fault.kind.strip_prefix("stop-") {
            self.stopping_since.insert(format!("{kind}-{}", fault.target), Instant::now());
        }
    }

    /// Prints what was seen; true if nothing was wrong.
    pub fn report(&self) -> bool {
        let (lines, growing) = self.usages.report();
        lines.iter().for_each(|line| println!("usage: {line}"));
        println!("{} processes told to stop ended in order", self.stops);
        let faults: Vec<&String> = self.faults.iter().chain(&growing).collect();
        faults.iter().for_each(|fault| println!("FAULT: {fault}"));
        faults.is_empty()
    }
}
