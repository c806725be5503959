//! Estimate of how long a request will wait in a function's queue, from past answer times, the slots that are free or
//! becoming free, and the instances that are starting.

use crate::function_scheduler::FunctionScheduler;
use crate::instance::{Instance, Phase};
use std::time::Duration;

impl FunctionScheduler {
    /// Returns the expected time until a request behind `ahead` others can be sent. Slots in use are assumed to become
    /// free at the rate of answers, and slots of starting instances once these have started.
    pub fn expected_wait(&self, now: Duration, ahead: usize) -> Duration {
        let limit = self.function.instance_limit;
        let free = self.free_slots(now);
        let slots_needed = (ahead as f64 + 1.0 - f64::from(free)).max(0.0);
        let mean = self.mean_answer_time().as_secs_f64();
        let ready_slots = f64::from(self.count(Phase::Ready) * limit);
        let starting = self.count(Phase::Starting).max(u32::from(ready_slots == 0.0));
        let starting_slots = f64::from(starting * limit);
        let boot = self.time_to_next_start(now).as_secs_f64();
        let by_answers = if ready_slots > 0.0 { slots_needed * mean / ready_slots } else { f64::INFINITY };
        let work_after_start = (slots_needed - starting_slots).max(0.0) * mean + starting_slots * boot;
        let by_starts = if starting_slots > 0.0 {
            (work_after_start / (ready_slots + starting_slots)).max(boot)
        } else {
            f64::INFINITY
        };
        if slots_needed == 0.0 { Duration::ZERO } else { Duration::from_secs_f64(by_answers.min(by_starts)) }
    }

    /// Returns the mean answer time; before the first answer, a quarter of the latency aim.
    pub fn mean_answer_time(&self) -> Duration {
        let fallback = || self.function.latency_target.map_or(Duration::ZERO, |aim| aim / 4);
        if self.smoothed_answer_time.is_zero() { fallback() } else { self.smoothed_answer_time }
    }

    /// Returns the time until the next instance is ready, if the one ordered first takes the average start time.
    fn time_to_next_start(&self, now: Duration) -> Duration {
        let starting = self.instances.values().filter(|instance| instance.phase() == Phase::Starting);
        let remaining = |instance: &Instance| (instance.ordered_at + self.boot_time()).saturating_sub(now);
        starting.map(remaining).min().unwrap_or(self.boot_time())
    }

    /// Returns whether any instance is ready or starting. While there is none, only queued requests cause one to
    /// start.
    pub fn has_instances(&self) -> bool {
        self.count(Phase::Ready) + self.count(Phase::Starting) > 0
    }
}

#[cfg(test)]
#[path = "estimate_tests.rs"]
mod tests;
