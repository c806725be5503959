//! Routers that joined, are leaving or lapsed between two memberships. Every registry logs them, whichever was the
//! tail. The first membership that a registry sees is not logged as a change, and a registry that has not caught up
//! with any membership (number 0) has seen none.

use crate::keys;
use chain::State;
use events::event;
use leases::{Member, Membership};
use wire::NodeId;

/// Change of a member router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The router joined, or restarted with a new incarnation.
    Joined,
    /// The router announced that it will stop.
    Leaving,
    /// The router's lease ran out.
    Lapsed,
}

/// The last membership whose changes were reported.
#[derive(Default)]
pub struct MembershipLog {
    seen: Option<Membership>,
}

impl MembershipLog {
    /// Returns the changes since the previous call.
    pub fn take_changes(&mut self, state: &State) -> Vec<(MemberChange, Member)> {
        let number = keys::read_number(state, keys::MEMBERSHIP);
        if self.seen.as_ref().is_some_and(|seen| seen.number == number) {
            return Vec::new();
        }
        if number == 0 {
            return Vec::new();
        }
        let membership = keys::membership(state);
        let seen = self.seen.replace(membership.clone());
        seen.map(|seen| changes_between(&seen, &membership)).unwrap_or_default()
    }

    /// Logs the changes since the previous call.
    pub fn log_changes(&mut self, state: &State) {
        for (change, member) in self.take_changes(state) {
            let (id, zone, address) = (member.id, member.zone.as_str(), member.address.as_str());
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

fn find_member(membership: &Membership, id: NodeId) -> Option<&Member> {
    membership.members.iter().find(|member| member.id == id)
}

/// Returns the changes between two memberships. The removal of a router that was leaving is not a lapse: its
/// departure was reported when it announced it.
fn changes_between(seen: &Membership, membership: &Membership) -> Vec<(MemberChange, Member)> {
    let removed =
        seen.members.iter().filter(|member| member.leaving == 0 && find_member(membership, member.id).is_none());
    let lapsed = removed.map(|member| (MemberChange::Lapsed, member.clone()));
    let present = membership.members.iter().filter_map(|member| {
        let known = find_member(seen, member.id).filter(|known| known.incarnation == member.incarnation);
        let change = match known {
            None => MemberChange::Joined,
            Some(known) if known.leaving == 0 && member.leaving != 0 => MemberChange::Leaving,
            Some(_) => return None,
        };
        Some((change, member.clone()))
    });
    lapsed.chain(present).collect()
}
