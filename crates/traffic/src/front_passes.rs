//! The front's passes: tasks whose owner was lost, tasks that may be tried now, tasks out of time; and
//! what an owner told of a task, as the caller is told it.

use crate::front::{Front, RETRY, SOON};
use crate::front_types::{Reply, Stage};
use bindings::Class;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

/// The status of a repeat whose key is in work.
const KEY_IN_WORK: u16 = 409;

pub(crate) fn unknown() -> Reply {
    Reply::own(504, Some(Outcome::Unknown), "the outcome is not known")
}

impl Front {
    /// Whether some task waits to be forwarded.
    pub fn waits(&self) -> bool {
        self.table.values().any(|record| record.stage == Stage::Waiting)
    }

    /// The owner was lost with tasks on it: what they came to is in doubt. They are tried on with the
    /// next owner, which knows from the run-once store or the budget whether it may run them; what may run
    /// only once, and stands in no run-once store, or has no attempt left, is not tried on: its caller is told at once.
    pub(crate) fn doubt_home(&mut self, lost: impl Fn(NodeId) -> bool) {
        let mut over = Vec::new();
        for (task, record) in &mut self.table {
            if let Stage::Forwarded { owner } = record.stage
                && owner != self.me
                && lost(owner)
            {
                record.stage = Stage::Waiting;
                record.again_at = self.now;
                record.resends = record.resends.saturating_add(1);
                record.doubt = true;
                if record.class == Some(Class::Single) || record.attempts.is_spent() {
                    over.push(*task);
                }
            }
        }
        over.into_iter().for_each(|task| self.answer(task, unknown()));
    }

    /// When an owner that fell silent can be expected to be there again, or another in its place.
    fn back_in(&self, function: &str) -> Duration {
        let silent = self.membership.owner(function).and_then(|owner| self.silent_since(owner));
        silent.map_or(SOON, |since| (since + self.limits.back).saturating_sub(self.now).max(SOON / 2))
    }

    pub(crate) fn pass(&mut self) {
        let now = self.now;
        let tasks: Vec<u64> = self.table.keys().copied().collect();
        for task in tasks {
            let Some(record) = self.table.get(&task) else { continue };
            let patience =
                if record.waits_for.is_some() { record.patience.for_credit } else { record.patience.to_forward };
            let impatient = !record.doubt && now >= patience;
            match record.stage {
                Stage::Waiting if impatient || now + self.limits.margin >= record.due => {
                    let reply = if record.doubt {
                        unknown()
                    } else {
                        let again = self.back_in(&record.function);
                        Reply::own(503, Some(Outcome::NotRun), "not run in time").again(self.spread(task, again))
                    };
                    self.answer(task, reply);
                }
                Stage::Waiting if now >= record.again_at => self.attempt(task),
                Stage::Forwarded { .. } if now >= record.due + self.limits.slack => self.answer(task, unknown()),
                _ => {}
            }
        }
    }

    pub(crate) fn forwarded(&mut self, from: NodeId, message: ForwardMessage) {
        let forward = match &message {
            ForwardMessage::QuotaRequest { request } => return self.handle_quota_request(from, request),
            ForwardMessage::QuotaGrant { grant } => return self.handle_quota_grant(from, grant),
            ForwardMessage::QuotaGrantersQuery { query } => return self.handle_granters_query(from, query),
            ForwardMessage::QuotaGrantersReply { reply } => return self.handle_granters_reply(from, reply),
            ForwardMessage::AttemptRequest { task, attempts } => return self.attempt_requested(from, *task, *attempts),
            ForwardMessage::Answer { task, .. }
            | ForwardMessage::AnswerInSeconds { task, .. }
            | ForwardMessage::NotOwner { task }
            | ForwardMessage::Returned { task, .. } => *task,
            _ => return,
        };
        let Some(task) = self.by_forward.get(&forward).copied() else { return };
        let Some(record) = self.table.get_mut(&task) else { return };
        if record.stage != (Stage::Forwarded { owner: from }) {
            return;
        }
        match message {
            ForwardMessage::Answer { outcome, status, retry_after_ms, head, body, .. } => {
                let after = Duration::from_millis(retry_after_ms.into());
                self.handle_answer(task, outcome, status, after, head.into_vec(), body.into_vec());
            }
            ForwardMessage::AnswerInSeconds { outcome, status, retry_after, head, body, .. } => {
                let after = Duration::from_secs(retry_after.into());
                self.handle_answer(task, outcome, status, after, head.into_vec(), body.into_vec());
            }
            given_back => {
                record.stage = Stage::Waiting;
                record.again_at = self.now + RETRY;
                let sent = if let ForwardMessage::Returned { attempts, .. } = given_back { attempts } else { 0 };
                record.attempts.return_unused(sent);
                if record.attempts.is_spent() {
                    self.answer_spent(task);
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
        let doubt = self.table.get(&task).is_some_and(|record| record.doubt);
        let outcome = if outcome == Outcome::NotRun && doubt { Outcome::Unknown } else { outcome };
        // Whoever had the key in work may be the owner that was lost with this very request.
        let untold = status == 503 || doubt && status == KEY_IN_WORK;
        let status = if outcome == Outcome::Unknown && untold { 504 } else { status };
        let detail = match (outcome, status) {
            (Outcome::Unknown, KEY_IN_WORK) => "the key is in work",
            (Outcome::Unknown, _) => "the outcome is not known",
            _ => "",
        };
        self.answer(task, Reply { outcome: Some(outcome), status, retry_after, head, body, detail });
    }
}
