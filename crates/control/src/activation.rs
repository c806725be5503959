//! Bringing staged epochs into force, and telling operators what a staged epoch still waits for.

use crate::core::{Core, CoreOutput};
use crate::keys;
use crate::pending_proposals::Duty;
use leases::{ActivationBlocker, LeaseBounds};
use serde_json::{Value, json};
use std::time::Duration;
use wire::{Command, NodeId};

/// An epoch that waits for longer than this is reported in the log.
const REPORT_AFTER: Duration = Duration::from_secs(2);
/// It is reported again this often.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// What a staged epoch waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationWait {
    /// Leases that earlier tails granted have not run out.
    EarlierLeases,
    /// Routers that have not staged it and may hold a lease.
    Routers(ActivationBlocker),
}

impl ActivationWait {
    /// The routers that are waited for.
    pub fn routers(&self) -> &[NodeId] {
        match self {
            ActivationWait::EarlierLeases => &[],
            ActivationWait::Routers(blocker) => blocker.routers(),
        }
    }

    /// The word for it in status pages and logs.
    pub fn name(&self) -> &'static str {
        match self {
            ActivationWait::EarlierLeases => "earlier-leases",
            ActivationWait::Routers(ActivationBlocker::Members(_)) => "members",
            ActivationWait::Routers(ActivationBlocker::Quorum(_)) => "quorum",
        }
    }
}

/// The first epoch that is staged and not in force, as the tail knows it.
#[derive(Clone, Debug)]
pub struct PendingActivation {
    /// The epoch.
    pub step: u64,
    /// Since when this tail has waited for it.
    pub since: Duration,
    /// What it waits for.
    pub wait: ActivationWait,
    reported_at: Option<Duration>,
}

impl PendingActivation {
    /// The epoch in a status page.
    pub fn page(&self, now: Duration) -> Value {
        let routers: Vec<String> = self.wait.routers().iter().map(|id| format!("{id:016x}")).collect();
        let waited_ms = now.saturating_sub(self.since).as_millis() as u64;
        json!({"step": self.step, "waits_for": self.wait.name(), "routers": routers, "waited_ms": waited_ms})
    }

    fn take_report(&mut self, now: Duration) -> bool {
        let due = self.reported_at.map_or(self.since + REPORT_AFTER, |last| last + REPORT_INTERVAL);
        if now >= due {
            self.reported_at = Some(now);
        }
        now >= due
    }
}

impl Core {
    /// Activates what all have staged, once no earlier tail's lease can be valid any more.
    pub(crate) fn maybe_activate(&mut self) {
        let active = keys::number(self.state(), keys::ACTIVE);
        let latest = keys::number(self.state(), keys::LATEST);
        let Some(bounds) = self.lease_bounds() else {
            return self.record_pending(active, latest, Some(ActivationWait::EarlierLeases));
        };
        let mut quorums = vec![keys::quorum(self.state(), active)];
        let mut ready = active;
        let mut first_wait = None;
        for step in active + 1..=latest {
            quorums.push(keys::quorum(self.state(), step));
            match self.sessions.activation_blocker(step, &quorums, self.now, bounds) {
                None => ready = step,
                Some(blocker) => {
                    first_wait.get_or_insert(ActivationWait::Routers(blocker));
                }
            }
        }
        if ready > active {
            self.propose_duty(Duty::Activate, &Command::Activate { epoch: ready });
        }
        self.record_pending(ready, latest, first_wait);
    }

    /// How long leases may last, once those that other tails granted by the core's word have run out.
    fn lease_bounds(&mut self) -> Option<LeaseBounds> {
        if !self.earlier_leases_are_over() {
            return None;
        }
        let unknown_until = self.tail.tenure.as_ref()?.earlier_leases_until;
        Some(LeaseBounds { by_core: self.timing.lapse, by_peers: self.timing.peers_over, unknown_until })
    }

    fn record_pending(&mut self, ready: u64, latest: u64, wait: Option<ActivationWait>) {
        let now = self.now;
        let (Some(wait), true) = (wait, ready < latest) else {
            self.pending_activation = None;
            return;
        };
        let step = ready + 1;
        let known = self.pending_activation.take().filter(|known| known.step == step);
        let (since, reported_at) = known.map_or((now, None), |known| (known.since, known.reported_at));
        let pending = self.pending_activation.insert(PendingActivation { step, since, wait, reported_at });
        if pending.take_report(now) {
            let (wait, waited) = (pending.wait.clone(), now - pending.since);
            self.outs.push(CoreOutput::ActivationDelayed { step, wait, waited });
        }
    }
}
