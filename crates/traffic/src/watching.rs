//! Whether a home is there to be carried to. A home beats the fronts that carried to it lately, and any
//! frame of its counts as a beat. One that nobody beat lately is good until it has been silent for a
//! while after a carry; one found silent, or not linked yet, is asked to beat until it is heard.

use crate::front::Front;
use crate::front_types::{FrontOutput, Stage};
use std::time::Duration;
use wire::{CarryMsg, NodeId};

/// A home not heard for so long is carried nothing more, so that only what it had before is in doubt.
const QUIET: Duration = Duration::from_millis(350);
/// How long after the last carry beats are counted on; homes go on a little longer.
const COUNTED_ON: Duration = Duration::from_secs(2);
pub(crate) const BEATEN: Duration = Duration::from_secs(3);
const ASK_AGAIN: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Default)]
pub(crate) struct Watched {
    heard: Duration,
    carried: Option<Duration>,
    silent: bool,
    asked: Option<Duration>,
}

impl Front {
    pub(crate) fn heard(&mut self, home: NodeId) {
        let now = self.now;
        if let Some(watched) = self.watched.get_mut(&home) {
            (watched.heard, watched.silent, watched.asked) = (now, false, None);
        }
    }

    /// Says whether a task may go there now, and if so takes it as gone.
    pub(crate) fn may_carry_to(&mut self, home: NodeId) -> bool {
        if home == self.me {
            return true;
        }
        let (now, linked) = (self.now, self.linked.contains(&home));
        let watched = self.watched.entry(home).or_default();
        let beaten = watched.carried.is_some_and(|at| now < at + COUNTED_ON);
        if !beaten && !watched.silent {
            watched.heard = now;
        }
        watched.silent = now > watched.heard + QUIET;
        if linked && !watched.silent {
            watched.carried = Some(now);
            return true;
        }
        if watched.asked.is_none_or(|at| now >= at + ASK_AGAIN) {
            watched.asked = Some(now);
            self.outs.push(FrontOutput::Carry { to: home, message: CarryMsg::Watch });
        }
        false
    }

    /// When a home was last heard that is silent now.
    pub(crate) fn silent_since(&self, home: NodeId) -> Option<Duration> {
        self.watched.get(&home).filter(|watched| watched.silent).map(|watched| watched.heard)
    }

    /// The link a first task waited for is up.
    pub(crate) fn attempt_waiting(&mut self, home: NodeId) {
        if !self.watched.contains_key(&home) {
            return;
        }
        let waits = |function: &str| self.roster.home(function) == Some(home);
        let waiting = self.table.iter().filter(|(_, record)| record.stage == Stage::Waiting && !record.doubt);
        let tasks: Vec<u64> = waiting.filter(|(_, record)| waits(&record.function)).map(|(task, _)| *task).collect();
        tasks.into_iter().for_each(|task| self.attempt(task));
    }
}
