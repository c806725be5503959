//! State of one function at its owner: queued requests, instances, retry budget and scaling plan.

use crate::allowances::Allowances;
use crate::budget::RetryBudget;
use crate::instance::{Instance, Phase};
use crate::load::{DemandPeak, RecentLoad, TypicalAnswerTime};
use crate::queue_wait::{BlockedTime, QueueWait};
use crate::refusals::RefusalCounts;
use crate::rejection_limit::RejectionLimit;
use crate::sent_tasks::SentTasks;
use bindings::Function;
use scaler::PlanExecutor;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::NodeId;

/// Interval at which an instance's concurrency limit grows by one while requests were rejected lately.
const LIMIT_GROWTH_INTERVAL: Duration = Duration::from_secs(1);
/// The same interval while no request was rejected lately.
const CALM_LIMIT_GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Scheduler of one function's requests and instances.
pub struct FunctionScheduler {
    pub function: Function,
    pub queued: VecDeque<u64>,
    pub instances: BTreeMap<String, Instance>,
    pub player: PlanExecutor,
    pub budget: RetryBudget,
    pub rejection_limit: RejectionLimit,
    pub in_flight: u32,
    /// While the owner waits for an earlier owner's table: since when, and whether it has read a list of its own since.
    pub adopting: Option<(Duration, bool)>,
    /// Number of the membership under which this router became the owner.
    pub acquired_membership: u64,
    /// Retries and rejections that earlier owners have reported so far.
    pub reported_counts: (u32, u32),
    pub sent_tasks: SentTasks,
    /// The next owner while the function is being handed over, and when the last table was sent to it.
    pub leaving: Option<(NodeId, Duration)>,
    /// Whether this router is the owner under the current membership. Cached because each pass needs it.
    pub is_owned: bool,
    pub arrivals: u32,
    pub load: RecentLoad,
    pub peak: DemandPeak,
    pub typical_answer_time: TypicalAnswerTime,
    pub answered: u32,
    /// Sum of the answer times since the last sample.
    pub answer_time: Duration,
    /// Exponential moving average of the answer times.
    pub smoothed_answer_time: Duration,
    /// Sum over the passes since the last sample of the queued requests, in passes with a ready instance.
    pub waiting_sum: f64,
    /// The same, in passes without a ready instance.
    pub queued_sum: f64,
    /// Number of passes since the last sample.
    pub observations: u32,
    /// When the pending deferred requests were last read from the store.
    pub deferred_read_at: Option<Duration>,
    pub no_starts_until: Duration,
    /// End of the time after a preemption in which instances are started only for queued requests.
    pub preempted_until: Duration,
    /// Number of instances wanted.
    pub desired: u32,
    pub measurement: MeasurementCounts,
    pub tuned_usage: Option<f64>,
    /// Whether the last sample was taken while the function was inactive.
    pub sampled_zero: bool,
    /// Reason why the queued requests are not being sent.
    pub queue_wait: QueueWait,
    pub blocked: BlockedTime,
    pub refused: RefusalCounts,
}

/// Measurements between two samples, for the tuning of weight sheets.
#[derive(Clone, Copy, Default)]
pub struct MeasurementCounts {
    pub boot: Duration,
    pub boots: u32,
    pub refused: u32,
    pub rejections: u32,
    pub usage_sum: f64,
}

impl FunctionScheduler {
    /// Returns a scheduler that waits for the earlier owner's table.
    pub fn new(now: Duration, function: Function, membership: u64, allowances: &Allowances) -> FunctionScheduler {
        FunctionScheduler {
            function,
            queued: VecDeque::new(),
            instances: BTreeMap::new(),
            player: PlanExecutor::default(),
            budget: RetryBudget::new(now, allowances),
            rejection_limit: RejectionLimit::new(now, allowances),
            in_flight: 0,
            adopting: Some((now, false)),
            acquired_membership: membership,
            reported_counts: (0, 0),
            sent_tasks: SentTasks::Unknown,
            leaving: None,
            is_owned: false,
            arrivals: 0,
            load: RecentLoad::new(now),
            peak: DemandPeak::default(),
            typical_answer_time: TypicalAnswerTime::default(),
            answered: 0,
            answer_time: Duration::ZERO,
            smoothed_answer_time: Duration::ZERO,
            waiting_sum: 0.0,
            queued_sum: 0.0,
            observations: 0,
            deferred_read_at: None,
            no_starts_until: Duration::ZERO,
            preempted_until: Duration::ZERO,
            desired: 0,
            measurement: MeasurementCounts::default(),
            tuned_usage: None,
            sampled_zero: false,
            queue_wait: QueueWait::default(),
            blocked: BlockedTime::default(),
            refused: RefusalCounts::default(),
        }
    }

    /// Returns whether the function has requests or instances, needs instances, or had requests lately. Schedulers for
    /// which this is false are skipped and cost nothing.
    pub fn is_awake(&self) -> bool {
        let wanted = self.function.fixed.unwrap_or(self.function.min) > 0 || self.desired > 0;
        wanted || !self.queued.is_empty() || !self.instances.is_empty() || self.in_flight > 0 || self.arrivals > 0
    }

    /// Returns the average start time of an instance.
    pub fn boot_time(&self) -> Duration {
        self.function.boot_time
    }

    /// Resets what is known of other owners' retries, rejections and sent requests, after others may have been the
    /// owner.
    pub fn restart_adoption(&mut self, now: Duration) {
        self.rejection_limit.begin_caution(now);
        self.instances.values_mut().for_each(|instance| instance.proven_concurrency = 0);
        self.budget.begin_caution(now);
        (self.adopting, self.reported_counts, self.deferred_read_at) = (Some((now, false)), (0, 0), None);
        self.sent_tasks = SentTasks::Unknown;
        self.load.reset_long_run_rate(now);
    }

    /// Returns the number of concurrent requests planned per instance, by the current target usage.
    pub fn capacity(&self) -> f64 {
        let sheet = &self.function.sheet;
        let usage = self.tuned_usage.unwrap_or(sheet.target_usage);
        scaler::instance_capacity(
            self.function.instance_limit,
            &bindings::WeightSheet { target_usage: usage, ..sheet.clone() },
        )
    }

    /// Returns the minimum time in which a request can be expected to be answered once it is sent.
    pub fn min_answer_time(&self) -> Duration {
        self.smoothed_answer_time.mul_f64(1.5).clamp(Duration::from_millis(30), Duration::from_millis(1000))
    }

    /// Records the answer time of a request.
    pub fn record_answer_time(&mut self, time: Duration) {
        self.answered += 1;
        self.answer_time += self.typical_answer_time.cap(time);
        self.smoothed_answer_time =
            if self.smoothed_answer_time.is_zero() { time } else { (self.smoothed_answer_time * 7 + time) / 8 };
    }

    /// Returns the number of instances in the phase.
    pub fn count(&self, phase: Phase) -> u32 {
        self.instances.values().filter(|instance| instance.phase() == phase).count() as u32
    }

    /// Returns the number of requests that may be sent now.
    pub fn free_slots(&self, now: Duration) -> u32 {
        let limit = self.function.instance_limit;
        self.instances.values().map(|instance| instance.capacity(now, limit)).sum()
    }

    /// Returns the instance with the most free slots, if any has one.
    pub fn most_free_instance(&self, now: Duration) -> Option<String> {
        let limit = self.function.instance_limit;
        self.instances
            .iter()
            .map(|(id, instance)| (instance.capacity(now, limit), id))
            .filter(|(capacity, _)| *capacity > 0)
            .max_by_key(|(capacity, id)| (*capacity, std::cmp::Reverse(*id)))
            .map(|(_, id)| id.clone())
    }

    /// Halves the concurrency limit of an instance that rejected a request; the limit then grows back slowly.
    pub fn reduce_limit(&mut self, now: Duration, id: &str) {
        let limit = self.function.instance_limit;
        if let Some(instance) = self.instances.get_mut(id) {
            instance.concurrency_limit = (instance.busy.min(limit) / 2).max(1);
            instance.limit_changed_at = now;
            instance.proven_concurrency = 0;
            instance.paused_until = now + Duration::from_millis(400);
        }
    }

    /// Raises reduced concurrency limits by one, at the growth interval.
    pub fn restore_limits(&mut self, now: Duration) {
        let limit = self.function.instance_limit;
        self.rejection_limit.decay();
        let pause =
            if self.rejection_limit.rejections(now) == 0 { CALM_LIMIT_GROWTH_INTERVAL } else { LIMIT_GROWTH_INTERVAL };
        for instance in self.instances.values_mut() {
            if instance.concurrency_limit < limit && now > instance.limit_changed_at + pause {
                instance.concurrency_limit += 1;
                instance.limit_changed_at = now;
            }
        }
    }
}
