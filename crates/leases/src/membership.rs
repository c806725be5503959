//! The numbered list of member routers, and the owner of each function as a pure reading of it: weighted
//! rendezvous hashing over the machines that can carry an owner, each by what it can carry, so that a
//! change of one machine moves only what it must. The membership's number is the fence. Owners follow from
//! the hashing, so it has a number of its own, and the oldest that some member knows is in force.

use deku::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wire::{Capacity, List, NodeId, Text};

/// The newest hashing known here: 1 gives zones and machines equal parts, 2 follows their capacity.
pub const HASHING: u8 = 2;
/// A machine owns something if it can carry this part of what the strongest member can.
const FIT: f64 = 0.25;
/// A machine half as able owns a quarter as much, since it carries tasks as a front as well.
const RAISED: f64 = 2.0;

/// One member router.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Member {
    /// Its id.
    pub id: NodeId,
    /// Its incarnation: another one is another member.
    pub incarnation: u64,
    /// Where other routers reach it.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// Its address for operators.
    pub ops: Text,
    /// Not 0 once it is about to stop.
    pub leaving: u8,
    /// The newest hashing it knows.
    pub hashing: u8,
    /// What its machine can carry.
    pub capacity: Capacity,
}

/// The member routers, under a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Membership {
    /// The number, which fences whatever an owner does.
    pub number: u64,
    /// The members, by id.
    pub members: List<Member>,
}

/// What differs between two memberships: the lines that are new or other, and who is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct MembershipChange {
    /// Members that are new or changed.
    pub lines: List<Member>,
    /// Members that are gone.
    pub gone: List<NodeId>,
}

/// The records of programs that knew only the first hashing.
#[derive(DekuRead, DekuWrite)]
struct PlainMember {
    id: NodeId,
    incarnation: u64,
    address: Text,
    zone: Text,
    ops: Text,
    leaving: u8,
}

#[derive(DekuRead, DekuWrite)]
struct PlainMembership {
    number: u64,
    members: List<PlainMember>,
}

impl From<PlainMember> for Member {
    fn from(line: PlainMember) -> Member {
        let PlainMember { id, incarnation, address, zone, ops, leaving } = line;
        Member { id, incarnation, address, zone, ops, leaving, hashing: 1, capacity: Capacity::default() }
    }
}

impl From<Member> for PlainMember {
    fn from(line: Member) -> PlainMember {
        let Member { id, incarnation, address, zone, ops, leaving, .. } = line;
        PlainMember { id, incarnation, address, zone, ops, leaving }
    }
}

impl Member {
    /// A record of either shape.
    pub fn read(raw: &[u8]) -> Option<Member> {
        wire::from_bytes(raw).or_else(|| wire::from_bytes::<PlainMember>(raw).map(Member::from))
    }

    /// One that joined as a program of the first hashing does stays in that shape.
    pub fn written(&self) -> Vec<u8> {
        if self.hashing < 2 { wire::to_bytes(&PlainMember::from(self.clone())) } else { wire::to_bytes(self) }
    }
}

const SEED: u64 = 0xcbf2_9ce4_8422_2325;

fn go_on(hash: u64, word: &[u8]) -> u64 {
    let bytes = word.iter().copied().chain([0xff]);
    bytes.fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

fn ended(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// A stable 64-bit hash of byte strings; owners follow from it, so it never changes.
pub fn mix(words: &[&[u8]]) -> u64 {
    ended(words.iter().fold(SEED, |hash, word| go_on(hash, word)))
}

impl Membership {
    /// A record of either shape.
    pub fn read(raw: &[u8]) -> Option<Membership> {
        wire::from_bytes(raw).or_else(|| {
            let PlainMembership { number, members } = wire::from_bytes(raw)?;
            let members: Vec<Member> = members.into_vec().into_iter().map(Member::from).collect();
            Some(Membership { number, members: members.into() })
        })
    }

    /// The record as a program of that wire format reads it.
    pub fn written(self, format: u16) -> Vec<u8> {
        if format >= wire::CAPACITY_FORMAT {
            return wire::to_bytes(&self);
        }
        let members: Vec<PlainMember> = self.members.into_vec().into_iter().map(PlainMember::from).collect();
        wire::to_bytes(&PlainMembership { number: self.number, members: members.into() })
    }

    /// The member of this id.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Who owns a function.
    pub fn owner(&self, function: &str) -> Option<NodeId> {
        self.best(function, None)
    }

    /// Who would be owner if this one were lost.
    pub fn owner_after(&self, function: &str, lost: NodeId) -> Option<NodeId> {
        self.best(function, Some(lost))
    }

    /// Those who own something, or may be.
    pub fn owners(&self) -> Vec<NodeId> {
        self.able(None).into_iter().map(|(member, _)| member.id).collect()
    }

    /// The owners in the order in which they are called upon for something that one does for all.
    pub fn in_turn(&self, what: &str) -> Vec<NodeId> {
        let mut owners = self.owners();
        owners.sort_by_key(|id| std::cmp::Reverse(mix(&[what.as_bytes(), &id.to_le_bytes()])));
        owners
    }

    fn best(&self, function: &str, lost: Option<NodeId>) -> Option<NodeId> {
        let able = self.able(lost);
        if self.members.iter().any(|member| member.hashing < 2) {
            return evenly(&able, function);
        }
        let name = go_on(SEED, function.as_bytes());
        let score = |id: NodeId, weight: f64| -weight / unit(ended(go_on(name, &id.to_le_bytes()))).ln();
        let scored = able.into_iter().map(|(member, weight)| (score(member.id, weight), member.id));
        scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, id)| id)
    }

    /// Members that stay, or all where none does, that can carry an owner, each with its weight.
    fn able(&self, lost: Option<NodeId>) -> Vec<(&Member, f64)> {
        let there = || self.members.iter().filter(move |member| lost != Some(member.id));
        let stays = there().any(|member| member.leaving == 0);
        let staying = || there().filter(move |member| !stays || member.leaving == 0);
        if self.members.iter().any(|member| member.hashing < 2) {
            return staying().map(|member| (member, 1.0)).collect();
        }
        let most = |of: fn(&Capacity) -> u32| staying().map(|member| of(&member.capacity)).max().unwrap_or_default();
        let (processor, link) = (most(|has| has.processor_milli), most(|has| has.link_kbit));
        let part = |has: u32, most: u32| if most == 0 { 1.0 } else { f64::from(has) / f64::from(most) };
        let scarcer = |member: &Member| {
            part(member.capacity.processor_milli, processor).min(part(member.capacity.link_kbit, link))
        };
        let two = staying().filter(|member| scarcer(member) >= FIT).take(2).count() == 2;
        let fit = staying().map(|member| (member, scarcer(member))).filter(|(_, part)| !two || *part >= FIT);
        fit.map(|(member, part)| (member, part.max(0.001).powf(RAISED))).collect()
    }
}

impl Membership {
    /// What differs from an earlier membership.
    pub fn change_since(&self, earlier: &Membership) -> MembershipChange {
        let known: BTreeMap<NodeId, &Member> = earlier.members.iter().map(|line| (line.id, line)).collect();
        let here: BTreeSet<NodeId> = self.members.iter().map(|line| line.id).collect();
        let lines: Vec<Member> =
            self.members.iter().filter(|line| known.get(&line.id) != Some(line)).cloned().collect();
        let gone: Vec<NodeId> = known.into_keys().filter(|id| !here.contains(id)).collect();
        MembershipChange { lines: lines.into(), gone: gone.into() }
    }

    /// The membership after a change.
    pub fn changed(&self, number: u64, change: MembershipChange) -> Membership {
        let mut lines: BTreeMap<NodeId, Member> = self.members.iter().map(|line| (line.id, line.clone())).collect();
        change.gone.iter().for_each(|id| drop(lines.remove(id)));
        lines.extend(change.lines.into_vec().into_iter().map(|line| (line.id, line)));
        Membership { number, members: lines.into_values().collect::<Vec<_>>().into() }
    }
}

/// The first hashing: a zone, then a machine within the zone.
fn evenly(able: &[(&Member, f64)], function: &str) -> Option<NodeId> {
    let zones = able.iter().map(|(member, _)| member.zone.as_str());
    let zone = zones.max_by_key(|zone| (mix(&[function.as_bytes(), zone.as_bytes()]), *zone))?;
    let in_it = able.iter().filter(|(member, _)| member.zone.as_str() == zone).map(|(member, _)| member.id);
    in_it.max_by_key(|id| (mix(&[function.as_bytes(), &id.to_le_bytes()]), *id))
}

/// Between 0 and 1, neither of them.
fn unit(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}
