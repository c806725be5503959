//! The load on a function just now: what arrived within about the last second and what is held, as the
//! slots that it keeps in use. A plan is made of whole samples and lags behind a crowd by some of them.

use crate::function_scheduler::FunctionScheduler;
use crate::instance::Phase;
use bindings::Function;
use scaler::{ArrivalRate, InstanceCost, LiveDemand};
use std::collections::VecDeque;
use std::time::Duration;

const LOAD_RETENTION: Duration = Duration::from_secs(1);
/// How far the usual time follows in one pass, ten to a second.
const RISE: f64 = 1.12;
const FALL: f64 = 0.9;
const MIN_MEASURED_SPAN: Duration = Duration::from_millis(300);

/// Arrivals by the pass that counted them.
pub struct Load {
    passes: VecDeque<(Duration, u32)>,
    counted: u32,
    total: u32,
    long_run: ArrivalRate,
}

impl Load {
    pub fn new(now: Duration) -> Load {
        Load { passes: VecDeque::new(), counted: 0, total: 0, long_run: ArrivalRate::new(now) }
    }

    /// Others may have been owner here meanwhile: how often the function was called is not known.
    pub fn watch_anew(&mut self, now: Duration) {
        self.long_run = ArrivalRate::new(now);
    }

    /// `arrivals` goes up with each task and back to zero with each sample.
    pub fn pass(&mut self, now: Duration, arrivals: u32) {
        let has_changes = if arrivals >= self.counted { arrivals - self.counted } else { arrivals };
        self.counted = arrivals;
        self.long_run.record(now, has_changes);
        if has_changes > 0 {
            self.passes.push_back((now, has_changes));
            self.total += has_changes;
        }
        while let Some((_, old)) = self.passes.pop_front_if(|(at, _)| now >= *at + LOAD_RETENTION) {
            self.total -= old;
        }
    }

    /// Tasks within the last second.
    pub fn arrivals(&self) -> u32 {
        self.total
    }

    /// Tasks a second.
    pub fn rate(&self, now: Duration) -> f64 {
        let since = self.passes.front().map_or(LOAD_RETENTION, |(at, _)| now.saturating_sub(*at));
        f64::from(self.total) / since.clamp(MIN_MEASURED_SPAN, LOAD_RETENTION).as_secs_f64()
    }
}

/// The most that was wanted within the time a start takes: an instance taken back sooner would have
/// to be started again by the next swing.
#[derive(Default)]
pub struct Peak {
    /// Counts that nothing later has reached, the highest first.
    counts: VecDeque<(Duration, u32)>,
}

impl Peak {
    pub fn pass(&mut self, now: Duration, wanted: u32, boot: Duration) -> u32 {
        while self.counts.pop_back_if(|(_, count)| *count <= wanted).is_some() {}
        self.counts.push_back((now, wanted));
        while self.counts.pop_front_if(|(at, _)| now > *at + boot).is_some() {}
        self.counts.front().map_or(wanted, |(_, count)| *count)
    }
}

/// What an answer takes when nothing is wrong. It follows the mean of late slowly upwards: tasks that
/// stand still because something they call is away would else call for instances without end.
#[derive(Default)]
pub struct Usual {
    time: Duration,
}

impl Usual {
    pub fn pass(&mut self, mean: Duration) {
        let (least, most) = (self.time.mul_f64(FALL), self.time.mul_f64(RISE));
        self.time = if self.time.is_zero() { mean } else { mean.clamp(least, most) };
    }

    /// A time that an answer took, as far as it says what an answer takes.
    pub fn bound(&self, took: Duration) -> Duration {
        if self.time.is_zero() { took } else { took.min(self.time * 3) }
    }
}

impl FunctionScheduler {
    /// What an answer can be expected to take.
    pub fn expected_time(&self) -> Duration {
        if self.usual.time.is_zero() { self.answer_mean() } else { self.usual.time.min(self.answer_mean()) }
    }

    /// The instances that the load of this moment takes.
    pub fn live(&self, now: Duration) -> u32 {
        let demand = LiveDemand {
            arrivals: self.load.arrivals(),
            rate: self.load.rate(now),
            queued: self.queued.len() as u32,
            in_flight: self.in_flight,
            usual_response_time: if self.usual.time.is_zero() { self.answer_mean() } else { self.usual.time },
            capacity: self.capacity(),
            instance_limit: self.function.instance_limit,
            ready: self.count(Phase::Ready),
        };
        demand.instances_needed()
    }

    /// Whether instances with nothing to do are worth their memory.
    pub fn is_kept_idle(&self, now: Duration, start_gb_seconds: f64) -> bool {
        let Function { memory_mb, boot, .. } = self.function;
        InstanceCost { memory_mb, boot, start_gb_seconds }.is_kept_idle(now, &self.load.long_run)
    }
}
