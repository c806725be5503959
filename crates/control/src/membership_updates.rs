//! The memberships recently sent to routers. A router that has one of them is sent only the difference, any other
//! router the complete membership. The first change is sent at once; changes shortly after it are sent together.

use crate::keys;
use chain::State;
use leases::Membership;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{Compressed, LeaseMessage};

/// Minimum time between two memberships that are sent.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of memberships that are kept for differences.
const MAX_RETAINED: usize = 16;

/// Recently sent memberships.
#[derive(Default)]
pub struct MembershipUpdates {
    sent: VecDeque<Membership>,
    sent_at: Duration,
    /// Differences between the newest membership and earlier ones, by the earlier one's number.
    changes: BTreeMap<u64, Compressed>,
}

impl MembershipUpdates {
    /// Returns the number of the membership to send now, which may briefly lag behind the state's.
    pub fn newest_due(&mut self, now: Duration, state: &State) -> u64 {
        let number = keys::read_number(state, keys::MEMBERSHIP);
        let newest = self.sent.back().map_or(0, |membership| membership.number);
        if number <= newest || (newest != 0 && now < self.sent_at + UPDATE_INTERVAL) {
            return newest;
        }
        self.sent_at = now;
        self.changes.clear();
        self.sent.push_back(keys::membership(state));
        if self.sent.len() > MAX_RETAINED {
            self.sent.pop_front();
        }
        number
    }

    /// Returns the newest membership as a complete message, for formats without differences.
    pub fn newest_complete(&self) -> Option<LeaseMessage> {
        let membership = self.sent.back()?;
        Some(LeaseMessage::Membership {
            number: membership.number,
            body: membership.clone().encode(wire::CAPACITY_FORMAT - 1).into(),
        })
    }

    /// Returns the difference between the newest membership and the one that a router has.
    pub fn change_since(&mut self, known: u64) -> Option<LeaseMessage> {
        let newest = self.sent.back()?;
        let earlier = self.sent.iter().find(|membership| membership.number == known);
        let since = earlier.map_or(0, |membership| membership.number);
        let packed = self.changes.entry(since).or_insert_with(|| {
            let change = newest.change_since(earlier.unwrap_or(&Membership::default()));
            wire::compress(&wire::to_bytes(&change))
        });
        let (size, body) = (packed.size, packed.bytes.clone());
        Some(LeaseMessage::MembershipChange { since, number: newest.number, size, body })
    }
}
