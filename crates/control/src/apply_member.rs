//! Membership and logical time: routers that join, leave or lapse, each of which increments the membership
//! number; and the ticks of the chain's own clock, which expire records without trusting any wall clock.

use crate::apply::Draft;
use crate::keys;
use leases::Member;
use wire::NodeId;
use wire::{ClaimRecord, CommandReply};

/// Maximum number of expiry marks that one tick processes.
const MAX_EXPIRED_PER_TICK: usize = 2000;

fn increment_membership(draft: &mut Draft) {
    let number = draft.number(keys::MEMBERSHIP) + 1;
    draft.put_number(keys::MEMBERSHIP, number);
}

/// Adds a member, or replaces its record if that differs.
pub fn join(draft: &mut Draft, member: Member) -> CommandReply {
    let (key, raw) = (keys::member_key(member.id), member.encode());
    if draft.state.get(&key).is_none_or(|known| known[..] != raw[..]) {
        draft.put(key, raw);
        increment_membership(draft);
    }
    CommandReply::Empty
}

fn member_of_incarnation(draft: &Draft, id: NodeId, incarnation: u64) -> Option<Member> {
    let raw = draft.state.get(&keys::member_key(id))?;
    Member::read(raw).filter(|member| member.incarnation == incarnation)
}

/// Removes a member whose lease ran out, if its incarnation matches.
pub fn remove_lapsed(draft: &mut Draft, id: NodeId, incarnation: u64) -> CommandReply {
    if member_of_incarnation(draft, id, incarnation).is_some() {
        draft.remove(keys::member_key(id));
        increment_membership(draft);
    }
    CommandReply::Empty
}

/// Marks a member as leaving, if its incarnation matches.
pub fn mark_leaving(draft: &mut Draft, id: NodeId, incarnation: u64) -> CommandReply {
    if let Some(mut member) = member_of_incarnation(draft, id, incarnation)
        && member.leaving == 0
    {
        member.leaving = 1;
        draft.put(keys::member_key(id), member.encode());
        increment_membership(draft);
    }
    CommandReply::Empty
}

/// Advances the chain's clock by one and removes the records that expire with this tick.
pub fn advance_clock(draft: &mut Draft, number: u64) -> CommandReply {
    let ticks = draft.number(keys::TICKS);
    if number != ticks + 1 {
        return CommandReply::Empty;
    }
    draft.put_number(keys::TICKS, number);
    let end = format!("x/{number:012}/~");
    let due: Vec<String> = keys::with_prefix(draft.state, "x/")
        .map(|(key, _)| key.clone())
        .take_while(|key| *key <= end)
        .take(MAX_EXPIRED_PER_TICK)
        .collect();
    let (mut claims, mut deferred) = (0, 0);
    for key in due {
        let record = key.splitn(3, '/').nth(2).unwrap_or_default().to_owned();
        if has_expired(draft, &record, number) {
            claims += u64::from(record.starts_with("k/"));
            deferred += u64::from(record.starts_with("d/"));
            draft.remove(record);
        }
        draft.remove(key);
    }
    if claims + deferred > 0 {
        draft.put_number(keys::CLAIM_COUNT, draft.number(keys::CLAIM_COUNT).saturating_sub(claims));
        draft.put_number(keys::DEFERRED_COUNT, draft.number(keys::DEFERRED_COUNT).saturating_sub(deferred));
    }
    CommandReply::Empty
}

/// Whether a record has expired. A run-once key that was released and claimed again outlives the expiry mark of
/// its first claim.
fn has_expired(draft: &Draft, key: &str, number: u64) -> bool {
    match draft.state.get(key) {
        Some(raw) if key.starts_with("k/") => {
            wire::from_bytes::<ClaimRecord>(raw).is_none_or(|record| record.expiry_tick <= number)
        }
        other => other.is_some(),
    }
}
