//! Executes the plan of one function: the desired count is `counts[elapsed / step]`. When the plan has run
//! out, a new one is requested, with one retry; if both fail, the current count is kept, or one instance is
//! started if there is demand. Three exceptions: the count never falls below the live demand; queued
//! requests with no instance running or starting start one at once, which is kept while they wait; and
//! queued requests beyond the capacity of the planned count request a new plan early, at most once a second.

use std::time::Duration;

/// Timeouts and intervals of plan requests.
#[derive(Clone, Debug)]
pub struct PlanRequestTiming {
    /// Maximum time until a plan request is answered.
    pub timeout: Duration,
    /// Pause after a first unanswered request.
    pub backoff: Duration,
    /// Minimum time between two early requests, made because load rose.
    pub early_interval: Duration,
    /// Pause after two consecutive unanswered requests.
    pub long_backoff: Duration,
}

impl Default for PlanRequestTiming {
    fn default() -> Self {
        PlanRequestTiming {
            timeout: Duration::from_secs(2),
            backoff: Duration::from_millis(200),
            early_interval: Duration::from_secs(1),
            long_backoff: Duration::from_secs(5),
        }
    }
}

/// Current state of one function.
#[derive(Clone, Copy, Debug, Default)]
pub struct FunctionState {
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
    pub may_request_plan: bool,
    /// Number of instances that the current load needs: the lower bound of a plan, which is based on older samples.
    pub live_demand: u32,
}

/// Result of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Desired number of instances.
    pub desired: u32,
    /// Whether to request a plan.
    pub requests_plan: bool,
}

/// A plan and the time at which it began.
#[derive(Clone, Debug)]
struct RunningPlan {
    /// Number of instances in each step.
    counts: Vec<u32>,
    step: Duration,
    began_at: Duration,
}

/// A plan request without an answer yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    request_id: u64,
    requested_at: Duration,
}

/// Upper bound of the step of a plan.
const MAX_STEP: Duration = Duration::from_secs(3600);

/// Executes one function's plan by elapsed time, with a fallback if there is no plan.
#[derive(Clone, Debug, Default)]
pub struct PlanExecutor {
    plan: Option<RunningPlan>,
    pending: Option<PendingRequest>,
    unanswered: u32,
    paused_until: Option<Duration>,
    early_requested_at: Option<Duration>,
    fence: u64,
    /// Number of times that two consecutive requests went unanswered.
    pub fallbacks: u64,
    /// Number of plans requested before the previous one ran out.
    pub early_requests: u64,
}

/// Returns the instance count without a plan: the current count, or one if there is demand and no instance,
/// within the bounds.
pub fn fallback_count(current: u32, has_demand: bool, min: u32, max: u32) -> u32 {
    let count = if has_demand && current == 0 { 1 } else { current };
    count.clamp(min.min(max), max)
}

impl PlanExecutor {
    /// Returns the planned count at `now`; `None` if there is no plan or it has run out.
    pub fn planned_count(&self, now: Duration) -> Option<u32> {
        let plan = self.plan.as_ref()?;
        let index = now.saturating_sub(plan.began_at).as_millis() / plan.step.as_millis().max(1);
        plan.counts.get(index as usize).copied()
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
    pub fn step(
        &mut self,
        now: Duration,
        request_id: u64,
        state: FunctionState,
        timing: &PlanRequestTiming,
    ) -> Decision {
        let FunctionState {
            running,
            starting,
            queued,
            in_flight,
            capacity,
            min,
            max,
            fixed,
            may_request_plan,
            live_demand,
        } = state;
        if let Some(count) = fixed {
            return Decision { desired: count, requests_plan: false };
        }
        if let Some(PendingRequest { requested_at, .. }) = self.pending
            && now > requested_at + timing.timeout
        {
            self.pending = None;
            self.unanswered += 1;
            self.paused_until = Some(now + if self.unanswered < 2 { timing.backoff } else { timing.long_backoff });
            if self.unanswered >= 2 {
                self.unanswered = 0;
                self.fallbacks += 1;
            }
        }
        let count = running + starting;
        let planned = self.planned_count(now);
        let exceeds_plan =
            planned.is_some_and(|planned| f64::from(queued + in_flight) > f64::from(planned.max(count)) * capacity);
        let is_early =
            queued > 0 && exceeds_plan && self.early_requested_at.is_none_or(|at| now >= at + timing.early_interval);
        let pause_is_over = self.paused_until.is_none_or(|until| now >= until);
        let needs_plan = planned.is_none() || is_early;
        let requests_plan = may_request_plan && needs_plan && pause_is_over && self.pending.is_none();
        if requests_plan {
            self.pending = Some(PendingRequest { request_id, requested_at: now });
            if is_early {
                self.early_requested_at = Some(now);
                self.early_requests += 1;
            }
        }
        let has_demand = queued + in_flight > 0;
        let desired = planned.unwrap_or_else(|| fallback_count(count, has_demand, min, max));
        let at_least_one = if queued > 0 { desired.max(1) } else { desired };
        Decision { desired: at_least_one.max(live_demand).clamp(min.min(max), max), requests_plan }
    }

    /// Accepts the plan requested under `request_id`, unless a plan with a higher fence was accepted before.
    pub fn accept_plan(
        &mut self,
        now: Duration,
        request_id: u64,
        fence: u64,
        desired: Vec<u32>,
        step: Duration,
    ) -> bool {
        let is_pending = self.pending.is_some_and(|pending| pending.request_id == request_id);
        if !is_pending || fence < self.fence || desired.is_empty() || step.is_zero() {
            return false;
        }
        self.fence = fence;
        self.pending = None;
        self.unanswered = 0;
        self.paused_until = None;
        self.plan = Some(RunningPlan { counts: desired, step: step.min(MAX_STEP), began_at: now });
        true
    }
}

#[cfg(test)]
#[path = "plan_executor_tests.rs"]
mod tests;
