//! One function at its owner: its held tasks, its instances, its budget and its part of the plan.

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

const GROW: Duration = Duration::from_secs(1);
const GROW_CALM: Duration = Duration::from_millis(200);

pub struct FunctionScheduler {
    pub function: Function,
    pub queued: VecDeque<u64>,
    pub instances: BTreeMap<String, Instance>,
    pub player: PlanExecutor,
    pub budget: RetryBudget,
    pub unproven: RejectionLimit,
    pub in_flight: u32,
    pub adopting: Option<(Duration, bool)>,
    pub taken: u64,
    pub reported: (u32, u32),
    pub sent_tasks: SentTasks,
    pub leaving: Option<(NodeId, Duration)>,
    /// Whether this router is the owner by the membership in force; asked at each pass, so it is kept here.
    pub is_owned: bool,
    pub arrivals: u32,
    pub load: RecentLoad,
    pub peak: DemandPeak,
    pub usual: TypicalAnswerTime,
    pub answered: u32,
    pub answer_time: Duration,
    pub mean_time: Duration,
    pub waiting_sum: f64,
    pub queued_sum: f64,
    pub looks: u32,
    pub read_at: Option<Duration>,
    pub refused_until: Duration,
    pub backs_off: Duration,
    pub desired: u32,
    pub seen: Seen,
    pub tuned_usage: Option<f64>,
    pub sampled_zero: bool,
    /// What keeps the queue from being sent.
    pub queue_wait: QueueWait,
    pub blocked: BlockedTime,
    pub refused: RefusalCounts,
}

/// What is measured between two samples, for the tuning of weight sheets.
#[derive(Clone, Copy, Default)]
pub struct Seen {
    pub boot: Duration,
    pub boots: u32,
    pub refused: u32,
    pub rejections: u32,
    pub usage_sum: f64,
}

impl FunctionScheduler {
    pub fn new(now: Duration, function: Function, membership: u64, allowances: &Allowances) -> FunctionScheduler {
        FunctionScheduler {
            function,
            queued: VecDeque::new(),
            instances: BTreeMap::new(),
            player: PlanExecutor::default(),
            budget: RetryBudget::new(now, allowances),
            unproven: RejectionLimit::new(now, allowances),
            in_flight: 0,
            adopting: Some((now, false)),
            taken: membership,
            reported: (0, 0),
            sent_tasks: SentTasks::Unknown,
            leaving: None,
            is_owned: false,
            arrivals: 0,
            load: RecentLoad::new(now),
            peak: DemandPeak::default(),
            usual: TypicalAnswerTime::default(),
            answered: 0,
            answer_time: Duration::ZERO,
            mean_time: Duration::ZERO,
            waiting_sum: 0.0,
            queued_sum: 0.0,
            looks: 0,
            read_at: None,
            refused_until: Duration::ZERO,
            backs_off: Duration::ZERO,
            desired: 0,
            seen: Seen::default(),
            tuned_usage: None,
            sampled_zero: false,
            queue_wait: QueueWait::default(),
            blocked: BlockedTime::default(),
            refused: RefusalCounts::default(),
        }
    }

    /// Whether anything is, was lately or should be going on here; a scheduler asleep costs nothing.
    pub fn is_awake(&self) -> bool {
        let wanted = self.function.fixed.unwrap_or(self.function.min) > 0 || self.desired > 0;
        wanted || !self.queued.is_empty() || !self.instances.is_empty() || self.in_flight > 0 || self.arrivals > 0
    }

    /// How long one start takes on average.
    pub fn boot(&self) -> Duration {
        self.function.boot_time
    }

    /// Others may have been owner here meanwhile: what they spent and sent is not known.
    pub fn begin_anew(&mut self, now: Duration) {
        self.unproven.begin_caution(now);
        self.instances.values_mut().for_each(|instance| instance.proven_concurrency = 0);
        self.budget.begin_caution(now);
        (self.adopting, self.reported, self.read_at) = (Some((now, false)), (0, 0), None);
        self.sent_tasks = SentTasks::Unknown;
        self.load.reset_long_run_rate(now);
    }

    /// Tasks an instance is planned for, by the usage in force.
    pub fn capacity(&self) -> f64 {
        let sheet = &self.function.sheet;
        let usage = self.tuned_usage.unwrap_or(sheet.target_usage);
        scaler::instance_capacity(
            self.function.instance_limit,
            &bindings::WeightSheet { target_usage: usage, ..sheet.clone() },
        )
    }

    /// The least time in which a task can be expected to be answered once it is sent.
    pub fn least_time(&self) -> Duration {
        self.mean_time.mul_f64(1.5).clamp(Duration::from_millis(30), Duration::from_millis(1000))
    }

    pub fn took(&mut self, time: Duration) {
        self.answered += 1;
        self.answer_time += self.usual.cap(time);
        self.mean_time = if self.mean_time.is_zero() { time } else { (self.mean_time * 7 + time) / 8 };
    }

    pub fn count(&self, phase: Phase) -> u32 {
        self.instances.values().filter(|instance| instance.phase() == phase).count() as u32
    }

    /// Slots into which requests may be sent now.
    pub fn free_slots(&self, now: Duration) -> u32 {
        let limit = self.function.instance_limit;
        self.instances.values().map(|instance| instance.capacity(now, limit)).sum()
    }

    pub fn roomiest(&self, now: Duration) -> Option<String> {
        let limit = self.function.instance_limit;
        self.instances
            .iter()
            .map(|(id, instance)| (instance.capacity(now, limit), id))
            .filter(|(capacity, _)| *capacity > 0)
            .max_by_key(|(capacity, id)| (*capacity, std::cmp::Reverse(*id)))
            .map(|(_, id)| id.clone())
    }

    /// Reduces at once what an instance is sent after it turned a task away; it grows back slowly.
    pub fn turned_away(&mut self, now: Duration, id: &str) {
        let limit = self.function.instance_limit;
        if let Some(instance) = self.instances.get_mut(id) {
            instance.concurrency_limit = (instance.busy.min(limit) / 2).max(1);
            instance.limit_changed_at = now;
            instance.proven_concurrency = 0;
            instance.paused_until = now + Duration::from_millis(400);
        }
    }

    pub fn grow_back(&mut self, now: Duration) {
        let limit = self.function.instance_limit;
        self.unproven.decay();
        let pause = if self.unproven.rejections(now) == 0 { GROW_CALM } else { GROW };
        for instance in self.instances.values_mut() {
            if instance.concurrency_limit < limit && now > instance.limit_changed_at + pause {
                instance.concurrency_limit += 1;
                instance.limit_changed_at = now;
            }
        }
    }
}
