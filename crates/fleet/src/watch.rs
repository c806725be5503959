//! Looks at a fleet's processes while faults are brought about: what they use, how they end, and how soon after
//! they are told to stop.

use crate::faults::Timed;
use crate::processes::Fleet;
use crate::resources::Usages;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long processes of a soak may take to stop, as they are told by their settings.
pub const GRACE: Duration = Duration::from_secs(3);
/// What ending takes besides, on a busy machine.
const END_SLACK: Duration = Duration::from_millis(1200);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// What was seen so far.
#[derive(Default)]
pub struct Watch {
    usages: Usages,
    sampled_at: Option<Instant>,
    told_to_stop: BTreeMap<String, Instant>,
    stops: usize,
    faults: Vec<String>,
}

impl Watch {
    /// Looks at the fleet until a moment.
    pub async fn wait_until(&mut self, fleet: &mut Fleet, until: Instant) {
        loop {
            self.look(fleet);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(LOOK_INTERVAL)).await;
        }
    }

    /// Looks once: who has ended, and, once a second, what each uses.
    pub fn look(&mut self, fleet: &mut Fleet) {
        for (name, code) in fleet.reap() {
            self.record_end(fleet, &name, code);
        }
        let overdue = |told: &Instant| told.elapsed() > GRACE + END_SLACK;
        if let Some((name, _)) = self.told_to_stop.iter().find(|(_, told)| overdue(told)) {
            let name = name.clone();
            self.faults.push(format!("{name} runs {:?} after it was told to stop", self.told_to_stop[&name].elapsed()));
            self.told_to_stop.remove(&name);
        }
        if self.sampled_at.is_none_or(|last| last.elapsed() >= SAMPLE_INTERVAL) {
            self.sampled_at = Some(Instant::now());
            self.usages.sample(fleet.running.iter().map(|(name, child)| (name.as_str(), child.id())));
        }
    }

    fn record_end(&mut self, fleet: &Fleet, name: &str, code: Option<i32>) {
        if self.told_to_stop.remove(name).is_some() {
            self.stops += 1;
            if code != Some(0) {
                self.faults.push(format!("{name} was told to stop and ended with {code:?}"));
            }
        } else if !fleet.asked.contains(name) {
            self.faults.push(format!("{name} ended by itself with {code:?}"));
        }
    }

    /// A fault was brought about.
    pub fn note(&mut self, fault: &Timed) {
        if let Some(kind) = fault.what.strip_prefix("stop-") {
            self.told_to_stop.insert(format!("{kind}-{}", fault.which), Instant::now());
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
