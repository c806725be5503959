//! Detection of owners that cannot be forwarded to. An owner sends heartbeats to each front whose requests it has, and
//! any of its frames counts as one. An owner that sends nothing for a while after a forward counts as silent: the front
//! forwards nothing more to it and requests a heartbeat until the owner answers. It also requests heartbeats from an
//! owner that is not linked yet.

use crate::front::Front;
use crate::front_types::{FrontOutput, Stage};
use std::time::Duration;
use wire::{ForwardMessage, NodeId};

/// How long an owner may send nothing after a forward before it counts as silent. Nothing more is forwarded to a silent
/// owner, so that only earlier requests have an unknown outcome.
const MAX_SILENCE: Duration = Duration::from_millis(350);
const HEARTBEAT_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// What a front knows of an owner's liveness.
#[derive(Clone, Copy, Default)]
pub(crate) struct OwnerWatch {
    /// Time of the first forward since the owner's last frame.
    unheard_since: Option<Duration>,
    /// When a heartbeat was last requested.
    requested_at: Option<Duration>,
}

impl Front {
    /// Records a frame from an owner.
    pub(crate) fn heard(&mut self, owner: NodeId) {
        let known = self.owner_watches.get_mut(&owner).map(std::mem::take);
        if known.is_some_and(|watched| watched.requested_at.is_some()) {
            self.attempt_waiting(owner);
        }
    }

    /// Returns whether a request may be forwarded to the owner now; if so, counts it as forwarded.
    pub(crate) fn may_forward_to(&mut self, owner: NodeId) -> bool {
        if owner == self.me {
            return true;
        }
        let (now, linked) = (self.now, self.linked_nodes.contains(&owner));
        let watched = self.owner_watches.entry(owner).or_default();
        if linked && watched.unheard_since.is_none_or(|at| now <= at + MAX_SILENCE) {
            watched.unheard_since.get_or_insert(now);
            return true;
        }
        if watched.requested_at.is_none_or(|at| now >= at + HEARTBEAT_REQUEST_INTERVAL) {
            watched.requested_at = Some(now);
            self.outputs.push(FrontOutput::Forward { to: owner, message: ForwardMessage::HeartbeatRequest });
        }
        false
    }

    /// Returns since when a silent owner has sent nothing; `None` if it is not silent.
    pub(crate) fn silent_since(&self, owner: NodeId) -> Option<Duration> {
        self.owner_watches.get(&owner)?.unheard_since.filter(|at| self.now > *at + MAX_SILENCE)
    }

    /// Forwards the requests that waited for an owner, now that it is linked or heard.
    pub(crate) fn attempt_waiting(&mut self, owner: NodeId) {
        if !self.owner_watches.contains_key(&owner) {
            return;
        }
        let waits = |function: &str| self.membership.owner(function) == Some(owner);
        let waiting = self.requests.iter().filter(|(_, record)| record.stage == Stage::Waiting && !record.may_have_run);
        let tasks: Vec<u64> = waiting.filter(|(_, record)| waits(&record.function)).map(|(task, _)| *task).collect();
        tasks.into_iter().for_each(|task| self.attempt(task));
    }
}
