//! What instances made of the tasks sent to them: answers go back, what has surely not run may go to
//! another instance, and what may have run is tried again only where it may run more than once.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::instance::InstanceEvent;
use crate::owner_types::{Failure, OwnerOutput};
use crate::unproven::SendResult;
use bindings::Class;
use dispatch::DispatchOutcome;
use events::event;
use std::time::Duration;
use wire::{Outcome, StoredAnswer};

const BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(300);

impl FunctionOwner {
    pub(crate) fn dispatched(&mut self, order: u64, outcome: DispatchOutcome) {
        let now = self.now;
        let Some((number, name, instance_id, begun, level)) = self.running.remove(&order) else { return };
        self.note(&name, &instance_id, order, (begun, level), &outcome);
        let deduplicates = self.deduplicates(&name);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let class = task.class;
        task.avoid = instance_id;
        match (outcome, class) {
            (DispatchOutcome::Unreachable | DispatchOutcome::NoConnection, _) => {
                task.dispatches -= 1;
                task.not_before = now;
                if task.is_first()
                    && let Some(scheduler) = self.schedulers.get_mut(&name)
                {
                    scheduler.budget.not_sent();
                    task.stored.iter().for_each(|id| scheduler.sent_tasks.remove(id));
                }
                let leaves = self.schedulers.get(&name).is_none_or(|scheduler| scheduler.leaving.is_some())
                    || !self.is_home(&name);
                if leaves { self.send_back(number) } else { self.hold(number) }
            }
            (DispatchOutcome::NotRun { .. }, Class::Ordinary | Class::Single | Class::Once) => {
                let wait = |scheduler: &FunctionScheduler| scheduler.expected_wait(now, scheduler.queued.len());
                let wait = self.schedulers.get(&name).map_or(Duration::ZERO, wait);
                let again = self.time_to_come_back(number, wait);
                self.retry(number, false, Failure::not_run(again));
            }
            (DispatchOutcome::Complete { status, head, body, .. }, Class::Once) => {
                let answer = stored(status, &head, &body);
                self.record_answer(number, &answer);
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
            }
            (DispatchOutcome::InDoubt { .. }, Class::Once) if deduplicates => {
                self.retry(number, true, Failure::unknown(504));
            }
            (DispatchOutcome::InDoubt { .. }, Class::Once) => {
                self.record_unknown(number);
                self.answer_own(number, Outcome::Unknown, 504, Duration::ZERO);
            }
            (DispatchOutcome::Complete { status, head, body, turned_away }, Class::Ordinary | Class::Single) => {
                let failed = status >= 500 && status != 504;
                if class == Class::Ordinary && (turned_away || failed) {
                    self.retry(number, !turned_away, Failure::answered(status, head, body));
                } else {
                    self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                }
            }
            (DispatchOutcome::InDoubt { timed_out, .. }, Class::Ordinary | Class::Single) => {
                let status = if timed_out { 504 } else { 502 };
                match class {
                    Class::Single => self.answer_own(number, Outcome::Unknown, status, Duration::ZERO),
                    _ => self.retry(number, true, Failure::unknown(status)),
                }
            }
            (DispatchOutcome::Complete { status, head, body, turned_away }, Class::Deferred)
                if status < 500 && !turned_away =>
            {
                self.finish(number, &stored(status, &head, &body));
                if let Some(id) = self.tasks.get(&number).and_then(|task| task.stored.clone()) {
                    self.finished.insert(id, now);
                }
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                self.forget(number);
            }
            (_, Class::Deferred) => {
                let wait = BACKOFF * 2u32.pow(task.dispatches.min(7));
                task.not_before = now + wait.min(MAX_BACKOFF);
                self.hold(number);
            }
        }
    }

    /// Whether a function's instances know a key again by themselves, so that what may have run may be sent again.
    fn deduplicates(&self, name: &str) -> bool {
        self.schedulers.get(name).is_some_and(|scheduler| scheduler.function.deduplicates)
    }

    /// What the scheduler learns of its instance from an outcome.
    fn note(
        &mut self,
        name: &str,
        instance_id: &str,
        order: u64,
        (begun, level): (Duration, u32),
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
            _ => SendResult::Unclear,
        };
        scheduler.unproven.ended(now, order, begun, result);
        if let Some(instance) = scheduler.instances.get_mut(instance_id) {
            instance.busy = instance.busy.saturating_sub(1);
            instance.used = now;
            match outcome {
                DispatchOutcome::Complete { .. } if !turned_away => instance.proven = instance.proven.max(level),
                DispatchOutcome::Unreachable | DispatchOutcome::NoConnection => instance.paused_until = now + PAUSE,
                DispatchOutcome::InDoubt { timed_out, .. } => {
                    // It may still be at work on it: what it bore before proves nothing now.
                    instance.proven = 0;
                    if *timed_out {
                        instance.foreign = if now < instance.foreign_until { instance.foreign + 1 } else { 1 };
                        instance.foreign_until = now + Duration::from_secs(2);
                    }
                }
                _ => {}
            }
        }
        match outcome {
            _ if turned_away => {
                event!(instance_rejected_request, "{instance_id}");
                scheduler.turned_away(now, instance_id);
                scheduler.budget.turned_away(now);
                scheduler.seen.rejections += 1;
            }
            DispatchOutcome::Complete { .. } => scheduler.took(now.saturating_sub(begun)),
            DispatchOutcome::NotRun { .. } => {
                event!(instance_answer_in_doubt, "{instance_id}: another answers at its address")
            }
            DispatchOutcome::InDoubt { detail, .. } => event!(instance_answer_in_doubt, "{instance_id}: {detail}"),
            DispatchOutcome::Unreachable | DispatchOutcome::NoConnection => {}
        }
        let replaced = *outcome == DispatchOutcome::NotRun { wrong_instance: true };
        if replaced || *outcome == DispatchOutcome::Unreachable {
            self.outs.push(OwnerOutput::Forget { id: instance_id.to_owned() });
            if replaced { self.replaced(name, instance_id) } else { self.lose(name, instance_id) }
        }
    }

    /// Another instance answers at its address: that one takes connections, so there is no more to look.
    fn replaced(&mut self, name: &str, instance_id: &str) {
        if let Some(instance) =
            self.schedulers.get_mut(name).and_then(|scheduler| scheduler.instances.get_mut(instance_id))
        {
            instance.take(InstanceEvent::Lost);
            instance.lost = Some(self.now);
        }
    }
}

fn stored(status: u16, head: &[u8], body: &[u8]) -> StoredAnswer {
    StoredAnswer { outcome: Outcome::Answered, status, head: head.to_vec().into(), body: body.to_vec().into() }
}
