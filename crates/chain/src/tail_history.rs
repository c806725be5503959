//! Since which view this replica has been the tail, and the latest time at which the previous tail can have had a
//! confirmation round answered.
//!
//! A tail grants a lease only after a majority of the view's voters answered a confirmation round, and the lease
//! period counts from before that round. Each voter that adopts a view with a different tail therefore reports how
//! long ago it last answered the previous tail. Any two majorities share a voter, so no lease of the previous tail
//! can have been requested later than the latest answer that a majority reports.

use crate::view_agreement::is_majority;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, View};

/// Consecutive views in which this replica is the tail.
#[derive(Clone, Default, Hash)]
pub struct TailPeriod {
    /// First of these views.
    first_view: u64,
    /// Voters of the preceding view, empty if this replica did not know that view.
    previous_voters: Vec<NodeId>,
}

/// Reports of voters on when they last answered the previous tail.
#[derive(Clone, Default)]
pub struct AnswerReports {
    /// Number of the view with the new tail.
    pub view: u64,
    /// Latest time, by the clock of this replica, at which each voter can have answered the previous tail.
    pub answered_at: BTreeMap<NodeId, Duration>,
}

/// Report of this voter on the previous tail. It is sent only after the adoption of the view is on disk: otherwise
/// the voter could restart in the old view and answer the previous tail again.
pub struct AnswerReport {
    /// New tail, which receives the report.
    pub to: NodeId,
    /// Time since this voter last answered the previous tail.
    pub age: Duration,
}

/// Views in which this replica is the tail, and what voters reported on earlier tails.
#[derive(Clone)]
pub struct TailHistory {
    period: TailPeriod,
    reports: AnswerReports,
    /// When this voter last answered the tail of its view, or adopted that view, or started.
    last_answer_at: Duration,
}

impl TailHistory {
    /// Creates the history of a replica that has just started and may have answered a tail until now.
    pub fn new(now: Duration) -> Self {
        TailHistory { period: TailPeriod::default(), reports: AnswerReports::default(), last_answer_at: now }
    }

    /// Returns the first of the consecutive views in which this replica is the tail; meaningful only while it is.
    pub fn first_view(&self) -> u64 {
        self.period.first_view
    }

    /// Records that this voter answered a heartbeat of the tail in a way that may confirm its round.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer_at = now;
    }

    /// Records that a view is about to be replaced, and returns the report that this voter has to send, if any.
    pub fn record_view_change(&mut self, old: &View, next: &View, me: NodeId, now: Duration) -> Option<AnswerReport> {
        let is_consecutive = old.number > 0 && next.number == old.number + 1;
        let (old_tail, new_tail) = (old.tail(), next.tail());
        if new_tail == Some(me) && !(is_consecutive && old_tail == Some(me)) {
            let voters = old.voters.iter().map(|voter| voter.id).filter(|_| is_consecutive);
            self.period = TailPeriod { first_view: next.number, previous_voters: voters.collect() };
        }
        let age = now.saturating_sub(self.last_answer_at);
        self.last_answer_at = now;
        let must_report = is_consecutive && new_tail != old_tail && old.is_voter(me);
        new_tail.filter(|_| must_report).map(|to| AnswerReport { to, age })
    }

    /// Records a voter's report on how long ago it last answered the tail that preceded the tail of a view.
    pub fn record_report(&mut self, from: NodeId, view: u64, age: Duration, now: Duration) {
        if view > self.reports.view {
            self.reports = AnswerReports { view, answered_at: BTreeMap::new() };
        }
        if view == self.reports.view {
            self.reports.answered_at.entry(from).or_insert(now.saturating_sub(age));
        }
    }

    /// Returns the time after which no earlier tail can have requested a lease, once a majority has reported.
    pub fn last_answer_to_earlier_tails(&self) -> Option<Duration> {
        let voters = &self.period.previous_voters;
        let reported: Vec<Duration> =
            voters.iter().filter_map(|id| self.reports.answered_at.get(id)).copied().collect();
        let is_known = self.reports.view == self.period.first_view && is_majority(reported.len(), voters.len());
        reported.into_iter().max().filter(|_| is_known)
    }

    pub(crate) fn digest_fields(&self) -> (&TailPeriod, &AnswerReports, Duration) {
        (&self.period, &self.reports, self.last_answer_at)
    }
}
