//! State of the tail's pushes, so that routers are sent only what they lack, and no more often than useful.

use crate::keys;
use crate::membership_updates::MembershipUpdates;
use crate::packed_epochs::PackedEpochs;
use chain::State;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::NodeId;

/// Maximum time between two pushes.
const PUSH_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time between two alignments of the sessions with the members.
const ALIGN_INTERVAL: Duration = Duration::from_millis(50);

/// Cached incarnations of the members, as of a membership.
#[derive(Default)]
struct KnownMembers {
    membership: u64,
    incarnations: Rc<BTreeMap<NodeId, u64>>,
}

/// The last alignment of the sessions with the members.
struct Alignment {
    membership: u64,
    at: Duration,
}

/// State of the pushes to member routers.
#[derive(Default)]
pub struct PushState {
    /// Memberships recently sent to routers.
    pub membership_updates: MembershipUpdates,
    /// Compressed epochs for transfer to routers.
    pub packed_epochs: PackedEpochs,
    members: KnownMembers,
    aligned: Option<Alignment>,
    pushed_at: Duration,
    pushed_commit: u64,
    is_due: bool,
}

impl PushState {
    /// Requests a push, since a router reported progress and may lack the next item.
    pub fn make_due(&mut self) {
        self.is_due = true;
    }

    /// Whether a push is due, as it is after each commit; if so, records it as done.
    pub fn take_due(&mut self, committed: u64, now: Duration) -> bool {
        let is_due = self.is_due || committed != self.pushed_commit || now >= self.pushed_at + PUSH_INTERVAL;
        if is_due {
            self.is_due = false;
            self.pushed_commit = committed;
            self.pushed_at = now;
        }
        is_due
    }

    /// Returns the members' incarnations by id.
    pub fn members(&mut self, state: &State) -> Rc<BTreeMap<NodeId, u64>> {
        let membership = keys::read_number(state, keys::MEMBERSHIP);
        if self.members.membership != membership {
            self.members = KnownMembers { membership, incarnations: Rc::new(keys::incarnations(state)) };
        }
        self.members.incarnations.clone()
    }

    /// Whether the sessions must be aligned with the members; if so, records it as done.
    pub fn take_alignment(&mut self, state: &State, now: Duration) -> bool {
        let membership = keys::read_number(state, keys::MEMBERSHIP);
        let is_aligned = |known: &Alignment| known.membership == membership && now < known.at + ALIGN_INTERVAL;
        let is_due = !self.aligned.as_ref().is_some_and(is_aligned);
        if is_due {
            self.aligned = Some(Alignment { membership, at: now });
        }
        is_due
    }

    /// Forces an alignment, since the sessions were reset.
    pub fn reset_alignment(&mut self) {
        self.aligned = None;
    }
}
