//! Executes the plan of one function: the desired count is `counts[elapsed / step]`. When the plan has run
//! out, a new one is requested, with one retry; if both fail, the current count is kept, or one instance is
//! started if there is demand. Three exceptions: the count never falls below the live demand; queued
//! requests with no instance running or starting start one at once, which is kept while they wait; and
//! queued requests beyond the capacity of the planned count request a new plan early, at most once a second.

use std::time::Duration;

/// Timeouts and intervals of plan requests.
#[derive(Clone, Debug)]
pub struct PlayerTiming {
    /// Maximum time until a plan request is answered.
    pub timeout: Duration,
    /// Pause after a first unanswered request.
    pub backoff: Duration,
    /// Minimum time between two early requests, made because load rose.
    pub early: Duration,
    /// Pause after two consecutive unanswered requests.
    pub rest: Duration,
}

impl Default for PlayerTiming {
    fn default() -> Self {
        PlayerTiming {
            timeout: Duration::from_secs(2),
            backoff: Duration::from_millis(200),
            early: Duration::from_secs(1),
            rest: Duration::from_secs(5),
        }
    }
}

/// Current state of one function.
#[derive(Clone, Copy, Debug, Default)]
pub struct Situation {
    /// Number of instances that accept requests.
    pub running: u32,
    /// Number of instances ordered or booting.
    pub starting: u32,
    /// Number of requests waiting for a free slot.
    pub queued: u32,
    /// Number of requests being served by instances.
    pub in_flight: u32,
    /// Number of concurrent requests that one instance is planned for.
    pub capacity: f64,
    /// Minimum number of instances.
    pub min: u32,
    /// Maximum number of instances.
    pub max: u32,
    /// Instance count fixed by the operator, which overrides every plan.
    pub fixed: Option<u32>,
    /// Whether a plan may be requested now.
    pub may_ask: bool,
    /// Number of instances that the current load needs: the lower bound of a plan, which is based on older samples.
    pub live: u32,
}

/// Result of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Desired number of instances.
    pub desired: u32,
    /// Whether to request a plan.
    pub wants_plan: bool,
}

/// A plan and the time at which it began.
#[derive(Clone, Debug)]
struct RunningPlan {
    /// Number of instances in each step.
    counts: Vec<u32>,
    step: Duration,
    begun: Duration,
}

/// A plan request without an answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    number: u64,
    asked_at: Duration,
}

/// Upper bound of the step of a plan.
const LONGEST_STEP: Duration = Duration::from_secs(3600);

/// Executes one function's plan by elapsed time, with a fallback if there is no plan.
#[derive(Clone, Debug, Default)]
pub struct Player {
    plan: Option<RunningPlan>,
    asked: Option<PendingAsk>,
    tries: u32,
    resting: Option<Duration>,
    early_at: Option<Duration>,
    fence: u64,
    /// Number of times that two consecutive requests went unanswered.
    pub fallbacks: u64,
    /// Number of plans requested before the previous one ran out.
    pub early_asks: u64,
}

/// Returns the instance count without a plan: the current count, or one if there is demand and no instance,
/// within the bounds.
pub fn fallback(current: u32, demand: bool, min: u32, max: u32) -> u32 {
    let count = if demand && current == 0 { 1 } else { current };
    count.clamp(min.min(max), max)
}

impl Player {
    /// Returns the planned count at `now`; `None` if there is no plan or it has run out.
    pub fn played(&self, now: Duration) -> Option<u32> {
        let plan = self.plan.as_ref()?;
        let place = now.saturating_sub(plan.begun).as_millis() / plan.step.as_millis().max(1);
        plan.counts.get(place as usize).copied()
    }

    /// Returns the fence of the latest plan: the number of the view that appointed its planner.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the counts of the latest plan, one per step.
    pub fn plan(&self) -> &[u32] {
        self.plan.as_ref().map_or(&[], |plan| plan.counts.as_slice())
    }

    /// Returns the desired count, and whether to request a plan under `request_id`.
    pub fn step(&mut self, now: Duration, request_id: u64, situation: Situation, timing: &PlayerTiming) -> Decision {
        let Situation { running, starting, queued, in_flight, capacity, min, max, fixed, may_ask, live } = situation;
        if let Some(count) = fixed {
            return Decision { desired: count, wants_plan: false };
        }
        if let Some(PendingAsk { asked_at, .. }) = self.asked
            && now > asked_at + timing.timeout
        {
            self.asked = None;
            self.tries += 1;
            self.resting = Some(now + if self.tries < 2 { timing.backoff } else { timing.rest });
            if self.tries >= 2 {
                self.tries = 0;
                self.fallbacks += 1;
            }
        }
        let count = running + starting;
        let played = self.played(now);
        let beyond = played.is_some_and(|step| f64::from(queued + in_flight) > f64::from(step.max(count)) * capacity);
        let early = queued > 0 && beyond && self.early_at.is_none_or(|at| now >= at + timing.early);
        let rested = self.resting.is_none_or(|until| now >= until);
        let wanted = played.is_none() || early;
        let is_requested = may_ask && wanted && rested && self.asked.is_none();
        if is_requested {
            self.asked = Some(PendingAsk { number: request_id, asked_at: now });
            if early {
                self.early_at = Some(now);
                self.early_asks += 1;
            }
        }
        let demand = queued + in_flight > 0;
        let desired = played.unwrap_or_else(|| fallback(count, demand, min, max));
        let woken = if queued > 0 { desired.max(1) } else { desired };
        Decision { desired: woken.max(live).clamp(min.min(max), max), wants_plan: is_requested }
    }

    /// Accepts the plan requested under `request_id`, unless a plan with a higher fence was accepted before.
    pub fn take(&mut self, now: Duration, request_id: u64, fence: u64, desired: Vec<u32>, step: Duration) -> bool {
        let due = self.asked.is_some_and(|asked| asked.number == request_id);
        if !due || fence < self.fence || desired.is_empty() || step.is_zero() {
            return false;
        }
        self.fence = fence;
        self.asked = None;
        self.tries = 0;
        self.resting = None;
        self.plan = Some(RunningPlan { counts: desired, step: step.min(LONGEST_STEP), begun: now });
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn situation(running: u32, queued: u32) -> Situation {
        Situation { running, queued, capacity: 3.0, min: 0, max: 9, may_ask: true, ..Situation::default() }
    }

    #[test]
    fn plans_are_played_by_elapsed_step_and_asked_for_when_they_run_out() {
        let (timing, mut player) = (PlayerTiming::default(), Player::default());
        assert_eq!(player.step(S, 1, situation(4, 0), &timing), Decision { desired: 4, wants_plan: true });
        assert!(player.take(S, 1, 5, vec![3, 6], 15 * S));
        assert_eq!(player.step(10 * S, 2, situation(4, 0), &timing), Decision { desired: 3, wants_plan: false });
        assert_eq!(player.step(17 * S, 3, situation(3, 0), &timing), Decision { desired: 6, wants_plan: false });
        assert_eq!(player.step(32 * S, 4, situation(6, 0), &timing), Decision { desired: 6, wants_plan: true });
        assert!(!player.take(32 * S, 4, 4, vec![1], 15 * S), "a plan with an older fence");
        assert!(!player.take(32 * S, 3, 6, vec![1], 15 * S), "an answer to an older request");
    }

    #[test]
    fn one_retry_then_the_count_is_held_and_one_is_started_under_demand() {
        let (timing, mut player) = (PlayerTiming::default(), Player::default());
        let mut plan_requests = 0;
        for tenth in 0..70u32 {
            let now = tenth * S / 10;
            plan_requests += u32::from(player.step(now, u64::from(tenth), situation(2, 0), &timing).wants_plan);
        }
        assert_eq!((plan_requests, player.fallbacks), (2, 1));
        assert_eq!(player.step(7 * S, 99, situation(0, 1), &timing).desired, 1);
        assert_eq!(player.step(7 * S, 99, situation(0, 0), &timing).desired, 0);
    }

    #[test]
    fn an_operators_fixed_count_goes_before_any_plan_and_asks_for_none() {
        let (timing, mut player) = (PlayerTiming::default(), Player::default());
        player.step(S, 1, situation(1, 0), &timing);
        player.take(S, 1, 1, vec![9; 4], 15 * S);
        let fixed = Situation { fixed: Some(3), ..situation(1, 50) };
        assert_eq!(player.step(2 * S, 2, fixed, &timing), Decision { desired: 3, wants_plan: false });
        assert_eq!(player.step(99 * S, 3, fixed, &timing), Decision { desired: 3, wants_plan: false });
    }

    #[test]
    fn the_one_that_was_woken_is_not_taken_back_while_callers_wait() {
        let (timing, mut player) = (PlayerTiming::default(), Player::default());
        player.step(S, 1, situation(0, 0), &timing);
        player.take(S, 1, 1, vec![0; 8], 15 * S);
        assert_eq!(player.step(2 * S, 2, situation(0, 4), &timing).desired, 1);
        let starting = Situation { starting: 1, ..situation(0, 4) };
        assert_eq!(player.step(3 * S, 3, starting, &timing).desired, 1);
        assert_eq!(player.step(4 * S, 4, situation(1, 0), &timing).desired, 0);
    }

    #[test]
    fn queued_tasks_beyond_the_step_ask_early_but_not_more_than_once_a_second() {
        let (timing, mut player) = (PlayerTiming::default(), Player::default());
        player.step(S, 1, situation(1, 0), &timing);
        player.take(S, 1, 1, vec![1; 8], 15 * S);
        let mut plan_requests = 0;
        for tenth in 0..30u32 {
            let now = 2 * S + tenth * S / 10;
            let decision = player.step(now, u64::from(100 + tenth), situation(1, 7), &timing);
            if decision.wants_plan {
                plan_requests += 1;
                player.take(now, u64::from(100 + tenth), 1, vec![1; 8], 15 * S);
            }
        }
        assert_eq!((plan_requests, player.early_asks), (3, 3));
    }
}
