//! Reads of the whole configuration from the tail, in pages that all belong to one epoch. A slow read is restarted;
//! pages requested before the restart are ignored, since the pages before them may be missing.

use crate::api_calls::ApiReply;
use crate::core::{Core, CoreOutput};
use crate::keys;
use bindings::Kind;
use chain::State;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{ConfigurationItem, LeaseMessage};

/// Time without a page after which a read is restarted.
const PAGE_RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl Core {
    /// Restarts slow reads, and gives up those that are past their deadline.
    pub(crate) fn process_reads(&mut self) {
        let now = self.now;
        let open: Vec<u64> = self.calls.reads.keys().copied().collect();
        for request_id in open {
            let Some(read) = self.calls.reads.get(&request_id) else { continue };
            if now > read.due {
                self.calls.reads.remove(&request_id);
                self.reply_busy(request_id, "the tail could not be reached in time");
            } else if now > read.requested_at + PAGE_RETRY_INTERVAL {
                self.request_page(request_id, String::new());
            }
        }
    }

    /// Requests the page of a read that starts at a key; an empty key restarts the read.
    pub(crate) fn request_page(&mut self, request_id: u64, from: String) {
        let Some(tail) = self.replica.view().chain.as_slice().last().copied() else { return };
        let page_request_id = self.proposals.next_number();
        if let Some(read) = self.calls.reads.get_mut(&request_id) {
            read.requested_at = self.now;
            read.page_request_id = page_request_id;
            if from.is_empty() {
                read.step = None;
                read.pairs.clear();
            }
            let message = LeaseMessage::ConfigurationRequest { request_id: read.page_request_id, from: from.into() };
            self.outputs.push(CoreOutput::Router { to: tail, message });
        }
    }

    /// Adds a page to the read that requested it, and answers the read after its last page.
    pub(crate) fn handle_configuration_page(
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
            return self.request_page(request_id, String::new());
        }
        read.step = Some(step);
        read.pairs.extend(items.into_iter().map(|item| (item.key.as_str().to_owned(), item.value.into_vec())));
        if !next.is_empty() {
            return self.request_page(request_id, next.to_owned());
        }
        if let Some(read) = self.calls.reads.remove(&request_id) {
            let mut reply = ApiReply::new(200, document(revision, &read.scope, &read.pairs));
            reply.revision = Some(revision);
            self.reply(request_id, reply);
        }
    }
}

/// Returns the active configuration as stored in one data file, which may be older than in other registries' files.
pub fn stored_document(state: &State) -> Value {
    let pairs = keys::with_prefix(state, keys::ACTIVE_PAIRS)
        .map(|(key, value)| (key[keys::ACTIVE_PAIRS.len()..].to_owned(), value.to_vec()))
        .collect();
    document(keys::read_number(state, keys::ACTIVE_REVISION), "", &pairs)
}

/// Renders the configuration of a tenant, or of all if `scope` is empty, as JSON by kind and name.
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
