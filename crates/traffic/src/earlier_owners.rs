//! Number of owners that a function may have had lately, derived from the memberships. An owner that does not know how
//! many retries earlier owners used may use fewer itself, the more earlier owners there may have been.

use leases::Membership;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Number of other owners of a function that may have used retries within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierOwners {
    /// At most this many.
    Bounded(u32),
    /// This router has not followed the memberships for a whole window.
    Unknown,
}

/// Memberships of the last window, oldest first, preceded by the one that applied when the window began.
pub struct MembershipHistory {
    window: Duration,
    membership_updates: VecDeque<(Duration, Rc<Membership>)>,
}

impl MembershipHistory {
    /// Returns an empty history.
    pub fn new(window: Duration) -> MembershipHistory {
        MembershipHistory { window, membership_updates: VecDeque::new() }
    }

    /// Adds a new membership, and drops those that ended before the window.
    pub fn add(&mut self, now: Duration, membership: Rc<Membership>) {
        self.membership_updates.push_back((now, membership));
        while self.membership_updates.get(1).is_some_and(|(since, _)| now > *since + self.window) {
            self.membership_updates.pop_front();
        }
    }

    /// Returns how many other owners the function may have had within the window. Each skipped membership counts as a
    /// change, since it may have named any owner; so does an owner that returned under a new incarnation, since it
    /// knows nothing of its earlier requests.
    pub fn earlier_owners_of(&self, now: Duration, function: &str) -> EarlierOwners {
        let followed = self.membership_updates.front().is_some_and(|(since, _)| now > *since + self.window);
        if !followed {
            return EarlierOwners::Unknown;
        }
        let owner = |membership: &Membership| {
            let id = membership.owner(function)?;
            membership.member(id).map(|line| (id, line.incarnation))
        };
        let changes = self.membership_updates.iter().zip(self.membership_updates.iter().skip(1)).map(
            |((_, before), (since, after))| {
                let steps = after.number.saturating_sub(before.number) as u32;
                match steps {
                    _ if now > *since + self.window => 0,
                    1 => u32::from(owner(before) != owner(after)),
                    _ => steps,
                }
            },
        );
        EarlierOwners::Bounded(changes.sum())
    }
}
