//! Outcomes of requests sent to instances. Answers go back to the front, a request that certainly did not run may go
//! to another instance, and one that may have run is retried only where it may run more than once.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::instance::InstanceEvent;
use crate::owner_types::{Failure, OwnerOutput};
use crate::rejection_limit::SendResult;
use bindings::Class;
use dispatch::DispatchOutcome;
use events::event;
use std::time::Duration;
use wire::{Outcome, StoredAnswer};

/// Base of the delay before a deferred request is retried; the delay doubles with each attempt.
const DEFERRED_BACKOFF: Duration = Duration::from_millis(500);
const MAX_DEFERRED_BACKOFF: Duration = Duration::from_secs(30);
/// How long nothing is sent to an instance that could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);

impl FunctionOwner {
    /// Answers, retries or queues a request again after one attempt ended.
    pub(crate) fn handle_dispatch_outcome(&mut self, order: u64, outcome: DispatchOutcome) {
        let now = self.now;
        let Some((number, name, instance_id, sent_at, concurrency)) = self.running.remove(&order) else { return };
        self.record_instance_outcome(&name, &instance_id, order, (sent_at, concurrency), &outcome);
        let deduplicates = self.deduplicates(&name);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let class = task.class;
        task.last_instance = instance_id;
        match (outcome, class) {
            (DispatchOutcome::Unreachable | DispatchOutcome::NoConnection, _) => {
                task.dispatches -= 1;
                task.not_before = now;
                if task.is_first_attempt()
                    && let Some(scheduler) = self.schedulers.get_mut(&name)
                {
                    scheduler.budget.undo_request();
                    task.stored_id.iter().for_each(|id| scheduler.sent_tasks.remove(id));
                }
                let is_moved = self.schedulers.get(&name).is_none_or(|scheduler| scheduler.leaving.is_some())
                    || !self.is_owner(&name);
                if is_moved { self.send_back(number) } else { self.enqueue(number) }
            }
            (DispatchOutcome::NotRun { .. }, Class::Ordinary | Class::Single | Class::Once) => {
                let wait = |scheduler: &FunctionScheduler| scheduler.expected_wait(now, scheduler.queued.len());
                let wait = self.schedulers.get(&name).map_or(Duration::ZERO, wait);
                let retry_after = self.jittered_retry_after(number, wait);
                self.retry(number, false, Failure::not_run(retry_after));
            }
            (DispatchOutcome::Complete { status, head, body, .. }, Class::Once) => {
                let answer = stored_answer(status, &head, &body);
                self.record_answer(number, &answer);
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
            }
            (DispatchOutcome::InDoubt { .. }, Class::Once) if deduplicates => {
                self.retry(number, true, Failure::unknown(504));
            }
            (DispatchOutcome::InDoubt { .. }, Class::Once) => {
                self.record_unknown(number);
                self.answer_without_body(number, Outcome::Unknown, 504, Duration::ZERO);
            }
            (DispatchOutcome::Complete { status, head, body, turned_away }, Class::Ordinary | Class::Single) => {
                let is_server_error = status >= 500 && status != 504;
                if class == Class::Ordinary && (turned_away || is_server_error) {
                    self.retry(number, !turned_away, Failure::answered(status, head, body));
                } else {
                    self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                }
            }
            (DispatchOutcome::InDoubt { timed_out, .. }, Class::Ordinary | Class::Single) => {
                let status = if timed_out { 504 } else { 502 };
                match class {
                    Class::Single => self.answer_without_body(number, Outcome::Unknown, status, Duration::ZERO),
                    _ => self.retry(number, true, Failure::unknown(status)),
                }
            }
            (DispatchOutcome::Complete { status, head, body, turned_away }, Class::Deferred)
                if status < 500 && !turned_away =>
            {
                self.finish(number, &stored_answer(status, &head, &body));
                if let Some(id) = self.tasks.get(&number).and_then(|task| task.stored_id.clone()) {
                    self.finished.insert(id, now);
                }
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                self.forget(number);
            }
            (_, Class::Deferred) => {
                let wait = DEFERRED_BACKOFF * 2u32.pow(task.dispatches.min(7));
                task.not_before = now + wait.min(MAX_DEFERRED_BACKOFF);
                self.enqueue(number);
            }
        }
    }

    /// Returns whether the function's instances recognise repeated keys themselves, so that a request that may have
    /// run may be sent again.
    fn deduplicates(&self, name: &str) -> bool {
        self.schedulers.get(name).is_some_and(|scheduler| scheduler.function.deduplicates)
    }

    /// Updates the scheduler and the instance from an outcome.
    fn record_instance_outcome(
        &mut self,
        name: &str,
        instance_id: &str,
        order: u64,
        (sent_at, concurrency): (Duration, u32),
        outcome: &DispatchOutcome,
    ) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let turned_away = matches!(
            outcome,
            DispatchOutcome::Complete { turned_away: true, .. } | DispatchOutcome::NotRun { wrong_instance: false }
        );
        scheduler.in_flight = scheduler.in_flight.saturating_sub(1);
        let result = match outcome {
            _ if turned_away => SendResult::Rejected,
            DispatchOutcome::Complete { .. } => SendResult::Answered,
            _ => SendResult::Unknown,
        };
        scheduler.rejection_limit.record_result(now, order, sent_at, result);
        if let Some(instance) = scheduler.instances.get_mut(instance_id) {
            instance.busy = instance.busy.saturating_sub(1);
            instance.last_used_at = now;
            match outcome {
                DispatchOutcome::Complete { .. } if !turned_away => {
                    instance.proven_concurrency = instance.proven_concurrency.max(concurrency)
                }
                DispatchOutcome::Unreachable | DispatchOutcome::NoConnection => {
                    instance.paused_until = now + UNREACHABLE_PAUSE
                }
                DispatchOutcome::InDoubt { timed_out, .. } => {
                    // The instance may still be running the request, so its proven concurrency no longer applies.
                    instance.proven_concurrency = 0;
                    if *timed_out {
                        instance.foreign_requests =
                            if now < instance.foreign_until { instance.foreign_requests + 1 } else { 1 };
                        instance.foreign_until = now + Duration::from_secs(2);
                    }
                }
                _ => {}
            }
        }
        match outcome {
            _ if turned_away => {
                event!(instance_rejected_request, "{instance_id}");
                scheduler.reduce_limit(now, instance_id);
                scheduler.budget.record_rejection(now);
                scheduler.measurement.rejections += 1;
            }
            DispatchOutcome::Complete { .. } => scheduler.record_answer_time(now.saturating_sub(sent_at)),
            DispatchOutcome::NotRun { .. } => {
                event!(instance_answer_in_doubt, "{instance_id}: another instance answers at its address")
            }
            DispatchOutcome::InDoubt { detail, .. } => event!(instance_answer_in_doubt, "{instance_id}: {detail}"),
            DispatchOutcome::Unreachable | DispatchOutcome::NoConnection => {}
        }
        let is_replaced = *outcome == DispatchOutcome::NotRun { wrong_instance: true };
        if is_replaced || *outcome == DispatchOutcome::Unreachable {
            self.outs.push(OwnerOutput::ForgetInstance { id: instance_id.to_owned() });
            if is_replaced { self.mark_replaced(name, instance_id) } else { self.mark_lost(name, instance_id) }
        }
    }

    /// Marks an instance as lost because another one answers at its address. Since that one accepts connections, the
    /// address is not probed again.
    fn mark_replaced(&mut self, name: &str, instance_id: &str) {
        if let Some(instance) =
            self.schedulers.get_mut(name).and_then(|scheduler| scheduler.instances.get_mut(instance_id))
        {
            instance.apply(InstanceEvent::Lost);
            instance.lost_at = Some(self.now);
        }
    }
}

fn stored_answer(status: u16, head: &[u8], body: &[u8]) -> StoredAnswer {
    StoredAnswer { outcome: Outcome::Answered, status, head: head.to_vec().into(), body: body.to_vec().into() }
}
