//! Configuration: compare-and-set on the latest revision, checked whole, kept as a numbered step
//! until it is activated. A taken change asked again under its operation id gets its first reply.

use crate::api_calls::ApiReply;
use crate::apply::Draft;
use crate::change_validation::{Change, ChangeRefused, validate};
use crate::keys;
use chain::State;
use serde_json::{Value, json};
use wire::{CommandReply, OpRecord};
use wire::{ConfigurationEpoch, ConfigurationItem, NodeId};

const OP_TICKS: u64 = 86_400;
/// Steps in force that are kept for routers a little behind, as many as these and no more than so many
/// bytes; the newest is kept whatever its size, since it names the quorum.
const MAX_RETAINED_EPOCHS: u64 = 64;
const MAX_RETAINED_BYTES: usize = 512 * 1024;

fn known(draft: &Draft, key: &str) -> Option<CommandReply> {
    draft.state.get(key).and_then(|raw| wire::from_bytes::<OpRecord>(raw)).map(|record| record.reply)
}

fn execute(draft: &mut Draft, change: &Change) -> CommandReply {
    match validate(draft, change) {
        Ok(changed) => stage(draft, change.revision, changed),
        Err(ChangeRefused { status, body }) => CommandReply::Refused { status, body: body.into_bytes().into() },
    }
}

fn remember(draft: &mut Draft, key: &str, reply: CommandReply) {
    draft.put(key, wire::to_bytes(&OpRecord { reply }));
    draft.expire(key, OP_TICKS);
}

/// An entry of format 2, whose refusal is remembered like a taken change.
pub fn change(draft: &mut Draft, op: &str, change: &Change) -> CommandReply {
    let key = format!("{}{op}", keys::TAKEN);
    if let Some(reply) = known(draft, &key) {
        return reply;
    }
    let reply = execute(draft, change);
    remember(draft, &key, reply.clone());
    reply
}

/// Only a taken change is answered by what it was; one that was refused is looked at anew when it is
/// asked again, since it may fit by then. That it was refused is kept for whoever looks it up.
pub fn declare(draft: &mut Draft, op: &str, change: &Change) -> CommandReply {
    let key = format!("{}{op}", keys::TAKEN);
    if let Some(reply @ CommandReply::Changed { .. }) = known(draft, &key) {
        return reply;
    }
    let reply = execute(draft, change);
    match &reply {
        CommandReply::Refused { status, .. } => {
            let bare = CommandReply::Refused { status: *status, body: Vec::new().into() };
            remember(draft, &format!("{}{op}", keys::REFUSED), bare);
        }
        _ => remember(draft, &key, reply.clone()),
    }
    reply
}

/// What became of an operation, as far as it is known here.
pub fn outcome(state: &State, op: &str) -> Option<CommandReply> {
    let draft = Draft { state, changes: Vec::new() };
    known(&draft, &format!("{}{op}", keys::TAKEN)).or_else(|| known(&draft, &format!("{}{op}", keys::REFUSED)))
}

/// The whole check of a change on the state as it is, and what it would come to; nothing is changed.
pub fn dry_run(state: &State, change: &Change) -> ApiReply {
    let draft = Draft { state, changes: Vec::new() };
    let revision = draft.number(keys::LATEST_REVISION);
    let mut reply = match validate(&draft, change) {
        Ok(changed) => {
            let keys = |gone: u8| {
                let of_it = changed.iter().filter(move |item| (item.is_removed != 0) == (gone != 0));
                of_it.map(|item| item.key.as_str().to_owned()).collect::<Vec<String>>()
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

fn stage(draft: &mut Draft, declared: u64, items: Vec<ConfigurationItem>) -> CommandReply {
    let revision = if declared != 0 { declared } else { draft.number(keys::LATEST_REVISION).saturating_add(1) };
    for item in &items {
        let key = format!("{}{}", keys::LATEST_PAIRS, item.key.as_str());
        if item.is_removed != 0 {
            draft.drop(key);
        } else {
            draft.put(key, item.value.as_slice().to_vec());
        }
    }
    draft.put_number(keys::LATEST_REVISION, revision);
    let latest = draft.number(keys::LATEST);
    let quorum = keys::quorum(draft.state, latest);
    let step = add_step(draft, revision, quorum, items);
    CommandReply::Changed { epoch: step, revision }
}

fn add_step(draft: &mut Draft, revision: u64, quorum: Vec<NodeId>, items: Vec<ConfigurationItem>) -> u64 {
    let number = draft.number(keys::LATEST) + 1;
    let step = ConfigurationEpoch { number, revision, quorum: quorum.into(), items: items.into() };
    draft.put(keys::step_key(number), wire::to_bytes(&step));
    draft.put_number(keys::LATEST, number);
    number
}

pub fn quorum(draft: &mut Draft, after: u64, members: Vec<NodeId>) -> CommandReply {
    let latest = draft.number(keys::LATEST);
    if latest == after && latest == draft.number(keys::ACTIVE) {
        let revision = draft.number(keys::LATEST_REVISION);
        add_step(draft, revision, members, Vec::new());
    }
    CommandReply::Empty
}

pub fn activate(draft: &mut Draft, to: u64) -> CommandReply {
    let active = draft.number(keys::ACTIVE);
    if to <= active || to > draft.number(keys::LATEST) {
        return CommandReply::Empty;
    }
    for number in active + 1..=to {
        let Some(step) = keys::step(draft.state, number) else { continue };
        for item in step.items.iter() {
            let key = format!("{}{}", keys::ACTIVE_PAIRS, item.key.as_str());
            if item.is_removed != 0 {
                draft.drop(key);
            } else {
                draft.put(key, item.value.as_slice().to_vec());
            }
        }
        draft.put_number(keys::ACTIVE_REVISION, step.revision);
    }
    draft.put_number(keys::ACTIVE, to);
    forget_steps(draft, to);
    CommandReply::Empty
}

/// Forgets the steps up to the active one that are beyond what is kept: each may be as large as a whole
/// configuration, and a router that is further behind takes that instead.
fn forget_steps(draft: &mut Draft, active: u64) {
    let oldest = keys::step_key(active.saturating_sub(MAX_RETAINED_EPOCHS));
    let newest = keys::step_key(active);
    let mut bytes = 0;
    let mut old = Vec::new();
    for (key, step) in draft.state.range(keys::STEPS.to_owned()..newest).rev() {
        bytes += step.len();
        if bytes > MAX_RETAINED_BYTES || *key < oldest {
            old.push(key.clone());
        }
    }
    old.into_iter().for_each(|key| draft.drop(key));
}
