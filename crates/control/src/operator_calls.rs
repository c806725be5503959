//! Operators' calls in the core. A change is answered once its epoch is in force at every router that holds a lease;
//! if its outcome is not known in time, the answer says so and names the operation id. A read of the configuration
//! goes to the tail, in pages that all belong to one epoch.

use crate::api_calls::{ApiCall, ApiReply};
use crate::apply_change;
use crate::core::{Core, CoreOutput};
use crate::deferred_calls::MAX_DEFERRAL;
use crate::open_calls::{AwaitedActivation, ConfigurationRead, DeferredCall};
use crate::pending_proposals::Origin;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wire::{Command, CommandReply};

/// First format with declared revisions.
const DECLARED_REVISIONS_FORMAT: u16 = 3;
/// Maximum number of open calls and proposals.
const MAX_OPEN_CALLS: usize = 4096;
/// Maximum length of the logged faults of a change.
const MAX_FAULT_CHARS: usize = 500;

impl Core {
    pub(crate) fn reply(&mut self, request_id: u64, reply: ApiReply) {
        self.outputs.push(CoreOutput::Reply { request_id, reply });
    }

    /// Answers that the outcome of an operation is unknown.
    pub(crate) fn reply_unknown(&mut self, request_id: u64, op: &str) {
        let detail = format!(
            "the outcome is not known yet; ask for it at /v1/operations/{op}, or repeat the change under the same Operation-Id"
        );
        self.reply(request_id, ApiReply::new(504, json!({"outcome": "unknown", "operation": op, "fault": detail})));
    }

    /// Answers that a call was not run and may be repeated.
    pub(crate) fn reply_busy(&mut self, request_id: u64, detail: &str) {
        let mut reply = ApiReply::new(503, json!({"outcome": "not-run", "fault": detail}));
        reply.retry_after = Some(1);
        self.reply(request_id, reply);
    }

    pub(crate) fn handle_call(&mut self, request_id: u64, call: ApiCall) {
        match call {
            ApiCall::Status => {
                let body = self.status();
                self.reply(request_id, ApiReply::new(200, body));
            }
            ApiCall::NoteInvalid { fault } => {
                self.note_invalid_change(fault);
                self.reply(request_id, ApiReply::new(200, json!({"outcome": "noted"})));
            }
            call => self.handle_chain_call(request_id, call),
        }
    }

    /// Handles a call that reads or changes the chain's state.
    fn handle_chain_call(&mut self, request_id: u64, call: ApiCall) {
        if self.proposals.len() + self.calls.len() >= MAX_OPEN_CALLS {
            return self.reply_busy(request_id, "too many calls at once");
        }
        if !self.replica.is_in_chain() {
            return self.reply_busy(request_id, "this registry is not in the chain at present; ask another");
        }
        if call.required_revision().is_some() {
            self.calls.deferred.push(DeferredCall { request_id, call, due: self.now + MAX_DEFERRAL });
            return self.answer_deferred_calls();
        }
        match call {
            ApiCall::Change { op, base, revision, full, scope, items, .. } => {
                let (name, scope, items) = (op.as_str().into(), scope.into(), items.into());
                let (base, any, full) = (base.unwrap_or_default(), base.is_none() as u8, full as u8);
                let command = match (self.format, revision) {
                    (..DECLARED_REVISIONS_FORMAT, None) => {
                        Command::Change { op: name, base, is_any_base: any, replaces_scope: full, scope, items }
                    }
                    (..DECLARED_REVISIONS_FORMAT, Some(_)) => {
                        let detail = "revisions are declared once every registry speaks the newest format";
                        return self.reply_busy(request_id, detail);
                    }
                    _ => {
                        let revision = revision.unwrap_or_default();
                        Command::Declare {
                            op: name,
                            base,
                            is_any_base: any,
                            replaces_scope: full,
                            revision,
                            scope,
                            items,
                        }
                    }
                };
                let body = wire::to_bytes(&command);
                self.propose_raw(Origin::Change { request_id, op, body: body.clone(), may_be_appended: false }, body);
            }
            ApiCall::Configuration { scope } => self.start_read(request_id, scope),
            ApiCall::Operation { op } => {
                let reply = self.operation_outcome(&op);
                self.reply(request_id, reply);
            }
            ApiCall::Latest { .. } | ApiCall::NoteInvalid { .. } | ApiCall::Status => {}
        }
    }

    fn note_invalid_change(&mut self, fault: String) {
        self.invalid_changes += 1;
        let fault = match fault.char_indices().nth(MAX_FAULT_CHARS) {
            Some((end, _)) => format!("{}...", &fault[..end]),
            None => fault,
        };
        self.outputs.push(CoreOutput::ChangeInvalid { fault });
    }

    fn start_read(&mut self, request_id: u64, scope: String) {
        let due = self.now + self.timing.call_timeout;
        let (step, pairs) = (None, BTreeMap::new());
        let read = ConfigurationRead { page_request_id: 0, scope, step, pairs, requested_at: self.now, due };
        self.calls.reads.insert(request_id, read);
        self.request_page(request_id, String::new());
    }

    fn operation_outcome(&self, op: &str) -> ApiReply {
        match apply_change::outcome(self.state(), op) {
            Some(CommandReply::Changed { epoch: step, revision }) => {
                let outcome = if step <= self.calls.active_step { "in-force" } else { "staged" };
                ApiReply::new(200, json!({"operation": op, "outcome": outcome, "revision": revision}))
            }
            Some(CommandReply::Refused { status, .. }) => {
                ApiReply::new(200, json!({"operation": op, "outcome": "refused", "status": status}))
            }
            _ => ApiReply::new(404, json!({"operation": op, "outcome": "not-known-here"})),
        }
    }

    pub(crate) fn handle_change_done(
        &mut self,
        request_id: u64,
        op: String,
        may_be_appended: bool,
        appended: bool,
        reply: &[u8],
    ) {
        if !appended && may_be_appended {
            return self.reply_unknown(request_id, &op);
        }
        if !appended {
            return self.reply_busy(request_id, "the chain takes no changes at the moment; nothing was changed");
        }
        match wire::from_bytes::<CommandReply>(reply) {
            Some(CommandReply::Changed { epoch: step, revision }) => {
                let due = self.now + self.timing.call_timeout;
                self.calls.activations.push(AwaitedActivation { request_id, op, step, revision, due });
                self.answer_activated_changes(self.calls.active_step);
            }
            Some(CommandReply::Refused { status, body }) => {
                let detail: Value = serde_json::from_slice(body.as_slice()).unwrap_or_default();
                self.reply(
                    request_id,
                    ApiReply::new(status, json!({"outcome": "refused", "operation": op, "faults": detail})),
                );
            }
            _ => self.reply_unknown(request_id, &op),
        }
    }

    pub(crate) fn answer_activated_changes(&mut self, step: u64) {
        for done in self.calls.take_activated(step) {
            let body = json!({"outcome": "in-force", "operation": done.op, "revision": done.revision});
            let mut reply = ApiReply::new(200, body);
            reply.revision = Some(done.revision);
            self.reply(done.request_id, reply);
        }
    }

    pub(crate) fn process_open_calls(&mut self) {
        let overdue = self.calls.take_overdue_activations(self.now);
        overdue.into_iter().for_each(|waiting| self.reply_unknown(waiting.request_id, &waiting.op));
        self.answer_deferred_calls();
        self.process_reads();
    }
}
