//! How long a task will have to wait at a scheduler, by what answers have taken, the slots that are free or
//! come free, and the instances that are starting.

use crate::function_scheduler::FunctionScheduler;
use crate::instance::{Instance, Phase};
use std::time::Duration;

impl FunctionScheduler {
    /// Until a task behind so many others can go. By then the slots in use come free at the rate of
    /// answers, and those of instances that start are free from when they have started.
    pub fn expected_wait(&self, now: Duration, ahead: usize) -> Duration {
        let limit = self.function.instance_limit;
        let free = self.free_slots(now);
        let wanted = (ahead as f64 + 1.0 - f64::from(free)).max(0.0);
        let mean = self.answer_mean().as_secs_f64();
        let in_use = f64::from(self.count(Phase::Ready) * limit);
        let starting = self.count(Phase::Starting).max(u32::from(in_use == 0.0));
        let coming = f64::from(starting * limit);
        let boot = self.next_start(now).as_secs_f64();
        let by_answers = if in_use > 0.0 { wanted * mean / in_use } else { f64::INFINITY };
        let by_then = (wanted - coming).max(0.0) * mean + coming * boot;
        let by_starts = if coming > 0.0 { (by_then / (in_use + coming)).max(boot) } else { f64::INFINITY };
        if wanted == 0.0 { Duration::ZERO } else { Duration::from_secs_f64(by_answers.min(by_starts)) }
    }

    /// What an answer takes; before the first one, a part of the aim.
    pub fn answer_mean(&self) -> Duration {
        let guess = || self.function.aim.map_or(Duration::ZERO, |aim| aim / 4);
        if self.mean_time.is_zero() { guess() } else { self.mean_time }
    }

    /// Until the next instance has started, if the one that began first takes as long as on average.
    fn next_start(&self, now: Duration) -> Duration {
        let starting = self.instances.values().filter(|instance| instance.phase() == Phase::Starting);
        let left = |instance: &Instance| (instance.ordered + self.boot()).saturating_sub(now);
        starting.map(left).min().unwrap_or(self.boot())
    }

    /// Whether any instance is there or on its way. While there is none, only what is held brings one.
    pub fn has_any(&self) -> bool {
        self.count(Phase::Ready) + self.count(Phase::Starting) > 0
    }
}

#[cfg(test)]
#[path = "estimate_tests.rs"]
mod tests;
