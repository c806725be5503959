//! How long one member has been the tail, and when the tail before it can last have had a round confirmed.
//!
//! A proof of revision is granted only after a round that a majority of the view's voters answered, and counts
//! from before that round. Each voter that adopts a view with another tail therefore reports how long ago it
//! last answered the tail before. Any confirmed round was answered by a voter of each majority, so that no
//! proof of the tail before can have been asked for later than the latest answer told by a majority.

use crate::member::Member;
use crate::register::is_majority;
use crate::types::Output;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use wire::{ChainMessage, NodeId, View};

/// A run of views, without a gap, in which this member is the tail.
#[derive(Clone, Default)]
pub struct Tenure {
    /// The view with which the run began.
    first_view: u64,
    /// The voters of the view before it, empty where that view is not known here.
    voters_before: Vec<NodeId>,
}

/// What voters report on the tail before the one of a view.
#[derive(Clone, Default)]
pub struct AnswerReports {
    view: u64,
    /// The latest moment, by the clock here, at which each voter can have answered.
    answered: BTreeMap<NodeId, Duration>,
}

impl Tenure {
    /// Feeds what is remembered into a hasher.
    pub(crate) fn digest(&self, hasher: &mut impl Hasher) {
        (self.first_view, &self.voters_before).hash(hasher);
    }
}

impl AnswerReports {
    /// Feeds what was reported into a hasher, each moment as its age.
    pub(crate) fn digest(&self, age: impl Fn(Duration) -> (u64, u64), hasher: &mut impl Hasher) {
        self.view.hash(hasher);
        for (id, answered) in &self.answered {
            (id, age(*answered)).hash(hasher);
        }
    }
}

fn tail_of(view: &View) -> Option<NodeId> {
    view.chain.as_slice().last().copied()
}

impl Member {
    /// The view with which this member's unbroken run as the tail began, if it is the tail now.
    pub fn tenure(&self) -> Option<u64> {
        self.is_tail().then_some(self.tenure.first_view)
    }

    /// Notes that a heartbeat of the tail was answered in a way that may confirm its round.
    pub(crate) fn note_answer(&mut self, to: NodeId) {
        if tail_of(&self.meta.view) == Some(to) {
            self.tail_answered = self.now;
        }
    }

    /// Called with the view that is about to be replaced by `next`. The report it returns may leave only once
    /// the adoption is on disk: else a voter that restarts could answer the tail before once more.
    pub(crate) fn change_tail(&mut self, next: &View) -> Option<Output> {
        let before = &self.meta.view;
        let me = self.meta.node.id;
        let follows = before.number > 0 && next.number == before.number + 1;
        let (old_tail, new_tail) = (tail_of(before), tail_of(next));
        if new_tail == Some(me) && !(follows && old_tail == Some(me)) {
            let voters = before.voters.iter().map(|node| node.id).filter(|_| follows);
            self.tenure = Tenure { first_view: next.number, voters_before: voters.collect() };
        }
        let millis = self.now.saturating_sub(self.tail_answered).as_millis() as u64;
        self.tail_answered = self.now;
        let to = new_tail.filter(|_| follows && new_tail != old_tail && self.is_voter(me))?;
        Some(Output::Send { to, message: ChainMessage::TailLastAnswered { view: next.number, millis } })
    }

    pub(crate) fn on_last_answered(&mut self, from: NodeId, view: u64, millis: u64) {
        if view > self.answer_reports.view {
            self.answer_reports = AnswerReports { view, answered: BTreeMap::new() };
        }
        if view == self.answer_reports.view {
            let answered = self.now.saturating_sub(Duration::from_millis(millis));
            self.answer_reports.answered.entry(from).or_insert(answered);
        }
    }

    /// No proof of any tail before this one was asked for after this moment, as far as a majority has reported.
    pub fn earlier_tails_answered_until(&self) -> Option<Duration> {
        let first = self.tenure()?;
        let voters = &self.tenure.voters_before;
        let told: Vec<Duration> =
            voters.iter().filter_map(|id| self.answer_reports.answered.get(id)).copied().collect();
        let known = self.answer_reports.view == first && is_majority(told.len(), voters.len());
        told.into_iter().max().filter(|_| known)
    }
}
