//! Activation of staged epochs, and reports to operators on why a staged epoch is not in force yet.

use crate::core::{Core, CoreOutput};
use crate::keys;
use crate::pending_proposals::Duty;
use leases::{ActivationBlocker, LeaseBounds};
use serde_json::{Value, json};
use std::time::Duration;
use wire::{Command, NodeId};

/// Waiting time after which a pending epoch is reported in the log.
const REPORT_AFTER: Duration = Duration::from_secs(2);
/// Interval between further reports of the same pending epoch.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// Reason why a staged epoch is not activated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationWait {
    /// Leases granted by earlier tails may still be valid.
    EarlierLeases,
    /// Some routers have not staged the epoch and may hold a lease.
    Routers(ActivationBlocker),
}

impl ActivationWait {
    /// Returns the routers that block the activation.
    pub fn routers(&self) -> &[NodeId] {
        match self {
            ActivationWait::EarlierLeases => &[],
            ActivationWait::Routers(blocker) => blocker.routers(),
        }
    }

    /// Returns the reason's name in status pages and logs.
    pub fn name(&self) -> &'static str {
        match self {
            ActivationWait::EarlierLeases => "earlier-leases",
            ActivationWait::Routers(ActivationBlocker::Members(_)) => "members",
            ActivationWait::Routers(ActivationBlocker::Quorum(_)) => "quorum",
        }
    }
}

/// The first epoch that is staged but not in force, as known to the tail.
#[derive(Clone, Debug)]
pub struct PendingActivation {
    /// The epoch's number.
    pub step: u64,
    /// When this tail first saw the epoch pending.
    pub since: Duration,
    /// Reason why the epoch is not activated.
    pub wait: ActivationWait,
    reported_at: Option<Duration>,
}

impl PendingActivation {
    /// Returns the pending epoch as shown in a status page.
    pub fn status(&self, now: Duration) -> Value {
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
    /// Activates the epochs that all routers have staged, once no lease of an earlier tail can be valid.
    pub(crate) fn maybe_activate(&mut self) {
        let active = keys::read_number(self.state(), keys::ACTIVE);
        let latest = keys::read_number(self.state(), keys::LATEST);
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

    /// Returns the bounds on lease durations, once the leases that earlier tails granted by core proofs have expired.
    fn lease_bounds(&mut self) -> Option<LeaseBounds> {
        if !self.earlier_leases_expired() {
            return None;
        }
        let unknown_until = self.tail.tenure.as_ref()?.earlier_leases_until;
        Some(LeaseBounds { by_core: self.timing.lease_lapse, by_peers: self.timing.peer_proof_expiry, unknown_until })
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
            self.outputs.push(CoreOutput::ActivationDelayed { step, wait, waited });
        }
    }
}
