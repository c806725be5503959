//! Who among the routers joined, is leaving or lapsed between one membership and the next, so that every
//! registry's log tells it, whichever of them was the tail. What a registry finds at its first look
//! is no change; before it has caught up with a first membership it has not looked.

use crate::keys;
use chain::State;
use events::event;
use leases::{Member, Membership};
use wire::NodeId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    Joined,
    Leaving,
    Lapsed,
}

#[derive(Default)]
pub struct MembershipLog {
    seen: Option<Membership>,
}

impl MembershipLog {
    pub fn changes(&mut self, state: &State) -> Vec<(MemberChange, Member)> {
        let number = keys::number(state, keys::MEMBERSHIP);
        if self.seen.as_ref().is_some_and(|seen| seen.number == number) {
            return Vec::new();
        }
        if number == 0 {
            return Vec::new();
        }
        let membership = keys::membership(state);
        let seen = self.seen.replace(membership.clone());
        seen.map(|seen| between(&seen, &membership)).unwrap_or_default()
    }

    pub fn tell(&mut self, state: &State) {
        for (change, line) in self.changes(state) {
            let (id, zone, address) = (line.id, line.zone.as_str(), line.address.as_str());
            let (membership, count) =
                self.seen.as_ref().map_or((0, 0), |seen| (seen.number, seen.members.iter().count()));
            match change {
                MemberChange::Joined => {
                    event!(member_joined, "{id:016x} at {address}, zone {zone}; roster {membership} of {count}")
                }
                MemberChange::Leaving => {
                    event!(member_leaving, "{id:016x} at {address}, zone {zone}; roster {membership} of {count}")
                }
                MemberChange::Lapsed => {
                    event!(lease_expired, "{id:016x} at {address}, zone {zone}; roster {membership} of {count}")
                }
            }
        }
    }
}

fn find(membership: &Membership, id: NodeId) -> Option<&Member> {
    membership.members.iter().find(|line| line.id == id)
}

/// A router that left after it had said so is no lapse: that it leaves was told before.
fn between(seen: &Membership, membership: &Membership) -> Vec<(MemberChange, Member)> {
    let gone = seen.members.iter().filter(|line| line.leaving == 0 && find(membership, line.id).is_none());
    let gone = gone.map(|line| (MemberChange::Lapsed, line.clone()));
    let here = membership.members.iter().filter_map(|line| {
        let known = find(seen, line.id).filter(|known| known.incarnation == line.incarnation);
        let change = match known {
            None => MemberChange::Joined,
            Some(known) if known.leaving == 0 && line.leaving != 0 => MemberChange::Leaving,
            Some(_) => return None,
        };
        Some((change, line.clone()))
    });
    gone.chain(here).collect()
}
