//! This registry's role as the tail: when it took the role, the run of views that it covers, and until when leases
//! granted by earlier tails may be valid.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, ProofAge};

/// A run of consecutive views in which this registry is the tail. Its sessions stay valid throughout the run, since no
/// other registry can have granted a lease in between.
pub struct Tenure {
    /// The first view of the run.
    pub first_view: u64,
    /// The newest view in which this registry was the tail and had caught up.
    pub last_view: u64,
    /// When this registry became the tail and had caught up.
    pub started_at: Duration,
    /// No earlier tail granted a lease that was requested after this time.
    pub earlier_leases_until: Duration,
}

/// Report of the previous view's tail on the leases that it granted, sent when it adopted the new view.
pub struct PredecessorLeases {
    /// The new view's number.
    pub view: u64,
    /// No tail before the reporting one granted a lease that was requested after this time.
    pub earlier_until: Duration,
    /// The leases that the reporting tail may have granted, by router.
    pub granted: BTreeMap<NodeId, leases::GrantedLease>,
}

/// The tail's role, and the report of its predecessor.
#[derive(Default)]
pub struct TailRole {
    /// When this registry became the tail and had caught up; none while it is not the tail.
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

    /// Ends the role, which this registry may get again later.
    pub fn end(&mut self) {
        self.since = None;
    }

    /// Records that this registry is the tail of a view and has caught up. Returns true if the sessions must be reset.
    pub fn record_tail(&mut self, first_view: u64, view: u64, now: Duration) -> bool {
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

    /// Returns the run of views, if this registry was the tail of the view just before `view`.
    pub fn tenure_before(&self, view: u64) -> Option<&Tenure> {
        self.tenure.as_ref().filter(|tenure| self.since.is_some() && tenure.last_view + 1 == view)
    }

    /// Records which leases the tail of the previous view granted.
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

    /// Removes and returns the report of the tail just before this run.
    pub fn take_report(&mut self) -> Option<PredecessorLeases> {
        let first_view = self.tenure.as_ref()?.first_view;
        self.predecessor.take_if(|report| report.view <= first_view).filter(|report| report.view == first_view)
    }
}
