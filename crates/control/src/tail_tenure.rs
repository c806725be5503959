//! Handover of the tail's role between registries: which leases granted by other tails may still be valid.

use crate::core::{Core, CoreOutput};
use leases::{Session, Sessions};
use std::time::Duration;
use wire::{LeaseMessage, NodeId, ProofAge};

fn as_millis(age: Duration) -> u64 {
    age.as_millis() as u64
}

impl Core {
    /// Keeps the sessions while the run of views continues, and resets them when another run begins.
    pub(crate) fn update_tenure(&mut self) {
        if !self.replica.is_current_tail() {
            self.pending_activation = None;
            return self.tail.end();
        }
        let first_view = self.replica.tail_since_view().unwrap_or_default();
        if self.tail.record_tail(first_view, self.replica.view().number, self.now) {
            self.sessions = Sessions::default();
            self.pushes.reset_alignment();
        }
    }

    /// If this registry was the tail of the previous view, reports to the tail of the newly adopted view which leases
    /// may still be valid. After that it grants no lease, since no confirmation round of its own succeeds any more.
    pub(crate) fn hand_over_leases(&mut self) {
        let (now, view) = (self.now, self.replica.view().number);
        let Some(to) = self.replica.view().tail().filter(|to| *to != self.id()) else { return };
        self.earlier_leases_expired();
        let Some(tenure) = self.tail.tenure_before(view) else { return };
        let age_of = |(id, session): (&NodeId, &Session)| ProofAge {
            id: *id,
            incarnation: session.incarnation,
            millis: as_millis(now.saturating_sub(session.lease_requested_until)),
        };
        let proofs: Vec<ProofAge> = self.sessions.by_router.iter().map(age_of).collect();
        let earlier_millis = as_millis(now.saturating_sub(tenure.earlier_leases_until));
        let message = LeaseMessage::Proofs { view, earlier_millis, proofs: proofs.into() };
        self.outputs.push(CoreOutput::Router { to, message });
    }

    /// Applies the report of the previous tail, if it has arrived.
    fn take_over_leases(&mut self) {
        let Some(report) = self.tail.take_report() else { return };
        let Some(tenure) = &mut self.tail.tenure else { return };
        self.sessions.take_over(tenure.started_at, report.earlier_until, &report.granted);
        tenure.earlier_leases_until = tenure.earlier_leases_until.min(report.earlier_until);
    }

    /// Whether every lease granted by earlier tails has expired.
    pub(crate) fn earlier_leases_expired(&mut self) -> bool {
        self.take_over_leases();
        let reported = self.replica.last_answer_to_earlier_tails();
        let Some(tenure) = &mut self.tail.tenure else { return false };
        if let Some(until) = reported.filter(|until| *until < tenure.earlier_leases_until) {
            tenure.earlier_leases_until = until;
            self.sessions.limit_earlier_leases(tenure.started_at, until);
        }
        self.now >= tenure.earlier_leases_until + self.timing.proof_expiry
    }
}
