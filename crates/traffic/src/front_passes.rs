//! Periodic work of the front: requests whose owner was lost, requests that can be attempted now, and requests past
//! their deadline. Also the conversion of an owner's answer to the reply for the caller.

use crate::front::{BASE_RETRY_AFTER, Front, RETRY_INTERVAL};
use crate::front_types::{FrontOutput, Reply, Stage};
use bindings::Class;
use bytes::Bytes;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

/// Status of a repeated request whose idempotency key belongs to an operation in progress.
const KEY_IN_PROGRESS: u16 = 409;

/// Returns the reply for a request that may have run.
pub(crate) fn unknown_outcome() -> Reply {
    Reply::from_router(504, Some(Outcome::Unknown), "the outcome is not known")
}

impl Front {
    /// Returns whether any request waits to be forwarded.
    pub fn has_waiting_requests(&self) -> bool {
        self.requests.values().any(|record| record.stage == Stage::Waiting)
    }

    /// Handles the loss of owners that requests were forwarded to; the outcome of these requests is unknown. They are
    /// forwarded to the next owner, which knows from the run-once store or the retry budget whether it may run them.
    /// A request that may run only once and is in no run-once store, or that has no attempt left, is not forwarded
    /// again: its caller is answered at once.
    pub(crate) fn handle_owner_loss(&mut self, is_lost: impl Fn(NodeId) -> bool) {
        let mut to_answer = Vec::new();
        for (task, record) in &mut self.requests {
            if let Stage::Forwarded { owner } = record.stage
                && owner != self.me
                && is_lost(owner)
            {
                record.stage = Stage::Waiting;
                record.next_attempt_at = self.now;
                record.resends = record.resends.saturating_add(1);
                record.may_have_run = true;
                if record.class == Some(Class::Single) || record.attempts.is_spent() {
                    to_answer.push(*task);
                }
            }
        }
        to_answer.into_iter().for_each(|task| self.answer(task, unknown_outcome()));
    }

    /// Returns the expected time until a silent owner of the function is back or another has replaced it.
    fn time_until_owner(&self, function: &str) -> Duration {
        let silent = self.membership.owner(function).and_then(|owner| self.silent_since(owner));
        silent.map_or(BASE_RETRY_AFTER, |since| {
            (since + self.limits.owner_recovery_time).saturating_sub(self.now).max(BASE_RETRY_AFTER / 2)
        })
    }

    /// Answers the requests whose time is up, and attempts those that are due for another attempt.
    pub(crate) fn process_requests(&mut self) {
        let now = self.now;
        let tasks: Vec<u64> = self.requests.keys().copied().collect();
        for task in tasks {
            let Some(record) = self.requests.get(&task) else { continue };
            let wait_until = if record.awaits_credit_of.is_some() {
                record.wait_limits.for_credit
            } else {
                record.wait_limits.to_forward
            };
            let has_waited_too_long = !record.may_have_run && now >= wait_until;
            match record.stage {
                Stage::Waiting if has_waited_too_long || now + self.limits.reply_margin >= record.deadline => {
                    let reply = if record.may_have_run {
                        unknown_outcome()
                    } else {
                        let retry_after = self.time_until_owner(&record.function);
                        Reply::from_router(503, Some(Outcome::NotRun), "not run in time")
                            .with_retry_after(self.add_jitter(task, retry_after))
                    };
                    self.answer(task, reply);
                }
                Stage::Waiting if now >= record.next_attempt_at => self.attempt(task),
                Stage::Forwarded { .. } if now >= record.deadline + self.limits.answer_grace => {
                    self.answer(task, unknown_outcome())
                }
                _ => {}
            }
        }
    }

    /// Handles a message from another router, or from the owner in this one.
    pub(crate) fn handle_message(&mut self, from: NodeId, message: ForwardMessage) {
        let forward = match &message {
            ForwardMessage::QuotaRequest { request } => return self.handle_quota_request(from, request),
            ForwardMessage::QuotaGrant { grant } => return self.handle_quota_grant(from, grant),
            ForwardMessage::QuotaGrantersQuery { query } => return self.handle_granters_query(from, query),
            ForwardMessage::QuotaGrantersReply { reply } => return self.handle_granters_reply(from, reply),
            ForwardMessage::AttemptRequest { task, attempts } => {
                return self.handle_attempt_request(from, *task, *attempts);
            }
            ForwardMessage::Answer { task, .. }
            | ForwardMessage::AnswerInSeconds { task, .. }
            | ForwardMessage::NotOwner { task }
            | ForwardMessage::Returned { task, .. } => *task,
            _ => return,
        };
        let Some(task) = self.task_by_forward_id.get(&forward).copied() else { return };
        let Some(record) = self.requests.get_mut(&task) else { return };
        if record.stage != (Stage::Forwarded { owner: from }) {
            return;
        }
        match message {
            ForwardMessage::Answer { outcome, status, retry_after_ms, head, body, .. } => {
                let retry_after = Duration::from_millis(retry_after_ms.into());
                self.handle_answer(task, outcome, status, retry_after, head.into_vec(), body.into_bytes());
            }
            ForwardMessage::AnswerInSeconds { outcome, status, retry_after, head, body, .. } => {
                let retry_after = Duration::from_secs(retry_after.into());
                self.handle_answer(task, outcome, status, retry_after, head.into_vec(), body.into_bytes());
            }
            returned => {
                record.stage = Stage::Waiting;
                record.next_attempt_at = self.now + RETRY_INTERVAL;
                let sent = if let ForwardMessage::Returned { attempts, .. } = returned { attempts } else { 0 };
                record.attempts.return_unused(sent);
                if record.attempts.is_spent() {
                    self.answer_without_attempts(task);
                }
            }
        }
    }

    /// Answers a request with its owner's answer. `NotRun` becomes `Unknown` if an earlier owner may have run it.
    fn handle_answer(
        &mut self,
        task: u64,
        outcome: Outcome,
        status: u16,
        retry_after: Duration,
        head: Vec<u8>,
        body: Bytes,
    ) {
        let may_have_run = self.requests.get(&task).is_some_and(|record| record.may_have_run);
        let outcome = if outcome == Outcome::NotRun && may_have_run { Outcome::Unknown } else { outcome };
        // The operation in progress may be this same request, still running for the owner that was lost.
        let is_misleading = status == 503 || may_have_run && status == KEY_IN_PROGRESS;
        let status = if outcome == Outcome::Unknown && is_misleading { 504 } else { status };
        let detail = match (outcome, status) {
            (Outcome::Unknown, KEY_IN_PROGRESS) => "the key is in work",
            (Outcome::Unknown, _) => "the outcome is not known",
            _ => "",
        };
        self.answer(task, Reply { outcome: Some(outcome), status, retry_after, head, body, detail });
    }

    /// Drops a request whose caller has left, if it was not forwarded.
    pub(crate) fn drop_unsent_request(&mut self, request_id: u64) {
        let Some(task) = self.task_by_request_id.get(&request_id).copied() else { return };
        let record = self.requests.get(&task);
        if record.is_some_and(|record| record.stage == Stage::Waiting && !record.may_have_run) {
            self.refund_credit(task);
            self.remove(task);
        }
    }

    /// Answers a caller and removes the record of its request. The credit of a request that did not run is refunded.
    pub(crate) fn answer(&mut self, task: u64, reply: Reply) {
        if let Some(record) = self.requests.get(&task) {
            let request_id = record.request_id;
            if reply.outcome == Some(Outcome::NotRun) {
                self.refusals += 1;
            }
            if matches!(reply.outcome, Some(Outcome::NotRun) | None) {
                self.refund_credit(task);
            }
            self.outputs.push(FrontOutput::Reply { request_id, reply });
            self.remove(task);
        }
    }
}
