//! Holding tasks until an instance has room, those of lower rank first and among them those that must
//! be done soonest: a call by a running task has less time left than what came after that task, and
//! so what has begun is finished before more is begun. And refusing early what
//! could not be served while it is worth much, with an estimate of when it could be.

use crate::function_owner::FunctionOwner;
use crate::owner_types::Place;
use crate::refusals::{Refusal, RefusalReason};
use std::time::Duration;
use wire::Outcome;

/// The rank of what gives way to everything else.
pub(crate) const LAST: u32 = u32::MAX;
/// A task without an aim is held while its expected wait is within this share of the time it has left.
const HOPE: f64 = 0.9;
/// A task with an aim is refused within this part of it or else held on.
const EARLY: u32 = 4;
const SOON: Duration = Duration::from_millis(500);

impl FunctionOwner {
    /// Queues a request, or gives it back where its function has another owner by now: what no queue has is
    /// never sent.
    pub(crate) fn hold(&mut self, number: u64) {
        let Some(function) = self.tasks.get(&number).map(|task| &task.function) else { return };
        if self.schedulers.get(function).is_none_or(|scheduler| scheduler.leaving.is_some()) {
            return self.send_back(number);
        }
        let wait = self.hopeless_wait(number);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        task.place = Place::Queued;
        let (ahead, refusable) = (self.place_in_queue(number), self.may_refuse(number));
        let Some(task) = self.tasks.get(&number) else { return };
        let Some(scheduler) = self.schedulers.get_mut(&task.function) else { return };
        scheduler.queued.insert(ahead, number);
        if let Some(wait) = wait.filter(|_| refusable) {
            self.give_up(number, wait, RefusalReason::ExpectedWait);
        }
    }

    fn may_refuse(&self, number: u64) -> bool {
        self.tasks.get(&number).is_some_and(|task| task.stored.is_none() && !task.reached)
    }

    /// How many would go before it.
    fn place_in_queue(&self, number: u64) -> usize {
        let Some(task) = self.tasks.get(&number) else { return 0 };
        let Some(scheduler) = self.schedulers.get(&task.function) else { return 0 };
        let order = (task.rank, task.due);
        let before = |queued: &u64| self.tasks.get(queued).is_some_and(|task| (task.rank, task.due) <= order);
        scheduler.queued.partition_point(before)
    }

    /// How long it would wait, where that is longer than it is worth waiting.
    pub(crate) fn hopeless_wait(&self, number: u64) -> Option<Duration> {
        let now = self.now;
        let task = self.tasks.get(&number)?;
        let scheduler = self.schedulers.get(&task.function)?;
        let left = task.due.saturating_sub(now);
        let aim = task.aim.filter(|aim| !task.inherits && now <= task.arrived + *aim / EARLY);
        let worth = match aim {
            Some(aim) if scheduler.has_any() => aim.saturating_sub(scheduler.mean_time).max(aim / 2).min(left),
            _ => left.mul_f64(HOPE),
        };
        Some(scheduler.expected_wait(now, self.place_in_queue(number))).filter(|wait| *wait > worth)
    }

    /// Up to half as long again, so that those told so together come back one by one.
    pub(crate) fn spread(&self, number: u64, least: Duration) -> Duration {
        let dice = leases::stable_hash(&[&number.to_le_bytes(), &self.me.to_le_bytes()]);
        least + least * (dice >> 55) as u32 / 1024
    }

    pub(crate) fn refuse(&mut self, number: u64, reason: RefusalReason) {
        self.count_refusal(number, reason);
        let again = self.spread(number, SOON);
        self.answer_own(number, Outcome::NotRun, 503, again);
    }

    fn count_refusal(&mut self, number: u64, reason: RefusalReason) {
        let Some(task) = self.tasks.get(&number).filter(|task| task.caller) else { return };
        let refusal = Refusal { reason, is_continued: task.inherits };
        self.counters.refused.add(refusal);
        if let Some(scheduler) = self.schedulers.get_mut(&task.function) {
            scheduler.refused.add(refusal);
        }
    }

    pub(crate) fn answer_own(&mut self, number: u64, outcome: Outcome, status: u16, retry_after: Duration) {
        self.answer(number, outcome, status, retry_after, Vec::new(), Vec::new());
    }

    pub(crate) fn time_to_come_back(&self, number: u64, wait: Duration) -> Duration {
        self.spread(number, wait.max(SOON / 2))
    }

    /// Tells at once that a task which was never run will not be, and when to come back: once those
    /// ahead of it are expected to be done.
    pub(crate) fn give_up(&mut self, number: u64, wait: Duration, reason: RefusalReason) {
        if self.tasks.get(&number).is_some_and(|task| task.class == bindings::Class::Once) {
            self.release(number);
        }
        self.refuse_until(number, wait, reason);
    }

    /// The same for one that has claimed nothing.
    pub(crate) fn refuse_until(&mut self, number: u64, wait: Duration, reason: RefusalReason) {
        self.count_refusal(number, reason);
        let again = self.time_to_come_back(number, wait);
        self.answer_own(number, Outcome::NotRun, 503, again);
    }
}
