//! Calls that a registry answers from its own committed state: reads of the latest revision, and dry runs. They
//! wait briefly if this registry has not committed the revision that they are based on.

use crate::api_calls::{ApiCall, ApiReply};
use crate::apply_change;
use crate::change_validation::Change;
use crate::core::Core;
use crate::keys;
use crate::open_calls::DeferredCall;
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Maximum time that a call waits until the revision it is based on is committed here.
pub(crate) const MAX_DEFERRAL: Duration = Duration::from_millis(600);

impl Core {
    /// Answers the calls whose revision is committed here, and those that have waited for too long. A dry run that
    /// has waited too long is answered as not run: a registry that is behind can't tell whether the change is valid,
    /// so it must not refuse it.
    pub(crate) fn answer_deferred_calls(&mut self) {
        if self.calls.deferred.is_empty() {
            return;
        }
        let revision = keys::read_number(self.state(), keys::LATEST_REVISION);
        for waiting in std::mem::take(&mut self.calls.deferred) {
            let is_committed = waiting.call.required_revision().is_none_or(|needed| needed <= revision);
            match waiting.call {
                ApiCall::Latest { keys, .. } if is_committed || self.now > waiting.due => {
                    let reply = self.latest_reply(&keys);
                    self.reply(waiting.request_id, reply);
                }
                ApiCall::Change { base, revision, full, scope, items, .. } if is_committed => {
                    let (revision, scope, items) = (revision.unwrap_or_default(), scope.as_str(), items.as_slice());
                    let change = Change { base, revision, full, scope, items };
                    let reply = apply_change::dry_run(self.state(), &change);
                    self.reply(waiting.request_id, reply);
                }
                _ if self.now > waiting.due => {
                    self.reply_busy(waiting.request_id, "this registry does not know that revision")
                }
                call => self.calls.deferred.push(DeferredCall { call, ..waiting }),
            }
        }
    }

    fn latest_reply(&self, keys: &[String]) -> ApiReply {
        let state = self.state();
        let read = |key: &String| {
            let raw = state.get(&format!("{}{key}", keys::LATEST_PAIRS))?;
            Some((key.clone(), serde_json::from_slice::<Value>(raw).ok()?))
        };
        let items: Map<String, Value> = keys.iter().filter_map(read).collect();
        let revision = keys::read_number(state, keys::LATEST_REVISION);
        let mut reply = ApiReply::new(200, json!({"revision": revision, "items": items}));
        reply.revision = Some(revision);
        reply
    }
}
