//! Who among the routers joined, is leaving or lapsed between one roster and the next, so that every
//! registry's log tells it, whichever of them was the tail. What a registry finds at its first look
//! is no change; before it has caught up with a first roster it has not looked.

use crate::keys;
use chain::State;
use events::event;
use leases::{MemberLine, Roster};
use wire::NodeId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    Joined,
    Leaving,
    Lapsed,
}

#[derive(Default)]
pub struct Membership {
    seen: Option<Roster>,
}

impl Membership {
    pub fn changes(&mut self, state: &State) -> Vec<(MemberChange, MemberLine)> {
        let number = keys::number(state, keys::ROSTER);
        if self.seen.as_ref().is_some_and(|seen| seen.number == number) {
            return Vec::new();
        }
        if number == 0 {
            return Vec::new();
        }
        let roster = keys::roster(state);
        let seen = self.seen.replace(roster.clone());
        seen.map(|seen| between(&seen, &roster)).unwrap_or_default()
    }

    pub fn tell(&mut self, state: &State) {
        for (change, line) in self.changes(state) {
            let (id, zone, address) = (line.id, line.zone.as_str(), line.address.as_str());
            let (roster, count) = self.seen.as_ref().map_or((0, 0), |seen| (seen.number, seen.members.iter().count()));
            match change {
                MemberChange::Joined => {
                    event!(member_joined, "{id:016x} at {address}, zone {zone}; roster {roster} of {count}")
                }
                MemberChange::Leaving => {
                    event!(member_leaving, "{id:016x} at {address}, zone {zone}; roster {roster} of {count}")
                }
                MemberChange::Lapsed => {
                    event!(member_lapsed, "{id:016x} at {address}, zone {zone}; roster {roster} of {count}")
                }
            }
        }
    }
}

fn find(roster: &Roster, id: NodeId) -> Option<&MemberLine> {
    roster.members.iter().find(|line| line.id == id)
}

/// A router that left after it had said so is no lapse: that it leaves was told before.
fn between(seen: &Roster, roster: &Roster) -> Vec<(MemberChange, MemberLine)> {
    let gone = seen.members.iter().filter(|line| line.leaving == 0 && find(roster, line.id).is_none());
    let gone = gone.map(|line| (MemberChange::Lapsed, line.clone()));
    let here = roster.members.iter().filter_map(|line| {
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
