//! Further attempts at a request after one failed. The front counts the attempts. If no granted one is left, the owner
//! asks the front for another and keeps the failure as the answer in case none is granted in time.

use crate::function_owner::FunctionOwner;
use crate::owner_types::{Failure, OwnerOutput, RequestState, TaskId};
use bindings::Class;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

/// Maximum wait for the front's grant; from a front on the same machine it arrives at once.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

impl FunctionOwner {
    /// Queues a request for another instance if its time, its attempts and the retry budget allow one. Otherwise
    /// answers with the failure.
    pub(crate) fn retry(&mut self, number: u64, may_have_run: bool, failure: Failure) {
        let (now, margin) = (self.now, self.settings.deadline_margin);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.may_have_run |= may_have_run;
        task.failure = Some(failure);
        let is_owned = self.membership.owner(&task.function) == Some(self.me);
        let Some(scheduler) =
            self.schedulers.get_mut(&task.function).filter(|scheduler| is_owned && scheduler.leaving.is_none())
        else {
            return self.send_back(number);
        };
        let is_late = now + margin + scheduler.min_answer_time() > task.deadline;
        if is_late || task.dispatches >= task.attempts || !scheduler.budget.may_retry(now) {
            return self.answer_failure(number);
        }
        if task.dispatches < task.granted {
            return self.requeue(number);
        }
        task.state = RequestState::AwaitingGrant { until: now + GRANT_TIMEOUT };
        let (to, attempts) = (task.id.from, task.dispatches + 1);
        let message = ForwardMessage::AttemptRequest { task: task.id.task, attempts };
        self.outs.push(OwnerOutput::Forward { to, message });
    }

    /// Handles the front's reply with the total number of attempts granted.
    pub(crate) fn handle_attempt_grant(&mut self, from: NodeId, task: u64, attempts: u32) {
        let id = TaskId { from, task };
        let is_awaiting = |task: &crate::owner_types::OwnedRequest| {
            task.id == id && matches!(task.state, RequestState::AwaitingGrant { .. })
        };
        let Some((number, task)) = self.tasks.iter_mut().find(|(_, task)| is_awaiting(task)) else { return };
        let number = *number;
        task.granted = task.granted.max(attempts);
        if task.dispatches >= task.granted {
            return self.answer_failure(number);
        }
        let is_owned = self.membership.owner(&task.function) == Some(self.me);
        let stays = self.schedulers.get(&task.function).is_some_and(|scheduler| scheduler.leaving.is_none());
        if is_owned && stays { self.requeue(number) } else { self.send_back(number) }
    }

    fn requeue(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.failure = None;
        task.not_before = self.now;
        self.enqueue(number);
    }

    /// Answers with the failure of the last attempt.
    pub(crate) fn answer_failure(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let (class, may_have_run) = (task.class, task.may_have_run);
        let failure = task.failure.take().unwrap_or_else(|| Failure::unknown(504));
        // That the last instance did not run the request does not show that earlier ones did not.
        let failure = if failure.outcome == Outcome::NotRun && may_have_run { Failure::unknown(504) } else { failure };
        match class {
            Class::Once if may_have_run => self.record_unknown(number),
            Class::Once => self.release(number),
            _ => {}
        }
        let Failure { outcome, status, retry_after, head, body } = failure;
        self.answer(number, outcome, status, retry_after, head, body);
    }

    /// Answers requests whose grant did not arrive in time.
    pub(crate) fn expire_grants(&mut self) {
        let now = self.now;
        let overdue = |state: &RequestState| matches!(state, RequestState::AwaitingGrant { until } if now >= *until);
        let waiting = self.tasks.iter().filter(|(_, task)| overdue(&task.state));
        let waiting: Vec<u64> = waiting.map(|(number, _)| *number).collect();
        waiting.into_iter().for_each(|number| self.answer_failure(number));
    }
}
