//! Queue of requests that wait for a free slot, ordered by rank (lower first) and then by deadline. A nested call of
//! a running request has less time left than requests that came after its parent, so work that has started is
//! finished before new work starts. Requests that could not be answered while the answer is still useful are refused
//! early, with an estimate of when to try again.

use crate::function_owner::FunctionOwner;
use crate::owner_types::RequestState;
use crate::refusals::{Refusal, RefusalReason};
use bytes::Bytes;
use std::time::Duration;
use wire::Outcome;

/// Rank of requests that go after all others.
pub(crate) const LOWEST_PRIORITY: u32 = u32::MAX;
/// Fraction of its remaining time that a request without a latency aim may be expected to wait before it is refused.
const MAX_WAIT_FRACTION: f64 = 0.9;
/// Divisor of the latency aim: a request is refused for missing its aim only within this part of it, and stays queued
/// after that.
const EARLY_AIM_DIVISOR: u32 = 4;
/// Base delay before a refused caller may try again.
const BASE_RETRY_AFTER: Duration = Duration::from_millis(500);

impl FunctionOwner {
    /// Queues a request, or returns it to its front if the function has another owner by now, since a request that is
    /// in no queue is never sent.
    pub(crate) fn enqueue(&mut self, number: u64) {
        let Some(function) = self.tasks.get(&number).map(|task| &task.function) else { return };
        if self.schedulers.get(function).is_none_or(|scheduler| scheduler.leaving.is_some()) {
            return self.send_back(number);
        }
        let wait = self.excessive_wait(number);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.state = RequestState::Queued;
        let (position, is_refusable) = (self.queue_position(number), self.can_refuse(number));
        let Some(task) = self.tasks.get(&number) else { return };
        let Some(scheduler) = self.schedulers.get_mut(&task.function) else { return };
        scheduler.queued.insert(position, number);
        if let Some(wait) = wait.filter(|_| is_refusable) {
            self.release_and_refuse(number, wait, RefusalReason::ExpectedWait);
        }
    }

    fn can_refuse(&self, number: u64) -> bool {
        self.tasks.get(&number).is_some_and(|task| task.stored_id.is_none() && !task.may_have_run)
    }

    /// Returns the number of queued requests that go before this one.
    fn queue_position(&self, number: u64) -> usize {
        let Some(task) = self.tasks.get(&number) else { return 0 };
        let Some(scheduler) = self.schedulers.get(&task.function) else { return 0 };
        let order = (task.rank, task.deadline);
        let before = |queued: &u64| self.tasks.get(queued).is_some_and(|task| (task.rank, task.deadline) <= order);
        scheduler.queued.partition_point(before)
    }

    /// Returns the expected wait of a request if it is longer than is useful to the caller.
    pub(crate) fn excessive_wait(&self, number: u64) -> Option<Duration> {
        let now = self.now;
        let task = self.tasks.get(&number)?;
        let scheduler = self.schedulers.get(&task.function)?;
        let left = task.deadline.saturating_sub(now);
        let aim = task.aim.filter(|aim| !task.has_shortened_deadline && now <= task.arrived + *aim / EARLY_AIM_DIVISOR);
        let max_useful_wait = match aim {
            Some(aim) if scheduler.has_instances() => {
                aim.saturating_sub(scheduler.smoothed_answer_time).max(aim / 2).min(left)
            }
            _ => left.mul_f64(MAX_WAIT_FRACTION),
        };
        Some(scheduler.expected_wait(now, self.queue_position(number))).filter(|wait| *wait > max_useful_wait)
    }

    /// Lengthens a delay by up to half, so that callers refused at the same time do not come back at the same time.
    pub(crate) fn add_jitter(&self, number: u64, delay: Duration) -> Duration {
        let hash = leases::stable_hash(&[&number.to_le_bytes(), &self.me.to_le_bytes()]);
        delay + delay * (hash >> 55) as u32 / 1024
    }

    /// Refuses a request that did not run.
    pub(crate) fn refuse(&mut self, number: u64, reason: RefusalReason) {
        self.count_refusal(number, reason);
        let retry_after = self.add_jitter(number, BASE_RETRY_AFTER);
        self.answer_without_body(number, Outcome::NotRun, 503, retry_after);
    }

    fn count_refusal(&mut self, number: u64, reason: RefusalReason) {
        let Some(task) = self.tasks.get(&number).filter(|task| task.is_caller_waiting) else { return };
        let refusal = Refusal { reason, is_continued: task.has_shortened_deadline };
        self.counters.refused.add(refusal);
        if let Some(scheduler) = self.schedulers.get_mut(&task.function) {
            scheduler.refused.add(refusal);
        }
    }

    /// Answers a request without head and body.
    pub(crate) fn answer_without_body(&mut self, number: u64, outcome: Outcome, status: u16, retry_after: Duration) {
        self.answer(number, outcome, status, retry_after, Vec::new(), Bytes::new());
    }

    /// Returns the time after which the caller may try again, for an expected wait.
    pub(crate) fn jittered_retry_after(&self, number: u64, wait: Duration) -> Duration {
        self.add_jitter(number, wait.max(BASE_RETRY_AFTER / 2))
    }

    /// Refuses a request that did not run, releases its claim, and tells the caller when to try again: once the
    /// requests ahead of it are expected to be done.
    pub(crate) fn release_and_refuse(&mut self, number: u64, wait: Duration, reason: RefusalReason) {
        if self.tasks.get(&number).is_some_and(|task| task.class == bindings::Class::Once) {
            self.release(number);
        }
        self.refuse_with_wait(number, wait, reason);
    }

    /// Refuses a request that holds no claim, and tells the caller when to try again.
    pub(crate) fn refuse_with_wait(&mut self, number: u64, wait: Duration, reason: RefusalReason) {
        self.count_refusal(number, reason);
        let retry_after = self.jittered_retry_after(number, wait);
        self.answer_without_body(number, Outcome::NotRun, 503, retry_after);
    }
}
