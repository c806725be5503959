//! Reads of the whole configuration, from the tail, page by page and all of one step. A read that is slow
//! is begun anew; a page that answers an earlier ask is left aside, since pages before it may be missing.

use crate::api_calls::ApiReply;
use crate::core::{Core, CoreOutput};
use crate::keys;
use bindings::Kind;
use chain::State;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ConfigurationItem, LeaseMessage};

const PAGE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl Core {
    pub(crate) fn tick_reads(&mut self) {
        let now = self.now;
        let open: Vec<u64> = self.calls.reads.keys().copied().collect();
        for request_id in open {
            let Some(read) = self.calls.reads.get(&request_id) else { continue };
            if now > read.due {
                self.calls.reads.remove(&request_id);
                self.busy(request_id, "the tail could not be reached in time");
            } else if now > read.requested_at + PAGE_RETRY_INTERVAL {
                self.read_on(request_id, String::new());
            }
        }
    }

    pub(crate) fn read_on(&mut self, request_id: u64, from: String) {
        let Some(tail) = self.member.view().chain.as_slice().last().copied() else { return };
        let page_request_id = self.proposals.next_number();
        if let Some(read) = self.calls.reads.get_mut(&request_id) {
            read.requested_at = self.now;
            read.page_request_id = page_request_id;
            if from.is_empty() {
                read.step = None;
                read.pairs.clear();
            }
            let message = LeaseMessage::ConfigurationRequest { request_id: read.page_request_id, from: from.into() };
            self.outs.push(CoreOutput::Router { to: tail, message });
        }
    }

    pub(crate) fn on_configuration_page(
        &mut self,
        page_request_id: u64,
        step: u64,
        revision: u64,
        items: Vec<ConfigurationItem>,
        next: &str,
    ) {
        let Some((request_id, read)) =
            self.calls.reads.iter_mut().find(|(_, read)| read.page_request_id == page_request_id)
        else {
            return;
        };
        let request_id = *request_id;
        if read.step.is_some_and(|first| first != step) {
            return self.read_on(request_id, String::new());
        }
        read.step = Some(step);
        read.pairs.extend(items.into_iter().map(|item| (item.key.as_str().to_owned(), item.value.into_vec())));
        if !next.is_empty() {
            return self.read_on(request_id, next.to_owned());
        }
        if let Some(read) = self.calls.reads.remove(&request_id) {
            let mut reply = ApiReply::new(200, document(revision, &read.scope, &read.pairs));
            reply.revision = Some(revision);
            self.reply(request_id, reply);
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
        Kind::ALL.iter().map(|kind| (kind.name(), Map::new())).collect();
    for (key, value) in pairs {
        let Some((kind, name)) = key.split_once('/') else { continue };
        if !scope.is_empty() && name.split('/').next() != Some(scope) {
            continue;
        }
        if let Some(list) = kinds.get_mut(kind) {
            list.insert(name.to_owned(), serde_json::from_slice(value).unwrap_or_default());
        }
    }
    let mut full = json!({"revision": revision});
    for (kind, list) in kinds {
        full[kind] = Value::Object(list);
    }
    full
}
