//! Whether a owner is there to be forwarded to. While an owner has tasks of a front it heartbeats that front, and
//! any frame of its counts as a heartbeat; so one not heard for a while since a forward is silent. Nothing
//! more is forwarded there, and it is asked to send a heartbeat, as is one not linked yet, until it is heard.

use crate::front::Front;
use crate::front_types::{FrontOutput, Stage};
use std::time::Duration;
use wire::{ForwardMessage, NodeId};

/// An owner not heard for so long after a forward is forwarded nothing more, so that only what it had before
/// is in doubt.
const MAX_SILENCE: Duration = Duration::from_millis(350);
const HEARTBEAT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Default)]
pub(crate) struct OwnerWatch {
    /// When it was first forwarded something since it was last heard.
    unheard_since: Option<Duration>,
    requested_at: Option<Duration>,
}

impl Front {
    pub(crate) fn heard(&mut self, owner: NodeId) {
        let known = self.watched.get_mut(&owner).map(std::mem::take);
        if known.is_some_and(|watched| watched.requested_at.is_some()) {
            self.attempt_waiting(owner);
        }
    }

    /// Says whether a task may go there now, and if so takes it as gone.
    pub(crate) fn may_forward_to(&mut self, owner: NodeId) -> bool {
        if owner == self.me {
            return true;
        }
        let (now, linked) = (self.now, self.linked.contains(&owner));
        let watched = self.watched.entry(owner).or_default();
        if linked && watched.unheard_since.is_none_or(|at| now <= at + MAX_SILENCE) {
            watched.unheard_since.get_or_insert(now);
            return true;
        }
        if watched.requested_at.is_none_or(|at| now >= at + HEARTBEAT_REQUEST_INTERVAL) {
            watched.requested_at = Some(now);
            self.outs.push(FrontOutput::Forward { to: owner, message: ForwardMessage::HeartbeatRequest });
        }
        false
    }

    /// From when on an owner that is silent now was not heard.
    pub(crate) fn silent_since(&self, owner: NodeId) -> Option<Duration> {
        self.watched.get(&owner)?.unheard_since.filter(|at| self.now > *at + MAX_SILENCE)
    }

    /// The link a first task waited for is up.
    pub(crate) fn attempt_waiting(&mut self, owner: NodeId) {
        if !self.watched.contains_key(&owner) {
            return;
        }
        let waits = |function: &str| self.membership.owner(function) == Some(owner);
        let waiting = self.table.iter().filter(|(_, record)| record.stage == Stage::Waiting && !record.doubt);
        let tasks: Vec<u64> = waiting.filter(|(_, record)| waits(&record.function)).map(|(task, _)| *task).collect();
        tasks.into_iter().for_each(|task| self.attempt(task));
    }
}
