//! Operators' calls inside the core. A change is answered once its step is in force everywhere a
//! hold lives; one whose outcome is not known in time is answered so, under its operation id.
//! A read goes to the tail, in pieces, all of one step.

use crate::api_calls::{ApiCall, ApiReply};
use crate::apply_change::{self, Change};
use crate::core::{Core, CoreOutput, Wait};
use crate::keys;
use bindings::Kind;
use chain::State;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Command, Receipt};
use wire::{HoldMsg, ItemLine};

/// The format that first knew declared revisions.
const DECLARES: u16 = 3;
const CALLS: usize = 256;
const READ_AGAIN: Duration = Duration::from_millis(400);

pub struct ReadJob {
    pub scope: String,
    pub step: Option<u64>,
    pub pairs: BTreeMap<String, Vec<u8>>,
    pub asked: Duration,
    pub due: Duration,
}

pub struct Activation {
    pub ask: u64,
    pub op: String,
    pub step: u64,
    pub revision: u64,
    pub due: Duration,
}

impl Core {
    pub(crate) fn reply(&mut self, ask: u64, reply: ApiReply) {
        self.outs.push(CoreOutput::Reply { ask, reply });
    }

    pub(crate) fn unknown(&mut self, ask: u64, op: &str) {
        let told = format!(
            "the outcome is not known yet; ask for it at /v1/operations/{op}, or repeat the change under the same Operation-Id"
        );
        self.reply(ask, ApiReply::new(504, json!({"outcome": "unknown", "operation": op, "fault": told})));
    }

    fn busy(&mut self, ask: u64, told: &str) {
        let mut reply = ApiReply::new(503, json!({"outcome": "not-run", "fault": told}));
        reply.retry_after = Some(1);
        self.reply(ask, reply);
    }

    pub(crate) fn call(&mut self, ask: u64, call: ApiCall) {
        if matches!(call, ApiCall::Status) {
            let body = self.status();
            return self.reply(ask, ApiReply::new(200, body));
        }
        if self.waits.len() + self.reads.len() + self.activations.len() >= CALLS * 16 {
            return self.busy(ask, "too many calls at once");
        }
        if !self.member.is_chained() {
            return self.busy(ask, "this registry is not in the chain at present; ask another");
        }
        match call {
            ApiCall::Change { base, revision, whole, scope, items, dry: true, .. } => {
                let (revision, scope, items) = (revision.unwrap_or_default(), scope.as_str(), items.as_slice());
                let change = Change { base, revision, whole, scope, items };
                let reply = apply_change::dry_run(self.member.state(), &change);
                self.reply(ask, reply);
            }
            ApiCall::Change { op, base, revision, whole, scope, items, .. } => {
                let (name, scope, items) = (op.as_str().into(), scope.into(), items.into());
                let (base, any, whole) = (base.unwrap_or_default(), base.is_none() as u8, whole as u8);
                let command = match (self.format, revision) {
                    (..DECLARES, None) => Command::Change { op: name, base, any, whole, scope, items },
                    (..DECLARES, Some(_)) => {
                        return self.busy(ask, "revisions are declared once every registry speaks the newest format");
                    }
                    _ => {
                        let revision = revision.unwrap_or_default();
                        Command::Declare { op: name, base, any, whole, revision, scope, items }
                    }
                };
                let body = wire::to_bytes(&command);
                self.enter_raw(Wait::Change { ask, op, body: body.clone() }, body);
            }
            ApiCall::Latest { keys } => {
                let reply = self.latest(&keys);
                self.reply(ask, reply);
            }
            ApiCall::Configuration { scope } => {
                let due = self.now + self.timing.call;
                let read = ReadJob { scope, step: None, pairs: BTreeMap::new(), asked: self.now, due };
                self.reads.insert(ask, read);
                self.read_on(ask, String::new());
            }
            ApiCall::Operation { op } => {
                let reply = match apply_change::outcome(self.state(), &op) {
                    Some(Receipt::Changed { step, revision }) if step <= self.effective => {
                        ApiReply::new(200, json!({"operation": op, "outcome": "in-force", "revision": revision}))
                    }
                    Some(Receipt::Changed { revision, .. }) => {
                        ApiReply::new(200, json!({"operation": op, "outcome": "staged", "revision": revision}))
                    }
                    Some(Receipt::Refused { status, .. }) => {
                        ApiReply::new(200, json!({"operation": op, "outcome": "refused", "status": status}))
                    }
                    _ => ApiReply::new(404, json!({"operation": op, "outcome": "not-known-here"})),
                };
                self.reply(ask, reply);
            }
            ApiCall::Status => {}
        }
    }

    /// What this member of the chain has of the latest revision. A change that was taken is on every
    /// member, so whoever builds on it finds it here; an older look is refused when its change is entered.
    fn latest(&self, keys: &[String]) -> ApiReply {
        let state = self.member.state();
        let read = |key: &String| {
            let raw = state.get(&format!("{}{key}", keys::LATEST_PAIRS))?;
            Some((key.clone(), serde_json::from_slice::<Value>(raw).ok()?))
        };
        let items: Map<String, Value> = keys.iter().filter_map(read).collect();
        let revision = keys::number(state, keys::LATEST_REVISION);
        let mut reply = ApiReply::new(200, json!({"revision": revision, "items": items}));
        reply.revision = Some(revision);
        reply
    }

    pub(crate) fn change_done(&mut self, ask: u64, op: String, entered: bool, receipt: &[u8]) {
        if !entered {
            return self.busy(ask, "the chain takes no changes at the moment; nothing was changed");
        }
        match wire::from_bytes::<Receipt>(receipt) {
            Some(Receipt::Changed { step, revision }) => {
                let due = self.now + self.timing.call;
                self.activations.push(Activation { ask, op, step, revision, due });
                self.activated(self.effective);
            }
            Some(Receipt::Refused { status, body }) => {
                let told: Value = serde_json::from_slice(body.as_slice()).unwrap_or_default();
                self.reply(ask, ApiReply::new(status, json!({"outcome": "refused", "operation": op, "faults": told})));
            }
            _ => self.unknown(ask, &op),
        }
    }

    pub(crate) fn activated(&mut self, step: u64) {
        let list = std::mem::take(&mut self.activations);
        let (ready, rest) = list.into_iter().partition(|waiting| waiting.step <= step);
        self.activations = rest;
        let ready: Vec<Activation> = ready;
        for done in ready {
            let body = json!({"outcome": "in-force", "operation": done.op, "revision": done.revision});
            let mut reply = ApiReply::new(200, body);
            reply.revision = Some(done.revision);
            self.reply(done.ask, reply);
        }
    }

    pub(crate) fn tick_calls(&mut self) {
        let now = self.now;
        let list = std::mem::take(&mut self.activations);
        let (late, rest): (Vec<Activation>, Vec<Activation>) = list.into_iter().partition(|w| now > w.due);
        self.activations = rest;
        late.into_iter().for_each(|waiting| self.unknown(waiting.ask, &waiting.op));
        let asks: Vec<u64> = self.reads.keys().copied().collect();
        for ask in asks {
            let Some(read) = self.reads.get(&ask) else { continue };
            if now > read.due {
                self.reads.remove(&ask);
                self.busy(ask, "the tail could not be reached in time");
            } else if now > read.asked + READ_AGAIN {
                self.read_on(ask, String::new());
            }
        }
    }

    fn read_on(&mut self, ask: u64, from: String) {
        let Some(tail) = self.member.view().chain.as_slice().last().copied() else { return };
        if let Some(read) = self.reads.get_mut(&ask) {
            read.asked = self.now;
            if from.is_empty() {
                read.step = None;
                read.pairs.clear();
            }
            let message = HoldMsg::FetchAll { ask, from: from.into() };
            self.outs.push(CoreOutput::Router { to: tail, message });
        }
    }

    pub(crate) fn on_piece(&mut self, ask: u64, step: u64, revision: u64, items: Vec<ItemLine>, next: &str) {
        let Some(read) = self.reads.get_mut(&ask) else { return };
        if read.step.is_some_and(|first| first != step) {
            return self.read_on(ask, String::new());
        }
        read.step = Some(step);
        read.pairs.extend(items.into_iter().map(|item| (item.key.as_str().to_owned(), item.value.into_vec())));
        if !next.is_empty() {
            return self.read_on(ask, next.to_owned());
        }
        if let Some(read) = self.reads.remove(&ask) {
            let mut reply = ApiReply::new(200, document(revision, &read.scope, &read.pairs));
            reply.revision = Some(revision);
            self.reply(ask, reply);
        }
    }
}

/// The configuration in force as one data file keeps it, which may be behind the others'.
pub fn stored_document(state: &State) -> Value {
    let pairs = keys::with_prefix(state, keys::ACTIVE_PAIRS)
        .map(|(key, value)| (key[keys::ACTIVE_PAIRS.len()..].to_owned(), value.to_vec()))
        .collect();
    document(keys::number(state, keys::ACTIVE_REVISION), "", &pairs)
}

pub fn document(revision: u64, scope: &str, pairs: &BTreeMap<String, Vec<u8>>) -> Value {
    let mut kinds: BTreeMap<&str, Map<String, Value>> =
        Kind::ALL.iter().map(|kind| (kind.word(), Map::new())).collect();
    for (key, value) in pairs {
        let Some((kind, name)) = key.split_once('/') else { continue };
        if !scope.is_empty() && name.split('/').next() != Some(scope) {
            continue;
        }
        if let Some(list) = kinds.get_mut(kind) {
            list.insert(name.to_owned(), serde_json::from_slice(value).unwrap_or_default());
        }
    }
    let mut whole = json!({"revision": revision});
    for (kind, list) in kinds {
        whole[kind] = Value::Object(list);
    }
    whole
}
