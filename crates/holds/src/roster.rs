//! The numbered list of member routers, and the home of each function as a pure reading of it:
//! rendezvous hashing picks a zone, then a machine within the zone, so a change of one machine
//! moves only what it must and zones bear equal shares. The roster's number is the fence.

use deku::prelude::*;
use wire::{List, NodeId, Text};

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct MemberLine {
    pub id: NodeId,
    pub incarnation: u64,
    pub address: Text,
    pub zone: Text,
    pub ops: Text,
    pub leaving: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Roster {
    pub number: u64,
    pub members: List<MemberLine>,
}

pub fn mix(words: &[&[u8]]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in words.iter().flat_map(|word| word.iter().copied().chain([0xff])) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

impl Roster {
    pub fn member(&self, id: NodeId) -> Option<&MemberLine> {
        self.members.iter().find(|member| member.id == id)
    }

    pub fn home(&self, function: &str) -> Option<NodeId> {
        self.ranked(function, true, None).or_else(|| self.ranked(function, false, None))
    }

    /// Who would be home if this one were lost.
    pub fn home_after(&self, function: &str, lost: NodeId) -> Option<NodeId> {
        self.ranked(function, true, Some(lost))
    }

    fn ranked(&self, function: &str, staying: bool, lost: Option<NodeId>) -> Option<NodeId> {
        let able =
            || self.members.iter().filter(move |member| (!staying || member.leaving == 0) && lost != Some(member.id));
        let zone = able()
            .map(|member| member.zone.as_str())
            .max_by_key(|zone| (mix(&[function.as_bytes(), zone.as_bytes()]), *zone))?;
        able()
            .filter(|member| member.zone.as_str() == zone)
            .max_by_key(|member| (mix(&[function.as_bytes(), &member.id.to_le_bytes()]), member.id))
            .map(|member| member.id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn roster(ids: &[u64]) -> Roster {
        let members: Vec<MemberLine> = ids
            .iter()
            .map(|id| MemberLine {
                id: *id,
                incarnation: 1,
                address: "".into(),
                zone: ["a", "b", "c"][(*id % 3) as usize].into(),
                ops: "".into(),
                leaving: 0,
            })
            .collect();
        Roster { number: 1, members: members.into() }
    }

    #[test]
    fn losing_one_machine_moves_only_its_own_functions_and_every_machine_has_some() {
        let all: Vec<u64> = (1..=10).collect();
        let whole = roster(&all);
        let names: Vec<String> = (0..600).map(|n| format!("t/f{n}")).collect();
        for gone in &all {
            let left: Vec<u64> = all.iter().copied().filter(|id| id != gone).collect();
            let less = roster(&left);
            let mut moved = 0;
            for name in &names {
                let (before, after) = (whole.home(name).unwrap(), less.home(name).unwrap());
                assert!(before != *gone || whole.home_after(name, *gone) == Some(after), "{name}: the next home");
                assert!(before == after || before == *gone, "{name} moved from {before} to {after}");
                moved += usize::from(before == *gone);
            }
            assert!(moved >= 20, "machine {gone} was home to {moved} of {}", names.len());
        }
    }

    #[test]
    fn a_leaving_machine_is_home_to_nothing_while_another_stays() {
        let mut roster = roster(&[1, 2]);
        let mut members = roster.members.clone().into_vec();
        members[0].leaving = 1;
        roster.members = members.into();
        assert!((0..50).all(|n| roster.home(&format!("f{n}")) == Some(2)));
    }
}
