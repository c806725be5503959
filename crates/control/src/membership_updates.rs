//! The memberships routers were sent of late, so that one who has one of them is sent only what differs from
//! it; whoever has none of them is sent the whole. A change goes out at once, those after it together.

use crate::keys;
use chain::State;
use leases::Membership;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{Compressed, LeaseMessage};

const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RETAINED: usize = 16;

#[derive(Default)]
pub struct MembershipUpdates {
    sent: VecDeque<Membership>,
    sent_at: Duration,
    /// What differs in the newest from an earlier one, by the number of that.
    changes: BTreeMap<u64, Compressed>,
}

impl MembershipUpdates {
    /// The number to be sent at this moment, which may be behind the state's for a little.
    pub fn newest(&mut self, now: Duration, state: &State) -> u64 {
        let number = keys::number(state, keys::MEMBERSHIP);
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

    pub fn newest_complete(&self) -> Option<LeaseMessage> {
        let membership = self.sent.back()?;
        Some(LeaseMessage::Membership {
            number: membership.number,
            body: membership.clone().written(wire::CAPACITY_FORMAT - 1).into(),
        })
    }

    pub fn change(&mut self, known: u64) -> Option<LeaseMessage> {
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
