//! Current load of a function: arrivals within about the last second and queued requests, expressed as the instances
//! that they keep busy. Plans are made from whole samples and therefore lag behind a sudden rise by several samples.

use crate::function_scheduler::FunctionScheduler;
use crate::instance::Phase;
use bindings::Function;
use scaler::{ArrivalRate, InstanceCost, LiveDemand};
use std::collections::VecDeque;
use std::time::Duration;

const LOAD_RETENTION: Duration = Duration::from_secs(1);
/// Limits on the change of the usual answer time in one pass, of which there are ten per second.
const MAX_RISE_PER_PASS: f64 = 1.12;
const MAX_FALL_PER_PASS: f64 = 0.9;
const MIN_MEASURED_SPAN: Duration = Duration::from_millis(300);

/// Arrivals, grouped by the pass that counted them.
pub struct RecentLoad {
    passes: VecDeque<(Duration, u32)>,
    last_count: u32,
    total: u32,
    long_run: ArrivalRate,
}

impl RecentLoad {
    /// Creates an empty count.
    pub fn new(now: Duration) -> RecentLoad {
        RecentLoad { passes: VecDeque::new(), last_count: 0, total: 0, long_run: ArrivalRate::new(now) }
    }

    /// Restarts the long-run arrival rate. Another owner may have served the function meanwhile, so the number of its
    /// calls is not known.
    pub fn reset_long_run_rate(&mut self, now: Duration) {
        self.long_run = ArrivalRate::new(now);
    }

    /// Counts the arrivals since the last pass. `arrivals` rises with each request and restarts at zero with each
    /// sample.
    pub fn update(&mut self, now: Duration, arrivals: u32) {
        let new_arrivals = if arrivals >= self.last_count { arrivals - self.last_count } else { arrivals };
        self.last_count = arrivals;
        self.long_run.record(now, new_arrivals);
        if new_arrivals > 0 {
            self.passes.push_back((now, new_arrivals));
            self.total += new_arrivals;
        }
        while let Some((_, old)) = self.passes.pop_front_if(|(at, _)| now >= *at + LOAD_RETENTION) {
            self.total -= old;
        }
    }

    /// Returns the number of arrivals within the last second.
    pub fn arrivals(&self) -> u32 {
        self.total
    }

    /// Returns the arrival rate, in requests per second.
    pub fn rate(&self, now: Duration) -> f64 {
        let since = self.passes.front().map_or(LOAD_RETENTION, |(at, _)| now.saturating_sub(*at));
        f64::from(self.total) / since.clamp(MIN_MEASURED_SPAN, LOAD_RETENTION).as_secs_f64()
    }
}

/// Maximum number of instances wanted within the time that a start takes. An instance stopped sooner would have to be
/// started again when demand next rises.
#[derive(Default)]
pub struct DemandPeak {
    /// Counts that no later count has reached, highest first.
    counts: VecDeque<(Duration, u32)>,
}

impl DemandPeak {
    /// Adds the current count and returns the maximum.
    pub fn update(&mut self, now: Duration, wanted: u32, boot: Duration) -> u32 {
        while self.counts.pop_back_if(|(_, count)| *count <= wanted).is_some() {}
        self.counts.push_back((now, wanted));
        while self.counts.pop_front_if(|(at, _)| now > *at + boot).is_some() {}
        self.counts.front().map_or(wanted, |(_, count)| *count)
    }
}

/// Answer time under normal conditions. It follows the recent mean upwards only slowly: otherwise requests that hang
/// because a service they call is down would demand ever more instances.
#[derive(Default)]
pub struct TypicalAnswerTime {
    time: Duration,
}

impl TypicalAnswerTime {
    /// Moves towards the recent mean, within the limits for one pass.
    pub fn update(&mut self, mean: Duration) {
        let (lowest, highest) = (self.time.mul_f64(MAX_FALL_PER_PASS), self.time.mul_f64(MAX_RISE_PER_PASS));
        self.time = if self.time.is_zero() { mean } else { mean.clamp(lowest, highest) };
    }

    /// Caps a measured answer time at three times the usual one, so that outliers count little.
    pub fn cap(&self, took: Duration) -> Duration {
        if self.time.is_zero() { took } else { took.min(self.time * 3) }
    }
}

impl FunctionScheduler {
    /// Returns the expected answer time.
    pub fn expected_answer_time(&self) -> Duration {
        if self.typical_answer_time.time.is_zero() {
            self.mean_answer_time()
        } else {
            self.typical_answer_time.time.min(self.mean_answer_time())
        }
    }

    /// Returns the number of instances that the current load needs.
    pub fn instances_for_load(&self, now: Duration) -> u32 {
        let demand = LiveDemand {
            arrivals: self.load.arrivals(),
            rate: self.load.rate(now),
            queued: self.queued.len() as u32,
            in_flight: self.in_flight,
            usual_response_time: if self.typical_answer_time.time.is_zero() {
                self.mean_answer_time()
            } else {
                self.typical_answer_time.time
            },
            capacity: self.capacity(),
            instance_limit: self.function.instance_limit,
            ready: self.count(Phase::Ready),
        };
        demand.instances_needed()
    }

    /// Returns whether keeping idle instances is worth their memory.
    pub fn is_kept_idle(&self, now: Duration, start_gb_seconds: f64) -> bool {
        let Function { memory_mb, boot_time: boot, .. } = self.function;
        InstanceCost { memory_mb, boot, start_gb_seconds }.is_kept_idle(now, &self.load.long_run)
    }
}
