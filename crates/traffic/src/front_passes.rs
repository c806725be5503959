//! The front's passes: tasks whose owner was lost, tasks that may be tried now, tasks out of time; and
//! what an owner told of a task, as the caller is told it.

use crate::front::{BASE_RETRY_AFTER, Front, RETRY_INTERVAL};
use crate::front_types::{Reply, Stage};
use bindings::Class;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

/// The status of a repeat whose key is in work.
const KEY_IN_PROGRESS: u16 = 409;

pub(crate) fn unknown_outcome() -> Reply {
    Reply::from_router(504, Some(Outcome::Unknown), "the outcome is not known")
}

impl Front {
    /// Whether some task waits to be forwarded.
    pub fn has_waiting_requests(&self) -> bool {
        self.requests.values().any(|record| record.stage == Stage::Waiting)
    }

    /// The owner was lost with tasks on it: what they came to is in doubt. They are tried on with the
    /// next owner, which knows from the run-once store or the budget whether it may run them; what may run
    /// only once, and stands in no run-once store, or has no attempt left, is not tried on: its caller is told at once.
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

    /// When an owner that fell silent can be expected to be there again, or another in its place.
    fn time_until_owner(&self, function: &str) -> Duration {
        let silent = self.membership.owner(function).and_then(|owner| self.silent_since(owner));
        silent.map_or(BASE_RETRY_AFTER, |since| {
            (since + self.limits.owner_recovery_time).saturating_sub(self.now).max(BASE_RETRY_AFTER / 2)
        })
    }

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
                self.handle_answer(task, outcome, status, retry_after, head.into_vec(), body.into_vec());
            }
            ForwardMessage::AnswerInSeconds { outcome, status, retry_after, head, body, .. } => {
                let retry_after = Duration::from_secs(retry_after.into());
                self.handle_answer(task, outcome, status, retry_after, head.into_vec(), body.into_vec());
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

    /// An owner's word on a task, which counts for less once another owner may have run it.
    fn handle_answer(
        &mut self,
        task: u64,
        outcome: Outcome,
        status: u16,
        retry_after: Duration,
        head: Vec<u8>,
        body: Vec<u8>,
    ) {
        let may_have_run = self.requests.get(&task).is_some_and(|record| record.may_have_run);
        let outcome = if outcome == Outcome::NotRun && may_have_run { Outcome::Unknown } else { outcome };
        // Whoever had the key in work may be the owner that was lost with this very request.
        let is_misleading = status == 503 || may_have_run && status == KEY_IN_PROGRESS;
        let status = if outcome == Outcome::Unknown && is_misleading { 504 } else { status };
        let detail = match (outcome, status) {
            (Outcome::Unknown, KEY_IN_PROGRESS) => "the key is in work",
            (Outcome::Unknown, _) => "the outcome is not known",
            _ => "",
        };
        self.answer(task, Reply { outcome: Some(outcome), status, retry_after, head, body, detail });
    }
}
