//! Run-once keys and deferred requests. A key is granted to one claimant only, and is released only when that
//! claimant reports that it never dispatched the request. If the holder of an unanswered key is a router that is no
//! longer a member, claims are answered with an unknown outcome.

use crate::apply::Draft;
use crate::keys;
use leases::Member;
use wire::{Blob, NodeId, Text};
use wire::{ClaimRecord, ClaimState, CommandReply, DeferredRecord};

/// Ticks for which a key is kept if its claim does not name a window.
pub const DEFAULT_KEY_TICKS: u32 = 1800;
/// Maximum number of ticks for which a key is kept: the longest window, a day, and the margin that the router adds.
const MAX_KEY_TICKS: u32 = 2 * 86_400;
/// Ticks for which a finished deferred request is kept.
const FINISHED_TICKS: u64 = 3600;
/// Maximum number of run-once keys.
const MAX_KEYS: u64 = 300_000;
/// Maximum number of deferred requests.
const MAX_DEFERRED_REQUESTS: u64 = 50_000;

/// A claimant: member, incarnation and request id.
type Claimant = (NodeId, u64, u64);

fn claimant_of(record: &ClaimRecord) -> Claimant {
    (record.member, record.incarnation, record.request_id)
}

fn reply(state: ClaimState, answer: Blob) -> CommandReply {
    CommandReply::Claim { state, answer }
}

/// Claims a key for a request. The key expires after the given number of ticks.
pub fn claim_key(draft: &mut Draft, scope: &str, digest: Blob, claimant: Claimant, ticks: u32) -> CommandReply {
    let key = format!("k/{scope}");
    let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw)) else {
        let count = draft.number(keys::CLAIM_COUNT);
        if count >= MAX_KEYS {
            return reply(ClaimState::Full, Blob::default());
        }
        let (member, incarnation, request_id) = claimant;
        let ticks = u64::from(ticks.clamp(1, MAX_KEY_TICKS));
        let due = draft.number(keys::TICKS) + ticks;
        let record = ClaimRecord {
            digest,
            member,
            incarnation,
            request_id,
            expiry_tick: due,
            is_answered: 0,
            answer: Blob::default(),
        };
        draft.put(key.clone(), wire::to_bytes(&record));
        draft.put_number(keys::CLAIM_COUNT, count + 1);
        draft.schedule_removal(&key, ticks);
        return reply(ClaimState::Granted, Blob::default());
    };
    if record.digest != digest {
        return reply(ClaimState::OtherBody, Blob::default());
    }
    if record.is_answered != 0 {
        return reply(ClaimState::Answered, record.answer);
    }
    if claimant_of(&record) == claimant {
        return reply(ClaimState::Granted, Blob::default());
    }
    let holder = draft.state.get(&keys::member_key(record.member));
    let is_member =
        holder.and_then(|raw| Member::read(raw)).is_some_and(|member| member.incarnation == record.incarnation);
    let state = if is_member { ClaimState::Running } else { ClaimState::Unknown };
    reply(state, Blob::default())
}

/// Records the answer to the request that holds a key.
pub fn record_answer(draft: &mut Draft, scope: &str, claimant: Claimant, answer: Blob) -> CommandReply {
    let key = format!("k/{scope}");
    if let Some(mut record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw))
        && claimant_of(&record) == claimant
        && record.is_answered == 0
    {
        record.is_answered = 1;
        record.answer = answer;
        draft.put(key, wire::to_bytes(&record));
    }
    CommandReply::Empty
}

/// Releases a key that its holder did not use.
pub fn release_key(draft: &mut Draft, scope: &str, claimant: Claimant) -> CommandReply {
    let key = format!("k/{scope}");
    if let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw))
        && claimant_of(&record) == claimant
        && record.is_answered == 0
    {
        draft.remove(key);
        let count = draft.number(keys::CLAIM_COUNT);
        draft.put_number(keys::CLAIM_COUNT, count.saturating_sub(1));
    }
    CommandReply::Empty
}

/// Stores a deferred request.
pub fn store_deferred(draft: &mut Draft, id: &str, function: Text, digest: Blob, task: Blob) -> CommandReply {
    let key = format!("d/{id}");
    if let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<DeferredRecord>(raw)) {
        let state = match () {
            () if record.digest != digest => ClaimState::OtherBody,
            () if record.is_answered != 0 => ClaimState::Answered,
            () => ClaimState::Running,
        };
        return CommandReply::Stored { state, answer: record.answer };
    }
    let count = draft.number(keys::DEFERRED_COUNT);
    if count >= MAX_DEFERRED_REQUESTS {
        return CommandReply::Stored { state: ClaimState::Full, answer: Blob::default() };
    }
    draft.put(format!("p/{}/{id}", function.as_str()), task.into_vec());
    let record = DeferredRecord { function, digest, is_answered: 0, answer: Blob::default() };
    draft.put(key, wire::to_bytes(&record));
    draft.put_number(keys::DEFERRED_COUNT, count + 1);
    CommandReply::Stored { state: ClaimState::Granted, answer: Blob::default() }
}

/// Records the answer of a deferred request and removes the request from its function's queue.
pub fn finish_deferred(draft: &mut Draft, id: &str, function: &str, answer: Blob) -> CommandReply {
    let key = format!("d/{id}");
    if let Some(mut record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<DeferredRecord>(raw))
        && record.is_answered == 0
    {
        record.is_answered = 1;
        record.answer = answer;
        draft.remove(format!("p/{function}/{id}"));
        draft.put(key.clone(), wire::to_bytes(&record));
        draft.schedule_removal(&key, FINISHED_TICKS);
    }
    CommandReply::Empty
}
