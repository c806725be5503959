//! Compares what the fleet admitted and refused with the limits.

use super::load::Consumer;
use quota::{ConsumerId, ConsumerLimit, QuotaBounds};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Counts of one consumer.
#[derive(Default)]
struct Record {
    arrived: VecDeque<Duration>,
    admitted: VecDeque<Duration>,
    arrivals: u64,
    admissions: u64,
    refused_within_limit: u64,
    /// Largest fraction of the allowance that a window used; below zero if all windows stayed within the limit.
    max_allowance_used: f64,
    /// Requests over the limit in that window.
    max_over_limit: f64,
    /// Requests that a single global token bucket would have admitted.
    ideal_admissions: f64,
    ideal_level: f64,
    ideal_updated_at: Duration,
}

/// Both kinds of error in one run: requests admitted over a limit, and requests refused within one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Errors {
    /// Largest fraction of the allowance in a window that any consumer used; over 1 violates the bound.
    pub allowance_used: f64,
    /// Requests over the limit in that window.
    pub over: f64,
    /// Fraction refused of the requests of consumers without a surge, counted while they are within their limits.
    pub refused: f64,
    /// Largest such fraction of a single consumer.
    pub refused_worst: f64,
    /// Fraction of all requests of consumers with a surge that were refused while these were within their limits.
    pub hot_refused: f64,
    /// Requests of consumers with a surge that were admitted, relative to what a single global token bucket would have
    /// admitted.
    pub hot_admitted: f64,
}

/// Records arrivals, admissions and refusals, and computes the errors.
pub struct LimitChecker {
    /// Largest fraction of a limit's rate that all granters had at one time; over 1 is more than the limit.
    pub max_granted_share: f64,
    bounds: QuotaBounds,
    records: BTreeMap<ConsumerId, Record>,
    /// Earlier limits that were lowered. Windows that include a lowering are checked against the highest limit in them.
    lowered: BTreeMap<ConsumerId, Vec<(Duration, ConsumerLimit)>>,
}

impl LimitChecker {
    pub fn new(bounds: QuotaBounds) -> LimitChecker {
        LimitChecker { max_granted_share: 0.0, bounds, records: BTreeMap::new(), lowered: BTreeMap::new() }
    }

    pub fn record_lowered_limit(&mut self, at: Duration, consumer: ConsumerId, before: ConsumerLimit) {
        self.lowered.entry(consumer).or_default().push((at, before));
    }

    fn limit_in_force(&self, now: Duration, consumer: &Consumer) -> ConsumerLimit {
        let lowered = self.lowered.get(&consumer.id).into_iter().flatten();
        let in_window = lowered.filter(|(at, _)| now < *at + self.bounds.window).map(|(_, before)| *before);
        in_window.chain([consumer.limit]).max_by(|a, b| a.rate_per_s.total_cmp(&b.rate_per_s)).unwrap_or(consumer.limit)
    }

    /// Records a request. Returns whether the consumer has stayed within its limit in the window that ends now.
    pub fn record_arrival(&mut self, now: Duration, consumer: &Consumer) -> bool {
        let window = self.bounds.window;
        let limit = self.bounds.limit_in_window(self.limit_in_force(now, consumer));
        let record = self.records.entry(consumer.id).or_insert_with(|| Record {
            max_allowance_used: f64::MIN,
            max_over_limit: f64::MIN,
            ideal_level: consumer.limit.burst,
            ..Record::default()
        });
        while record.arrived.front().is_some_and(|time| *time + window < now) {
            record.arrived.pop_front();
        }
        record.arrived.push_back(now);
        record.arrivals += 1;
        let elapsed = (now - record.ideal_updated_at).as_secs_f64();
        record.ideal_level =
            (record.ideal_level + elapsed * consumer.limit.rate_per_s).min(consumer.limit.burst.max(1.0));
        record.ideal_updated_at = now;
        if record.ideal_level >= 1.0 {
            record.ideal_level -= 1.0;
            record.ideal_admissions += 1.0;
        }
        record.arrived.len() as f64 <= limit
    }

    pub fn record_refusal(&mut self, consumer: &Consumer, was_within_limit: bool) {
        if let Some(record) = self.records.get_mut(&consumer.id) {
            record.refused_within_limit += u64::from(was_within_limit);
        }
    }

    pub fn record_admission(&mut self, now: Duration, consumer: &Consumer) {
        let window = self.bounds.window;
        let limit = self.limit_in_force(now, consumer);
        let Some(record) = self.records.get_mut(&consumer.id) else { return };
        while record.admitted.front().is_some_and(|time| *time + window < now) {
            record.admitted.pop_front();
        }
        record.admissions += 1;
        record.admitted.push_back(now);
        let over = record.admitted.len() as f64 - self.bounds.limit_in_window(limit);
        let used = over / self.bounds.allowance(limit);
        if used > record.max_allowance_used {
            (record.max_allowance_used, record.max_over_limit) = (used, over);
        }
    }

    pub fn errors(&self, consumers: &[Consumer]) -> Errors {
        let (hot, within): (Vec<&Consumer>, Vec<&Consumer>) =
            consumers.iter().partition(|consumer| !consumer.surges.is_empty());
        let records = |of: &[&Consumer]| -> Vec<&Record> {
            of.iter().filter_map(|consumer| self.records.get(&consumer.id)).collect()
        };
        let (hot, within) = (records(&hot), records(&within));
        let worst = self.records.values().max_by(|a, b| a.max_allowance_used.total_cmp(&b.max_allowance_used));
        let refused_fraction = |record: &Record| record.refused_within_limit as f64 / record.arrivals as f64;
        let sum = |of: &[&Record], value: fn(&Record) -> f64| {
            of.iter().map(|record| value(record)).fold(0.0, |sum, count| sum + count)
        };
        let refused = |of: &[&Record]| {
            sum(of, |record| record.refused_within_limit as f64) / sum(of, |record| record.arrivals as f64).max(1.0)
        };
        Errors {
            allowance_used: worst.map_or(0.0, |record| record.max_allowance_used),
            over: worst.map_or(0.0, |record| record.max_over_limit),
            refused: refused(&within),
            refused_worst: within.iter().map(|record| refused_fraction(record)).fold(0.0, f64::max),
            hot_refused: refused(&hot),
            hot_admitted: sum(&hot, |record| record.admissions as f64)
                / sum(&hot, |record| record.ideal_admissions).max(1.0),
        }
    }
}
