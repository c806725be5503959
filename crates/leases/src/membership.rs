//! Numbered list of member routers. The owner of each function is a pure function of this list: weighted rendezvous
//! hashing over the machines with enough capacity, weighted by that capacity, so a change of one machine moves only
//! the functions it has to. The membership number is the fence. Owners depend on the hashing, which is therefore
//! versioned; the oldest version among the members applies.

use deku::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wire::{Capacity, List, NodeId, Text};

/// Newest hashing version known here: 1 gives zones and machines equal shares, 2 weights machines by capacity.
pub const HASHING_VERSION: u8 = 2;
/// Minimum capacity of an owner, as a fraction of the strongest member's.
const MIN_CAPACITY_FRACTION: f64 = 0.25;
/// Exponent of the capacity in an owner's weight: a machine with half of the capacity owns a quarter as much, since it
/// also forwards requests as a front.
const CAPACITY_EXPONENT: f64 = 2.0;

/// One member router.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Member {
    /// Id of the router.
    pub id: NodeId,
    /// Incarnation of the router; a new incarnation is a new member.
    pub incarnation: u64,
    /// Address for other routers.
    pub address: Text,
    /// Zone of the router.
    pub zone: Text,
    /// Address for operators.
    pub ops: Text,
    /// Nonzero if the router is about to stop.
    pub leaving: u8,
    /// Newest hashing version that the router knows.
    pub hashing: u8,
    /// Capacity of its machine.
    pub capacity: Capacity,
}

/// Member routers, with a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Membership {
    /// Number of the membership, which fences the actions of owners.
    pub number: u64,
    /// Members, ordered by id.
    pub members: List<Member>,
}

/// Difference between two memberships.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct MembershipChange {
    /// Members that are new or changed.
    pub updated: List<Member>,
    /// Ids of removed members.
    pub removed: List<NodeId>,
}

/// Member record of programs that know only hashing version 1.
#[derive(DekuRead, DekuWrite)]
struct MemberV1 {
    id: NodeId,
    incarnation: u64,
    address: Text,
    zone: Text,
    ops: Text,
    leaving: u8,
}

/// Membership record of programs that know only hashing version 1.
#[derive(DekuRead, DekuWrite)]
struct MembershipV1 {
    number: u64,
    members: List<MemberV1>,
}

impl From<MemberV1> for Member {
    fn from(member: MemberV1) -> Member {
        let MemberV1 { id, incarnation, address, zone, ops, leaving } = member;
        Member { id, incarnation, address, zone, ops, leaving, hashing: 1, capacity: Capacity::default() }
    }
}

impl From<Member> for MemberV1 {
    fn from(member: Member) -> MemberV1 {
        let Member { id, incarnation, address, zone, ops, leaving, .. } = member;
        MemberV1 { id, incarnation, address, zone, ops, leaving }
    }
}

impl Member {
    /// Decodes a record of either format.
    pub fn read(raw: &[u8]) -> Option<Member> {
        wire::from_bytes(raw).or_else(|| wire::from_bytes::<MemberV1>(raw).map(Member::from))
    }

    /// Encodes the record; a member that knows only hashing version 1 is written in the older format.
    pub fn encode(&self) -> Vec<u8> {
        if self.hashing < 2 { wire::to_bytes(&MemberV1::from(self.clone())) } else { wire::to_bytes(self) }
    }
}

const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

fn hash_word(hash: u64, word: &[u8]) -> u64 {
    let bytes = word.iter().copied().chain([0xff]);
    bytes.fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

fn finalize_hash(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns a stable 64-bit hash of byte strings. Owners depend on it, so it must never change.
pub fn stable_hash(words: &[&[u8]]) -> u64 {
    finalize_hash(words.iter().fold(HASH_OFFSET, |hash, word| hash_word(hash, word)))
}

impl Membership {
    /// Decodes a record of either format.
    pub fn read(raw: &[u8]) -> Option<Membership> {
        wire::from_bytes(raw).or_else(|| {
            let MembershipV1 { number, members } = wire::from_bytes(raw)?;
            let members: Vec<Member> = members.into_vec().into_iter().map(Member::from).collect();
            Some(Membership { number, members: members.into() })
        })
    }

    /// Encodes the record for programs of a wire format.
    pub fn encode(self, format: u16) -> Vec<u8> {
        if format >= wire::CAPACITY_FORMAT {
            return wire::to_bytes(&self);
        }
        let members: Vec<MemberV1> = self.members.into_vec().into_iter().map(MemberV1::from).collect();
        wire::to_bytes(&MembershipV1 { number: self.number, members: members.into() })
    }

    /// Returns the member with this id.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns the owner of a function.
    pub fn owner(&self, function: &str) -> Option<NodeId> {
        self.select_owner(function, None)
    }

    /// Returns the owner of a function if the member `lost` were gone.
    pub fn owner_after(&self, function: &str, lost: NodeId) -> Option<NodeId> {
        self.select_owner(function, Some(lost))
    }

    /// Returns the members that can own functions.
    pub fn owners(&self) -> Vec<NodeId> {
        self.eligible_members(None).into_iter().map(|(member, _)| member.id).collect()
    }

    /// Returns the owners in the order of preference for a task that one of them does for all.
    pub fn in_order_of_preference(&self, task: &str) -> Vec<NodeId> {
        let mut owners = self.owners();
        owners.sort_by_key(|id| std::cmp::Reverse(stable_hash(&[task.as_bytes(), &id.to_le_bytes()])));
        owners
    }

    fn select_owner(&self, function: &str, lost: Option<NodeId>) -> Option<NodeId> {
        let eligible_members = self.eligible_members(lost);
        if self.members.iter().any(|member| member.hashing < 2) {
            return select_owner_unweighted(&eligible_members, function);
        }
        let name = hash_word(HASH_OFFSET, function.as_bytes());
        let score = |id: NodeId, weight: f64| {
            -weight / to_unit_interval(finalize_hash(hash_word(name, &id.to_le_bytes()))).ln()
        };
        let scored = eligible_members.into_iter().map(|(member, weight)| (score(member.id, weight), member.id));
        scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, id)| id)
    }

    /// Returns the members that can own functions, with their weights. Leaving members are excluded unless all leave.
    fn eligible_members(&self, lost: Option<NodeId>) -> Vec<(&Member, f64)> {
        let present = || self.members.iter().filter(move |member| lost != Some(member.id));
        let any_stays = present().any(|member| member.leaving == 0);
        let staying = || present().filter(move |member| !any_stays || member.leaving == 0);
        if self.members.iter().any(|member| member.hashing < 2) {
            return staying().map(|member| (member, 1.0)).collect();
        }
        let maximum = |of: fn(&Capacity) -> u32| staying().map(|member| of(&member.capacity)).max().unwrap_or_default();
        let (processor, link) = (maximum(|has| has.processor_milli), maximum(|has| has.link_kbit));
        let fraction = |has: u32, maximum: u32| if maximum == 0 { 1.0 } else { f64::from(has) / f64::from(maximum) };
        let capacity_fraction = |member: &Member| {
            fraction(member.capacity.processor_milli, processor).min(fraction(member.capacity.link_kbit, link))
        };
        let two_are_fit =
            staying().filter(|member| capacity_fraction(member) >= MIN_CAPACITY_FRACTION).take(2).count() == 2;
        let selected = staying()
            .map(|member| (member, capacity_fraction(member)))
            .filter(|(_, fraction)| !two_are_fit || *fraction >= MIN_CAPACITY_FRACTION);
        selected.map(|(member, fraction)| (member, fraction.max(0.001).powf(CAPACITY_EXPONENT))).collect()
    }
}

impl Membership {
    /// Returns the difference from an earlier membership.
    pub fn change_since(&self, earlier: &Membership) -> MembershipChange {
        let known: BTreeMap<NodeId, &Member> = earlier.members.iter().map(|member| (member.id, member)).collect();
        let present_ids: BTreeSet<NodeId> = self.members.iter().map(|member| member.id).collect();
        let updated: Vec<Member> =
            self.members.iter().filter(|member| known.get(&member.id) != Some(member)).cloned().collect();
        let removed: Vec<NodeId> = known.into_keys().filter(|id| !present_ids.contains(id)).collect();
        MembershipChange { updated: updated.into(), removed: removed.into() }
    }

    /// Returns the membership after a change.
    pub fn with_change(&self, number: u64, change: MembershipChange) -> Membership {
        let mut members: BTreeMap<NodeId, Member> =
            self.members.iter().map(|member| (member.id, member.clone())).collect();
        change.removed.iter().for_each(|id| drop(members.remove(id)));
        members.extend(change.updated.into_vec().into_iter().map(|member| (member.id, member)));
        Membership { number, members: members.into_values().collect::<Vec<_>>().into() }
    }
}

/// Hashing version 1: selects a zone, then a machine in that zone.
fn select_owner_unweighted(eligible_members: &[(&Member, f64)], function: &str) -> Option<NodeId> {
    let zones = eligible_members.iter().map(|(member, _)| member.zone.as_str());
    let zone = zones.max_by_key(|zone| (stable_hash(&[function.as_bytes(), zone.as_bytes()]), *zone))?;
    let in_zone =
        eligible_members.iter().filter(|(member, _)| member.zone.as_str() == zone).map(|(member, _)| member.id);
    in_zone.max_by_key(|id| (stable_hash(&[function.as_bytes(), &id.to_le_bytes()]), *id))
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn to_unit_interval(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
