//! Final answers to requests, and the removal of their records.

use crate::function_owner::FunctionOwner;
use bytes::Bytes;
use std::time::Duration;
use wire::{ForwardMessage, Outcome, StoredAnswer};

impl FunctionOwner {
    /// Answers the caller, if one still waits, and drops the record, unless the request was only accepted and still has
    /// to run.
    pub(crate) fn answer(
        &mut self,
        number: u64,
        outcome: Outcome,
        status: u16,
        retry_after: Duration,
        head: Vec<u8>,
        body: Bytes,
    ) {
        let answer = StoredAnswer { outcome, status, head: head.into(), body: body.into() };
        self.end_operation(number, Some(&answer), retry_after);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if task.is_caller_waiting {
            if outcome == Outcome::NotRun {
                self.counters.refusals += 1;
                if let Some(scheduler) = self.schedulers.get_mut(&task.function) {
                    scheduler.measurement.refused += 1;
                }
            }
            let (to, id) = (task.id.from, task.id.task);
            task.is_caller_waiting = false;
            let retry_after_ms = retry_after.as_millis() as u32;
            let StoredAnswer { head, body, .. } = answer;
            let message = ForwardMessage::Answer { task: id, outcome, status, retry_after_ms, head, body };
            self.outs.push(crate::owner_types::OwnerOutput::Forward { to, message });
        }
        let is_still_to_run = task.stored_id.is_some() && outcome == Outcome::Accepted;
        if !is_still_to_run {
            self.forget(number);
        }
    }

    /// Answers a request with the recorded answer of its operation.
    pub(crate) fn give_answer(&mut self, number: u64, answer: StoredAnswer) {
        let StoredAnswer { outcome, status, head, body } = answer;
        self.answer(number, outcome, status, Duration::ZERO, head.into_vec(), body.into_bytes());
    }

    /// Answers a request with an encoded answer from the registries.
    pub(crate) fn answer_stored(&mut self, number: u64, raw: &[u8]) {
        match wire::from_bytes::<StoredAnswer>(raw) {
            Some(answer) => self.give_answer(number, answer),
            None => self.answer_without_body(number, Outcome::Unknown, 504, Duration::ZERO),
        }
    }

    /// Drops the record of a request. Requests that waited for it as the leader of its key return to their fronts.
    pub(crate) fn forget(&mut self, number: u64) {
        self.end_operation(number, None, Duration::ZERO);
        if let Some(task) = self.tasks.remove(&number)
            && let Some(scheduler) = self.schedulers.get_mut(&task.function)
        {
            scheduler.queued.retain(|queued| *queued != number);
        }
    }
}
