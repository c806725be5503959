//! What the tail remembers to send member routers only what they lack, and only as often as it helps.

use crate::keys;
use crate::membership_updates::MembershipUpdates;
use crate::packed_steps::PackedSteps;
use chain::State;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::NodeId;

/// Routers are sent what they lack at least this often.
const PUSH_INTERVAL: Duration = Duration::from_millis(40);
/// Sessions are aligned with the members at least this often.
const ALIGN_INTERVAL: Duration = Duration::from_millis(50);

/// Members by incarnation, as of a membership.
#[derive(Default)]
struct KnownMembers {
    membership: u64,
    incarnations: Rc<BTreeMap<NodeId, u64>>,
}

struct Alignment {
    membership: u64,
    at: Duration,
}

/// State of the pushes.
#[derive(Default)]
pub struct PushState {
    /// Memberships that routers were sent lately.
    pub membership_updates: MembershipUpdates,
    /// Epochs as they are packed for routers.
    pub packed_steps: PackedSteps,
    members: KnownMembers,
    aligned: Option<Alignment>,
    pushed_at: Duration,
    pushed_commit: u64,
    is_due: bool,
}

impl PushState {
    /// A router reported something after which it may lack something else.
    pub fn make_due(&mut self) {
        self.is_due = true;
    }

    /// Whether a push is due, which it is after each commit; if so, it is taken to be made.
    pub fn take_due(&mut self, committed: u64, now: Duration) -> bool {
        let is_due = self.is_due || committed != self.pushed_commit || now >= self.pushed_at + PUSH_INTERVAL;
        if is_due {
            self.is_due = false;
            self.pushed_commit = committed;
            self.pushed_at = now;
        }
        is_due
    }

    /// The members by incarnation.
    pub fn members(&mut self, state: &State) -> Rc<BTreeMap<NodeId, u64>> {
        let membership = keys::number(state, keys::MEMBERSHIP);
        if self.members.membership != membership {
            self.members = KnownMembers { membership, incarnations: Rc::new(keys::incarnations(state)) };
        }
        self.members.incarnations.clone()
    }

    /// Whether sessions are to be aligned with the members; if so, they are taken to be.
    pub fn take_alignment(&mut self, state: &State, now: Duration) -> bool {
        let membership = keys::number(state, keys::MEMBERSHIP);
        let is_aligned = |known: &Alignment| known.membership == membership && now < known.at + ALIGN_INTERVAL;
        let is_due = !self.aligned.as_ref().is_some_and(is_aligned);
        if is_due {
            self.aligned = Some(Alignment { membership, at: now });
        }
        is_due
    }

    /// Sessions were started anew.
    pub fn forget_alignment(&mut self) {
        self.aligned = None;
    }
}
