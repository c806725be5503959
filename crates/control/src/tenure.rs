//! Whose proofs may still hold that were granted before this registry became the tail.

use crate::core::Core;
use holds::Sessions;
use std::time::Duration;

/// A run of views in which this registry is the tail without another in between. Its sessions stay valid
/// for all of it: nobody else can have granted a proof meanwhile.
pub struct Tenure {
    first_view: u64,
    begun: Duration,
    /// No tail before granted a proof asked for after this moment.
    earlier_proofs_until: Duration,
}

impl Core {
    /// Keeps the sessions while the run goes on, and begins them anew with another.
    pub(crate) fn follow_tenure(&mut self) {
        let now = self.now;
        if !self.member.is_current_tail() {
            self.tail_since = None;
            return;
        }
        if self.tail_since.is_none() {
            self.tail_since = Some(now);
            let first_view = self.member.tenure().unwrap_or_default();
            if self.tenure.as_ref().is_none_or(|known| known.first_view != first_view) {
                self.tenure = Some(Tenure { first_view, begun: now, earlier_proofs_until: now });
                self.sessions = Sessions::default();
                self.aligned = None;
            }
        }
    }

    /// Whether every proof granted by tails before this one has run out.
    pub(crate) fn earlier_proofs_are_over(&mut self) -> bool {
        let reported = self.member.earlier_tails_answered_until();
        let Some(tenure) = &mut self.tenure else { return false };
        if let Some(until) = reported.filter(|until| *until < tenure.earlier_proofs_until) {
            tenure.earlier_proofs_until = until;
            self.sessions.bound_earlier_proofs(tenure.begun, until);
        }
        self.now >= tenure.earlier_proofs_until + self.timing.settle
    }
}
