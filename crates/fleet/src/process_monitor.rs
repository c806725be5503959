//! Monitors the processes of a fleet during faults: their resource use, their exit codes, and the time they take
//! to stop.

use crate::faults::ScheduledFault;
use crate::processes::Fleet;
use crate::resources::Usages;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Grace period for stopping, as set for the processes of a soak.
pub const STOP_GRACE: Duration = Duration::from_secs(3);
/// Additional time that the exit takes on a busy machine.
const EXIT_MARGIN: Duration = Duration::from_millis(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Observations so far.
#[derive(Default)]
pub struct ProcessMonitor {
    usages: Usages,
    sampled_at: Option<Instant>,
    stopping_since: BTreeMap<String, Instant>,
    stops: usize,
    faults: Vec<String>,
}

impl ProcessMonitor {
    /// Monitors the fleet until a given time.
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

    /// Checks once which processes have exited, and samples their resource use once a second.
    pub fn check_processes(&mut self, fleet: &mut Fleet) {
        for (name, code) in fleet.reap() {
            self.record_exit(fleet, &name, code);
        }
        let overdue = |since: &Instant| since.elapsed() > STOP_GRACE + EXIT_MARGIN;
        if let Some((name, _)) = self.stopping_since.iter().find(|(_, since)| overdue(since)) {
            let name = name.clone();
            self.faults.push(format!(
                "{name} still runs {:?} after it was told to stop",
                self.stopping_since[&name].elapsed()
            ));
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
                self.faults.push(format!("{name} was told to stop and exited with {code:?}"));
            }
        } else if !fleet.told_to_stop.contains(name) {
            self.faults.push(format!("{name} exited by itself with {code:?}"));
        }
    }

    /// Records a planned stop, so that its duration is checked.
    pub fn record_fault(&mut self, fault: &ScheduledFault) {
        if let Some(kind) = fault.kind.strip_prefix("stop-") {
            self.stopping_since.insert(format!("{kind}-{}", fault.target), Instant::now());
        }
    }

    /// Prints the observations; returns whether there was no fault.
    pub fn report(&self) -> bool {
        let (lines, growing) = self.usages.report();
        lines.iter().for_each(|line| println!("usage: {line}"));
        println!("{} processes told to stop ended in order", self.stops);
        let faults: Vec<&String> = self.faults.iter().chain(&growing).collect();
        faults.iter().for_each(|fault| println!("FAULT: {fault}"));
        faults.is_empty()
    }
}
