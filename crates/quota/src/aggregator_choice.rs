//! Which router a meter reports to: the first in rank that answers.

use std::time::Duration;
use wire::NodeId;

/// One that has left a report unanswered for so long, and for two more reports, is passed over.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Reports after which it is.
const UNANSWERED_REPORTS: u32 = 2;
/// How often one that was passed over is asked whether it is back.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The routers that may aggregate, best first, and the one in use.
#[derive(Debug, Default)]
pub(crate) struct AggregatorChoice {
    ranked: Vec<NodeId>,
    current: usize,
    unanswered_until: Option<Duration>,
    probed_at: Option<Duration>,
}

impl AggregatorChoice {
    /// Takes over a new ranking. Says whether another router is in use by it.
    pub(crate) fn set_ranked(&mut self, ranked: Vec<NodeId>) -> bool {
        if self.ranked == ranked {
            return false;
        }
        let before = self.current();
        let first_before = self.ranked.first().copied();
        let stays = ranked.iter().position(|id| Some(*id) == before);
        // A better one that was passed over stays so; one that is new at the front is used at once.
        let is_same_first = ranked.first().copied() == first_before;
        self.current = if is_same_first { stays.unwrap_or(0) } else { 0 };
        self.ranked = ranked;
        let is_other = self.current() != before;
        if is_other {
            self.unanswered_until = None;
        }
        is_other
    }

    pub(crate) fn current(&self) -> Option<NodeId> {
        self.ranked.get(self.current).copied()
    }

    /// Passes over one that does not answer. Says whether another is in use now.
    pub(crate) fn maybe_pass_over(&mut self, now: Duration) -> bool {
        let is_silent = self.unanswered_until.is_some_and(|until| now > until);
        is_silent && self.pass_over(now)
    }

    /// A router cannot be reached. Says whether another is in use now.
    pub(crate) fn lost(&mut self, now: Duration, id: NodeId) -> bool {
        self.current() == Some(id) && self.pass_over(now)
    }

    fn pass_over(&mut self, now: Duration) -> bool {
        self.unanswered_until = None;
        let before = self.current();
        self.current = if self.current + 1 < self.ranked.len() { self.current + 1 } else { 0 };
        self.probed_at = Some(now);
        self.current() != before
    }

    pub(crate) fn sent(&mut self, now: Duration, interval: Duration) {
        let until = now + SILENT_AFTER.max(interval * UNANSWERED_REPORTS);
        self.unanswered_until.get_or_insert(until);
    }

    /// The better one to ask now whether it is back, if one was passed over: each in its turn.
    pub(crate) fn take_probe(&mut self, now: Duration) -> Option<NodeId> {
        if self.current == 0 || self.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
            return None;
        }
        self.probed_at = Some(now);
        let turn = now.as_millis() / PROBE_INTERVAL.as_millis();
        self.ranked.get(turn as usize % self.current).copied()
    }

    /// One answered. Says whether it is used from now on instead of another.
    pub(crate) fn answered(&mut self, by: NodeId) -> bool {
        let Some(rank) = self.ranked.iter().position(|id| *id == by) else { return false };
        if rank > self.current {
            return false;
        }
        self.unanswered_until = None;
        let is_other = rank < self.current;
        self.current = rank;
        is_other
    }
}
