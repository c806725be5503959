//! Configuration changes: each is a compare-and-set on the latest revision, is validated as a whole, and is
//! kept as a numbered epoch until it is activated. A repeated operation id gets the reply of the accepted change.

use crate::api_calls::ApiReply;
use crate::apply::Draft;
use crate::change_validation::{Change, ChangeRefused, validate};
use crate::keys;
use chain::State;
use serde_json::{Value, json};
use wire::{CommandReply, OpRecord};
use wire::{ConfigurationEpoch, ConfigurationItem, NodeId};

/// Ticks for which the outcome of an operation is kept.
const OPERATION_TICKS: u64 = 86_400;
/// Maximum number of activated epochs that are kept for routers that lag behind. The active epoch is kept
/// whatever its size, since it names the quorum.
const MAX_RETAINED_EPOCHS: u64 = 64;
/// Maximum size of the activated epochs that are kept.
const MAX_RETAINED_BYTES: usize = 512 * 1024;

fn remembered_reply(draft: &Draft, key: &str) -> Option<CommandReply> {
    draft.state.get(key).and_then(|raw| wire::from_bytes::<OpRecord>(raw)).map(|record| record.reply)
}

fn validate_and_stage(draft: &mut Draft, change: &Change) -> CommandReply {
    match validate(draft, change) {
        Ok(changed) => stage_change(draft, change.revision, changed),
        Err(ChangeRefused { status, body }) => CommandReply::Refused { status, body: body.into_bytes().into() },
    }
}

fn remember(draft: &mut Draft, key: &str, reply: CommandReply) {
    draft.put(key, wire::to_bytes(&OpRecord { reply }));
    draft.schedule_removal(key, OPERATION_TICKS);
}

/// Executes an entry of format 2, whose refusal is remembered like an accepted change.
pub fn apply_change(draft: &mut Draft, op: &str, change: &Change) -> CommandReply {
    let key = format!("{}{op}", keys::ACCEPTED_OPERATIONS);
    if let Some(reply) = remembered_reply(draft, &key) {
        return reply;
    }
    let reply = validate_and_stage(draft, change);
    remember(draft, &key, reply.clone());
    reply
}

/// Executes a change that may declare its revision. A repeated operation gets its first reply only if the change
/// was accepted; a refused change is validated again, since it may be valid by then. The refusal is kept for
/// lookups of the operation.
pub fn apply_declared_change(draft: &mut Draft, op: &str, change: &Change) -> CommandReply {
    let key = format!("{}{op}", keys::ACCEPTED_OPERATIONS);
    if let Some(reply @ CommandReply::Changed { .. }) = remembered_reply(draft, &key) {
        return reply;
    }
    let reply = validate_and_stage(draft, change);
    match &reply {
        CommandReply::Refused { status, .. } => {
            let without_body = CommandReply::Refused { status: *status, body: Vec::new().into() };
            remember(draft, &format!("{}{op}", keys::REFUSED_OPERATIONS), without_body);
        }
        _ => remember(draft, &key, reply.clone()),
    }
    reply
}

/// Returns the outcome of an operation, if this registry knows it.
pub fn outcome(state: &State, op: &str) -> Option<CommandReply> {
    let draft = Draft { state, changes: Vec::new() };
    remembered_reply(&draft, &format!("{}{op}", keys::ACCEPTED_OPERATIONS))
        .or_else(|| remembered_reply(&draft, &format!("{}{op}", keys::REFUSED_OPERATIONS)))
}

/// Validates a change against a state and reports its effect without changing anything.
pub fn dry_run(state: &State, change: &Change) -> ApiReply {
    let draft = Draft { state, changes: Vec::new() };
    let revision = draft.number(keys::LATEST_REVISION);
    let mut reply = match validate(&draft, change) {
        Ok(changed) => {
            let keys = |gone: u8| {
                let selected = changed.iter().filter(move |item| (item.is_removed != 0) == (gone != 0));
                selected.map(|item| item.key.as_str().to_owned()).collect::<Vec<String>>()
            };
            ApiReply::new(200, json!({"outcome": "would-change", "set": keys(0), "remove": keys(1)}))
        }
        Err(ChangeRefused { status, body }) => {
            let detail: Value = serde_json::from_str(&body).unwrap_or_default();
            ApiReply::new(status, json!({"outcome": "refused", "faults": detail}))
        }
    };
    reply.revision = Some(revision);
    reply
}

fn stage_change(draft: &mut Draft, declared: u64, items: Vec<ConfigurationItem>) -> CommandReply {
    let revision = if declared != 0 { declared } else { draft.number(keys::LATEST_REVISION).saturating_add(1) };
    for item in &items {
        let key = format!("{}{}", keys::LATEST_PAIRS, item.key.as_str());
        if item.is_removed != 0 {
            draft.remove(key);
        } else {
            draft.put(key, item.value.as_slice().to_vec());
        }
    }
    draft.put_number(keys::LATEST_REVISION, revision);
    let latest = draft.number(keys::LATEST);
    let quorum = keys::quorum(draft.state, latest);
    let step = add_epoch(draft, revision, quorum, items);
    CommandReply::Changed { epoch: step, revision }
}

fn add_epoch(draft: &mut Draft, revision: u64, quorum: Vec<NodeId>, items: Vec<ConfigurationItem>) -> u64 {
    let number = draft.number(keys::LATEST) + 1;
    let epoch = ConfigurationEpoch { number, revision, quorum: quorum.into(), items: items.into() };
    draft.put(keys::epoch_key(number), wire::to_bytes(&epoch));
    draft.put_number(keys::LATEST, number);
    number
}

/// Adds an epoch with another quorum, if the epoch `after` is the latest and is active.
pub fn set_quorum(draft: &mut Draft, after: u64, members: Vec<NodeId>) -> CommandReply {
    let latest = draft.number(keys::LATEST);
    if latest == after && latest == draft.number(keys::ACTIVE) {
        let revision = draft.number(keys::LATEST_REVISION);
        add_epoch(draft, revision, members, Vec::new());
    }
    CommandReply::Empty
}

/// Activates the epochs up to and including `to`.
pub fn activate(draft: &mut Draft, to: u64) -> CommandReply {
    let active = draft.number(keys::ACTIVE);
    if to <= active || to > draft.number(keys::LATEST) {
        return CommandReply::Empty;
    }
    for number in active + 1..=to {
        let Some(epoch) = keys::epoch(draft.state, number) else { continue };
        for item in epoch.items.iter() {
            let key = format!("{}{}", keys::ACTIVE_PAIRS, item.key.as_str());
            if item.is_removed != 0 {
                draft.remove(key);
            } else {
                draft.put(key, item.value.as_slice().to_vec());
            }
        }
        draft.put_number(keys::ACTIVE_REVISION, epoch.revision);
    }
    draft.put_number(keys::ACTIVE, to);
    remove_old_epochs(draft, to);
    CommandReply::Empty
}

/// Removes activated epochs beyond the retention limits: each may be as large as a whole configuration, and a
/// router that is further behind fetches the whole configuration instead.
fn remove_old_epochs(draft: &mut Draft, active: u64) {
    let oldest = keys::epoch_key(active.saturating_sub(MAX_RETAINED_EPOCHS));
    let newest = keys::epoch_key(active);
    let mut bytes = 0;
    let mut old = Vec::new();
    for (key, epoch) in draft.state.range(keys::STEPS.to_owned()..newest).rev() {
        bytes += epoch.len();
        if bytes > MAX_RETAINED_BYTES || *key < oldest {
            old.push(key.clone());
        }
    }
    old.into_iter().for_each(|key| draft.remove(key));
}
