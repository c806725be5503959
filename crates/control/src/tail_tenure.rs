//! Whose proofs may still hold that were granted before this registry became the tail, as voters bound it and
//! as the tail before tells it where it lives.

use crate::core::Core;
use crate::core::CoreOutput;
use leases::Sessions;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{LeaseMessage, NodeId, ProofAge};

/// A run of views in which this registry is the tail without another in between. Its sessions stay valid
/// for all of it: nobody else can have granted a proof meanwhile.
pub struct Tenure {
    first_view: u64,
    /// The newest view in which this registry was the tail and all caught up.
    last_view: u64,
    started_at: Duration,
    /// No tail before granted a proof asked for after this moment.
    earlier_leases_until: Duration,
}

/// What the tail of the view before told when it adopted the view of this number.
pub struct PredecessorProofs {
    view: u64,
    earlier: Duration,
    /// By router: its incarnation, and when it can last have asked for a proof it was granted.
    requested_at: BTreeMap<NodeId, (u64, Duration)>,
}

impl Core {
    /// Keeps the sessions while the run goes on, and begins them anew with another.
    pub(crate) fn follow_tenure(&mut self) {
        let now = self.now;
        if !self.member.is_current_tail() {
            self.tail_since = None;
            return;
        }
        let last_view = self.member.view().number;
        if self.tail_since.is_none() {
            self.tail_since = Some(now);
            let first_view = self.member.tenure().unwrap_or_default();
            if self.tenure.as_ref().is_none_or(|known| known.first_view != first_view) {
                self.tenure = Some(Tenure { first_view, last_view, started_at: now, earlier_leases_until: now });
                self.sessions = Sessions::default();
                self.aligned = None;
            }
        }
        if let Some(tenure) = &mut self.tenure {
            tenure.last_view = last_view;
        }
    }

    /// Tells the tail of a view just adopted whose proofs may still hold, if this registry was the tail of the
    /// view before. From here on it grants none: no round is confirmed to it any more.
    pub(crate) fn hand_over_leases(&mut self) {
        let (now, view) = (self.now, self.member.view().number);
        let Some(to) = self.member.view().chain.as_slice().last().copied().filter(|to| *to != self.me()) else {
            return;
        };
        self.earlier_leases_are_over();
        let Some(tenure) = self.tenure.as_ref().filter(|it| self.tail_since.is_some() && it.last_view + 1 == view)
        else {
            return;
        };
        let millis = |requested_at: Duration| now.saturating_sub(requested_at).as_millis() as u64;
        let age = |(id, session): (&NodeId, &leases::Session)| ProofAge {
            id: *id,
            incarnation: session.incarnation,
            millis: millis(session.lease_requested_until),
        };
        let proofs: Vec<ProofAge> = self.sessions.table.iter().map(age).collect();
        let earlier_millis = millis(tenure.earlier_leases_until);
        let message = LeaseMessage::Proofs { view, earlier_millis, proofs: proofs.into() };
        self.outs.push(CoreOutput::Router { to, message });
    }

    pub(crate) fn on_proofs(&mut self, view: u64, earlier_millis: u64, proofs: Vec<ProofAge>) {
        let now = self.now;
        let ago = |millis: u64| now.saturating_sub(Duration::from_millis(millis));
        if self.predecessor_proofs.as_ref().is_none_or(|known| known.view < view) {
            let requested_at = proofs.into_iter().map(|line| (line.id, (line.incarnation, ago(line.millis)))).collect();
            self.predecessor_proofs = Some(PredecessorProofs { view, earlier: ago(earlier_millis), requested_at });
        }
    }

    fn take_over_proofs(&mut self) {
        let Some(tenure) = &mut self.tenure else { return };
        if let Some(reported) = self.predecessor_proofs.take_if(|reported| reported.view <= tenure.first_view)
            && reported.view == tenure.first_view
        {
            self.sessions.take_over(tenure.started_at, reported.earlier, &reported.requested_at);
            tenure.earlier_leases_until = tenure.earlier_leases_until.min(reported.earlier);
        }
    }

    /// Whether every proof granted by tails before this one has run out.
    pub(crate) fn earlier_leases_are_over(&mut self) -> bool {
        self.take_over_proofs();
        let reported = self.member.earlier_tails_answered_until();
        let Some(tenure) = &mut self.tenure else { return false };
        if let Some(until) = reported.filter(|until| *until < tenure.earlier_leases_until) {
            tenure.earlier_leases_until = until;
            self.sessions.bound_earlier_proofs(tenure.started_at, until);
        }
        self.now >= tenure.earlier_leases_until + self.timing.proof_over
    }
}
