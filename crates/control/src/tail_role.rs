//! This registry's role as the tail: since when it has it, the run of views it belongs to, and until when leases
//! that tails before it granted may still be valid.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, ProofAge};

/// A run of views in which this registry is the tail without another in between. Its sessions stay valid for all
/// of it: nobody else can have granted a lease meanwhile.
pub struct Tenure {
    /// The view with which the run began.
    pub first_view: u64,
    /// The newest view in which this registry was the tail and had caught up.
    pub last_view: u64,
    /// When it became the tail and had caught up.
    pub started_at: Duration,
    /// No tail before granted a lease requested after this moment.
    pub earlier_leases_until: Duration,
}

/// What the tail of the view before reported when it adopted the view of this number.
pub struct PredecessorLeases {
    /// The view.
    pub view: u64,
    /// No tail before that one granted a lease requested after this moment.
    pub earlier_until: Duration,
    /// The leases it may have granted, by router.
    pub granted: BTreeMap<NodeId, leases::GrantedLease>,
}

/// The role and what is known of tails before.
#[derive(Default)]
pub struct TailRole {
    /// Since when this registry is the tail and has caught up; none while it is not.
    pub since: Option<Duration>,
    /// The run of views that the sessions belong to.
    pub tenure: Option<Tenure>,
    predecessor: Option<PredecessorLeases>,
}

impl TailRole {
    /// Whether this registry is the tail and has caught up.
    pub fn is_held(&self) -> bool {
        self.since.is_some()
    }

    /// The role is lost, or about to be taken anew.
    pub fn lose(&mut self) {
        self.since = None;
    }

    /// This registry is the tail of a view and has caught up; true if sessions must be started anew.
    pub fn hold(&mut self, first_view: u64, view: u64, now: Duration) -> bool {
        let mut is_new_run = false;
        if self.since.is_none() {
            self.since = Some(now);
            if self.tenure.as_ref().is_none_or(|known| known.first_view != first_view) {
                let last_view = view;
                self.tenure = Some(Tenure { first_view, last_view, started_at: now, earlier_leases_until: now });
                is_new_run = true;
            }
        }
        if let Some(tenure) = &mut self.tenure {
            tenure.last_view = view;
        }
        is_new_run
    }

    /// The run of views, if this registry was the tail of the view before this one.
    pub fn tenure_before(&self, view: u64) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|tenure| self.since.is_some() && tenure.last_view + 1 == view)
    }

    /// The tail of the view before reports which leases it granted.
    pub fn record_report(&mut self, view: u64, earlier: Duration, ages: Vec<ProofAge>, now: Duration) {
        if self.predecessor.as_ref().is_some_and(|known| known.view >= view) {
            return;
        }
        let granted_of = |age: ProofAge| {
            let requested_at = now.saturating_sub(Duration::from_millis(age.millis));
            (age.id, leases::GrantedLease { incarnation: age.incarnation, requested_at })
        };
        let granted = ages.into_iter().map(granted_of).collect();
        self.predecessor = Some(PredecessorLeases { view, earlier_until: now.saturating_sub(earlier), granted });
    }

    /// What the tail just before this run reported, once.
    pub fn take_report(&mut self) -> Option<PredecessorLeases> {
        let first_view = self.tenure.as_ref()?.first_view;
        self.predecessor.take_if(|report| report.view <= first_view).filter(|report| report.view == first_view)
    }
}
