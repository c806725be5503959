//! The store of run-once keys and the store of deferred tasks. A key is granted to one asker
//! only; it is released only by that asker's own word that it never dispatched. A key held by a
//! router that is no longer a member has an outcome nobody knows, and is answered so.

use crate::apply::Draft;
use crate::keys;
use leases::Member;
use wire::{Blob, NodeId, Text};
use wire::{ClaimRecord, ClaimState, CommandReply, DeferredRecord};

/// How long a key is kept whose claim does not say it.
pub const DEFAULT_KEY_TICKS: u32 = 1800;
/// No claim keeps its key longer: a day, and what the router adds.
const MAX_KEY_TICKS: u32 = 2 * 86_400;
const DONE_TICKS: u64 = 3600;
const CLAIMS: u64 = 300_000;
const DEFERRED: u64 = 50_000;

type Asker = (NodeId, u64, u64);

fn owner(record: &ClaimRecord) -> Asker {
    (record.member, record.incarnation, record.request_id)
}

fn reply(state: ClaimState, answer: Blob) -> CommandReply {
    CommandReply::Claim { state, answer }
}

/// Claims a key for a request, to be forgotten so many ticks from now.
pub fn claim(draft: &mut Draft, scope: &str, digest: Blob, asker: Asker, ticks: u32) -> CommandReply {
    let key = format!("k/{scope}");
    let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw)) else {
        let count = draft.number(keys::CLAIMS);
        if count >= CLAIMS {
            return reply(ClaimState::Full, Blob::default());
        }
        let (member, incarnation, request_id) = asker;
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
        draft.put_number(keys::CLAIMS, count + 1);
        draft.expire(&key, ticks);
        return reply(ClaimState::Granted, Blob::default());
    };
    if record.digest != digest {
        return reply(ClaimState::OtherBody, Blob::default());
    }
    if record.is_answered != 0 {
        return reply(ClaimState::Answered, record.answer);
    }
    if owner(&record) == asker {
        return reply(ClaimState::Granted, Blob::default());
    }
    let holder = draft.state.get(&keys::member_key(record.member));
    let lives = holder.and_then(|raw| Member::read(raw)).is_some_and(|line| line.incarnation == record.incarnation);
    let state = if lives { ClaimState::Running } else { ClaimState::Unknown };
    reply(state, Blob::default())
}

pub fn record_answer(draft: &mut Draft, scope: &str, asker: Asker, answer: Blob) -> CommandReply {
    let key = format!("k/{scope}");
    if let Some(mut record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw))
        && owner(&record) == asker
        && record.is_answered == 0
    {
        record.is_answered = 1;
        record.answer = answer;
        draft.put(key, wire::to_bytes(&record));
    }
    CommandReply::Empty
}

pub fn release(draft: &mut Draft, scope: &str, asker: Asker) -> CommandReply {
    let key = format!("k/{scope}");
    if let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<ClaimRecord>(raw))
        && owner(&record) == asker
        && record.is_answered == 0
    {
        draft.drop(key);
        let count = draft.number(keys::CLAIMS);
        draft.put_number(keys::CLAIMS, count.saturating_sub(1));
    }
    CommandReply::Empty
}

pub fn store(draft: &mut Draft, id: &str, function: Text, digest: Blob, task: Blob) -> CommandReply {
    let key = format!("d/{id}");
    if let Some(record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<DeferredRecord>(raw)) {
        let state = match () {
            () if record.digest != digest => ClaimState::OtherBody,
            () if record.is_answered != 0 => ClaimState::Answered,
            () => ClaimState::Running,
        };
        return CommandReply::Stored { state, answer: record.answer };
    }
    let count = draft.number(keys::STORED);
    if count >= DEFERRED {
        return CommandReply::Stored { state: ClaimState::Full, answer: Blob::default() };
    }
    draft.put(format!("p/{}/{id}", function.as_str()), task.into_vec());
    let record = DeferredRecord { function, digest, is_answered: 0, answer: Blob::default() };
    draft.put(key, wire::to_bytes(&record));
    draft.put_number(keys::STORED, count + 1);
    CommandReply::Stored { state: ClaimState::Granted, answer: Blob::default() }
}

pub fn finish(draft: &mut Draft, id: &str, function: &str, answer: Blob) -> CommandReply {
    let key = format!("d/{id}");
    if let Some(mut record) = draft.state.get(&key).and_then(|raw| wire::from_bytes::<DeferredRecord>(raw))
        && record.is_answered == 0
    {
        record.is_answered = 1;
        record.answer = answer;
        draft.drop(format!("p/{function}/{id}"));
        draft.put(key.clone(), wire::to_bytes(&record));
        draft.expire(&key, DONE_TICKS);
    }
    CommandReply::Empty
}
