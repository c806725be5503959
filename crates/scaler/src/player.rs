//! The serving side of one function: plays desired[elapsed / step], asks again when the plan has
//! run out, retries once, and on failure holds the count or starts one under demand. Three small
//! exceptions: a plan meets live load by not being played below what that takes; held tasks with nothing running or starting start one at once, which is
//! kept while they wait, and held tasks
//! beyond what the played step can serve ask for a new plan early, at most once a second.

use std::time::Duration;

/// When a plan is asked for, and how often.
#[derive(Clone, Debug)]
pub struct PlayerTiming {
    /// How long an answer may take.
    pub timeout: Duration,
    /// The pause after an answer that did not come.
    pub backoff: Duration,
    /// The least time between two plans asked for early, since load came up.
    pub early: Duration,
    /// The pause after two answers in a row that did not come.
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

/// What one function looks like now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Situation {
    /// Instances that take requests.
    pub running: u32,
    /// Instances ordered or coming up.
    pub starting: u32,
    /// Requests waiting for room.
    pub queued: u32,
    /// Requests on instances.
    pub in_flight: u32,
    /// Requests one instance may have at once.
    pub capacity: f64,
    /// The fewest instances allowed.
    pub min: u32,
    /// The most instances allowed.
    pub max: u32,
    /// The operator's own count, which goes before any plan.
    pub fixed: Option<u32>,
    /// Whether a plan may be asked for now.
    pub may_ask: bool,
    /// How many the load just now takes; a plan made of older samples is not played below it.
    pub live: u32,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// How many instances there should be.
    pub desired: u32,
    /// Whether a plan is to be asked for.
    pub wants_plan: bool,
}

/// A plan from the moment it came.
#[derive(Clone, Debug)]
struct RunningPlan {
    /// Instances in each step.
    counts: Vec<u32>,
    step: Duration,
    begun: Duration,
}

/// A plan asked for and not yet answered.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    number: u64,
    asked_at: Duration,
}

/// No plan is played by longer steps than this.
const LONGEST_STEP: Duration = Duration::from_secs(3600);

/// Plays one function's plan by the time that has passed, and falls back where there is none.
#[derive(Clone, Debug, Default)]
pub struct Player {
    plan: Option<RunningPlan>,
    asked: Option<PendingAsk>,
    tries: u32,
    resting: Option<Duration>,
    early_at: Option<Duration>,
    fence: u64,
    /// How often two answers in a row did not come.
    pub fallbacks: u64,
    /// How often a plan was asked for before its time.
    pub early_asks: u64,
}

/// The count where there is no plan: as it is, one if there is demand and none runs, within the bounds.
pub fn fallback(current: u32, demand: bool, min: u32, max: u32) -> u32 {
    let count = if demand && current == 0 { 1 } else { current };
    count.clamp(min.min(max), max)
}

impl Player {
    /// The plan's count for now; none without a plan.
    pub fn played(&self, now: Duration) -> Option<u32> {
        let plan = self.plan.as_ref()?;
        let place = now.saturating_sub(plan.begun).as_millis() / plan.step.as_millis().max(1);
        plan.counts.get(place as usize).copied()
    }

    /// The number that named the host of the latest plan.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// The counts of the latest plan, one a step.
    pub fn plan(&self) -> &[u32] {
        self.plan.as_ref().map_or(&[], |plan| plan.counts.as_slice())
    }

    /// Says what the count should be now, and whether a plan is to be asked for under `request_id`.
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

    /// Takes a plan asked for under `request_id`, unless a later host has already been heard.
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
        assert!(!player.take(32 * S, 4, 4, vec![1], 15 * S), "a fenced-off host's plan");
        assert!(!player.take(32 * S, 3, 6, vec![1], 15 * S), "an answer to an older ask");
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
