//! How long this replica has been the tail, and when the tail before it can last have had a round confirmed.
//!
//! A lease is granted only after a round that a majority of the view's voters answered, and counts from before
//! that round. Each voter that adopts a view with another tail therefore reports how long ago it last answered
//! the tail before. Any confirmed round was answered by a voter of each majority, so that no lease of the tail
//! before can have been requested later than the latest answer reported by a majority.

use crate::view_agreement::is_majority;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{NodeId, View};

/// A run of views, without a gap, in which this replica is the tail.
#[derive(Clone, Default, Hash)]
pub struct Tenure {
    /// The view with which the run began.
    first_view: u64,
    /// The voters of the view before it, empty where that view is not known here.
    voters_before: Vec<NodeId>,
}

/// What voters report on the tail before the one of a view.
#[derive(Clone, Default)]
pub struct AnswerReports {
    /// The view.
    pub view: u64,
    /// The latest moment, by the clock here, at which each voter can have answered.
    pub answered_at: BTreeMap<NodeId, Duration>,
}

/// This voter's report on the tail before, to be sent once the adoption of the view is on disk: else a voter that
/// restarts could answer the tail before once more.
pub struct AnswerReport {
    /// The new tail.
    pub to: NodeId,
    /// How long ago this voter last answered the tail before.
    pub age: Duration,
}

/// This replica's tenure as the tail, and what is known of tails before.
#[derive(Clone)]
pub struct TailHistory {
    tenure: Tenure,
    reports: AnswerReports,
    /// When this voter last answered the tail of its view, or adopted that view, or started.
    last_answer_at: Duration,
}

impl TailHistory {
    /// Of a replica that has just started, and may have answered a tail until now.
    pub fn new(now: Duration) -> Self {
        TailHistory { tenure: Tenure::default(), reports: AnswerReports::default(), last_answer_at: now }
    }

    /// The view with which this replica's run as the tail began, which is of meaning while it is the tail.
    pub fn first_view(&self) -> u64 {
        self.tenure.first_view
    }

    /// This voter answered a heartbeat of the tail in a way that may confirm its round.
    pub fn record_answer(&mut self, now: Duration) {
        self.last_answer_at = now;
    }

    /// A view is about to be replaced by the next; returns what this voter has to report, if anything.
    pub fn record_view_change(&mut self, old: &View, next: &View, me: NodeId, now: Duration) -> Option<AnswerReport> {
        let is_consecutive = old.number > 0 && next.number == old.number + 1;
        let (old_tail, new_tail) = (old.tail(), next.tail());
        if new_tail == Some(me) && !(is_consecutive && old_tail == Some(me)) {
            let voters = old.voters.iter().map(|voter| voter.id).filter(|_| is_consecutive);
            self.tenure = Tenure { first_view: next.number, voters_before: voters.collect() };
        }
        let age = now.saturating_sub(self.last_answer_at);
        self.last_answer_at = now;
        let must_report = is_consecutive && new_tail != old_tail && old.is_voter(me);
        new_tail.filter(|_| must_report).map(|to| AnswerReport { to, age })
    }

    /// A voter reports how long ago it last answered the tail before the one of a view.
    pub fn record_report(&mut self, from: NodeId, view: u64, age: Duration, now: Duration) {
        if view > self.reports.view {
            self.reports = AnswerReports { view, answered_at: BTreeMap::new() };
        }
        if view == self.reports.view {
            self.reports.answered_at.entry(from).or_insert(now.saturating_sub(age));
        }
    }

    /// No lease of any tail before this one was requested after this moment, as far as a majority has reported.
    pub fn earlier_tails_answered_until(&self) -> Option<Duration> {
        let voters = &self.tenure.voters_before;
        let reported: Vec<Duration> =
            voters.iter().filter_map(|id| self.reports.answered_at.get(id)).copied().collect();
        let is_known = self.reports.view == self.tenure.first_view && is_majority(reported.len(), voters.len());
        reported.into_iter().max().filter(|_| is_known)
    }

    pub(crate) fn parts(&self) -> (&Tenure, &AnswerReports, Duration) {
        (&self.tenure, &self.reports, self.last_answer_at)
    }
}
