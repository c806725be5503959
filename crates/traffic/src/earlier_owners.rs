//! How many owners a function may have had lately, as its memberships tell: what an owner may spend that does
//! not know what the owners before it spent depends on how many of those there may have been.

use leases::Membership;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Owners of one function that may have spent within a window, this one not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierOwners {
    Bounded(u32),
    /// This machine has not followed the memberships for a whole window.
    Unknown,
}

/// The memberships of the last window, oldest first, and the one that was in force before them.
pub struct MembershipHistory {
    window: Duration,
    membership_updates: VecDeque<(Duration, Rc<Membership>)>,
}

impl MembershipHistory {
    pub fn new(window: Duration) -> MembershipHistory {
        MembershipHistory { window, membership_updates: VecDeque::new() }
    }

    pub fn add(&mut self, now: Duration, membership: Rc<Membership>) {
        self.membership_updates.push_back((now, membership));
        while self.membership_updates.get(1).is_some_and(|(since, _)| now > *since + self.window) {
            self.membership_updates.pop_front();
        }
    }

    /// A membership that was skipped may have named any owner, and one whose owner came back under a new
    /// incarnation names an owner that knows nothing.
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
