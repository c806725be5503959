//! Requests that the owner ends early: those that run out of time, which are answered at once and with their true
//! outcome, and those that must go back to their front.

use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnedRequest, OwnerOutput, RequestState};
use crate::refusals::RefusalReason;
use bindings::Class;
use std::time::Duration;
use wire::{ForwardMessage, Outcome};

/// Base delay before a refused caller may try again.
const BASE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of its time after which a request with a latency aim that was sent to no instance is refused, while the
/// caller still has time to try again.
const STALE_FRACTION: f64 = 0.45;

fn is_stale(now: Duration, task: &OwnedRequest) -> bool {
    let is_unsent = matches!(task.state, RequestState::Queued | RequestState::Claiming)
        && task.dispatches == 0
        && !task.may_have_run;
    let time_limit = task.deadline.saturating_sub(task.arrived);
    is_unsent && task.aim.is_some() && now >= task.arrived + time_limit.mul_f64(STALE_FRACTION)
}

impl FunctionOwner {
    /// Returns the least time that a queued request still needs. With less left it is refused now, since its answer
    /// would come too late.
    fn least_time_needed(&self, task: &OwnedRequest) -> Duration {
        match (&task.state, self.schedulers.get(&task.function)) {
            (RequestState::Queued, Some(scheduler)) => scheduler.min_answer_time(),
            _ => Duration::ZERO,
        }
    }

    /// Ends requests that ran out of time or waited too long to be useful.
    pub(crate) fn expire_pass(&mut self) {
        let now = self.now;
        let expired: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| {
                let is_late = now + self.settings.deadline_margin + self.least_time_needed(task) >= task.deadline;
                task.is_caller_waiting && (is_late || is_stale(now, task))
            })
            .filter(|(_, task)| task.class == Class::Deferred || !matches!(task.state, RequestState::Running { .. }))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            let Some(task) = self.tasks.get(&number) else { continue };
            let retry_after = self.add_jitter(number, BASE_RETRY_AFTER);
            match (task.class, &task.state) {
                (_, RequestState::AwaitingGrant { .. }) => self.answer_failure(number),
                (Class::Deferred, RequestState::Storing) => {
                    if let Some(task) = self.tasks.get_mut(&number) {
                        task.stored_id = None;
                    }
                    self.answer_without_body(number, Outcome::Unknown, 504, Duration::ZERO);
                }
                (Class::Deferred, _) => self.accept(number),
                (Class::Once, RequestState::AwaitingLeader { .. }) => self.refuse_as_in_progress(number),
                (Class::Once, RequestState::Claiming) => {
                    self.answer_without_body(number, Outcome::NotRun, 503, retry_after)
                }
                (Class::Once, _) if task.may_have_run => self.answer_failure(number),
                (Class::Ordinary | Class::Single, _) if task.may_have_run => {
                    self.answer_without_body(number, Outcome::Unknown, 504, retry_after)
                }
                _ => self.release_and_refuse(number, BASE_RETRY_AFTER, RefusalReason::Expired),
            }
        }
        self.repeat_timeout_pass();
    }

    /// Ends this owner's handling of a request. One that did not run goes back to its front, which looks up the owner
    /// again; one that may have run or is stored is answered.
    pub(crate) fn send_back(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if let Some(scheduler) = self.schedulers.get_mut(&task.function) {
            scheduler.queued.retain(|queued| *queued != number);
        }
        if task.class == Class::Once && task.claim_request_id != 0 && !task.may_have_run {
            task.state = RequestState::Releasing;
            return self.release(number);
        }
        if task.stored_id.is_some() {
            self.accept(number);
            return self.forget(number);
        }
        if task.may_have_run {
            return self.answer_failure(number);
        }
        // The next owner would not know which instance rejected the request.
        if task.class == Class::Single && task.dispatches > 0 {
            return self.refuse(number, RefusalReason::NoFurtherAttempt);
        }
        self.return_to_front(number);
    }

    /// Returns a request to its front with the number of attempts made here, and forgets it.
    pub(crate) fn return_to_front(&mut self, number: u64) {
        if let Some(task) = self.tasks.get(&number) {
            let (to, task, attempts) = (task.id.from, task.id.task, task.dispatches);
            let message = if attempts == 0 {
                ForwardMessage::NotOwner { task }
            } else {
                ForwardMessage::Returned { task, attempts }
            };
            self.outs.push(OwnerOutput::Forward { to, message });
            self.forget(number);
        }
    }
}
