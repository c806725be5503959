//! Members and time: routers joining, leaving, lapsing, each under a new membership number; and the
//! chain's own ticks, by which records are forgotten without trusting any wall clock.

use crate::apply::Draft;
use crate::keys;
use leases::Member;
use wire::NodeId;
use wire::{ClaimRecord, CommandReply};

const FORGOTTEN_PER_TICK: usize = 2000;

fn next_membership(draft: &mut Draft) {
    let number = draft.number(keys::MEMBERSHIP) + 1;
    draft.put_number(keys::MEMBERSHIP, number);
}

pub fn join(draft: &mut Draft, line: Member) -> CommandReply {
    let (key, raw) = (keys::member_key(line.id), line.written());
    if draft.state.get(&key).is_none_or(|known| known[..] != raw[..]) {
        draft.put(key, raw);
        next_membership(draft);
    }
    CommandReply::Empty
}

fn known(draft: &Draft, id: NodeId, incarnation: u64) -> Option<Member> {
    let raw = draft.state.get(&keys::member_key(id))?;
    Member::read(raw).filter(|line| line.incarnation == incarnation)
}

pub fn lapse(draft: &mut Draft, id: NodeId, incarnation: u64) -> CommandReply {
    if known(draft, id, incarnation).is_some() {
        draft.drop(keys::member_key(id));
        next_membership(draft);
    }
    CommandReply::Empty
}

pub fn leaving(draft: &mut Draft, id: NodeId, incarnation: u64) -> CommandReply {
    if let Some(mut line) = known(draft, id, incarnation)
        && line.leaving == 0
    {
        line.leaving = 1;
        draft.put(keys::member_key(id), line.written());
        next_membership(draft);
    }
    CommandReply::Empty
}

pub fn tick(draft: &mut Draft, number: u64) -> CommandReply {
    let ticks = draft.number(keys::TICKS);
    if number != ticks + 1 {
        return CommandReply::Empty;
    }
    draft.put_number(keys::TICKS, number);
    let end = format!("x/{number:012}/~");
    let due: Vec<String> = keys::with_prefix(draft.state, "x/")
        .map(|(key, _)| key.clone())
        .take_while(|key| *key <= end)
        .take(FORGOTTEN_PER_TICK)
        .collect();
    let (mut claims, mut stored) = (0, 0);
    for key in due {
        let record = key.splitn(3, '/').nth(2).unwrap_or_default().to_owned();
        if is_due(draft, &record, number) {
            claims += u64::from(record.starts_with("k/"));
            stored += u64::from(record.starts_with("d/"));
            draft.drop(record);
        }
        draft.drop(key);
    }
    if claims + stored > 0 {
        draft.put_number(keys::CLAIMS, draft.number(keys::CLAIMS).saturating_sub(claims));
        draft.put_number(keys::STORED, draft.number(keys::STORED).saturating_sub(stored));
    }
    CommandReply::Empty
}

/// A key claimed anew after a release outlives the mark its first claim left.
fn is_due(draft: &Draft, key: &str, number: u64) -> bool {
    match draft.state.get(key) {
        Some(raw) if key.starts_with("k/") => {
            wire::from_bytes::<ClaimRecord>(raw).is_none_or(|record| record.expiry_tick <= number)
        }
        other => other.is_some(),
    }
}
