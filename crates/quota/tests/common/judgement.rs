//! What the fleet admitted and refused, held against the limits.

use super::load::Consumer;
use quota::{Admission, ConsumerId, ConsumerLimit, QuotaBounds};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Default)]
struct Record {
    arrived: VecDeque<Duration>,
    admitted: VecDeque<Duration>,
    arrivals: u64,
    admissions: u64,
    refused_within_limit: u64,
    /// The largest part of the error allowed that a window used; below zero if it kept within the limit.
    worst_part: f64,
    /// The same in requests beyond the limit.
    worst_over: f64,
    /// What one bucket with all knowledge would have admitted.
    ideal: f64,
    level: f64,
    at: Duration,
}

/// Both errors of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Errors {
    /// Of the error allowed in a window, the largest part used by any consumer; over 1 breaks the bound.
    pub allowance_used: f64,
    /// Requests over the limit in that window.
    pub over: f64,
    /// Of the requests of consumers that stay within their limits, the part refused.
    pub refused: f64,
    /// The same for the consumer with the largest part.
    pub refused_worst: f64,
    /// Of all requests of consumers that go beyond their limits, the part refused while they were within.
    pub hot_refused: f64,
    /// What those were admitted of what one bucket with all knowledge would have admitted.
    pub hot_served: f64,
}

pub struct Judgement {
    bounds: QuotaBounds,
    records: BTreeMap<ConsumerId, Record>,
    /// Windows that reach back over a lowered limit are judged by the limit before.
    lowered: BTreeMap<ConsumerId, (Duration, ConsumerLimit)>,
}

impl Judgement {
    pub fn new(bounds: QuotaBounds) -> Judgement {
        Judgement { bounds, records: BTreeMap::new(), lowered: BTreeMap::new() }
    }

    pub fn lowered(&mut self, at: Duration, consumer: ConsumerId, before: ConsumerLimit) {
        self.lowered.insert(consumer, (at, before));
    }

    pub fn judge(&mut self, now: Duration, consumer: &Consumer, admission: Admission) {
        let window = self.bounds.window;
        let lowered = self.lowered.get(&consumer.id).filter(|(at, _)| now < *at + window).map(|(_, before)| *before);
        let limit = lowered.unwrap_or(consumer.limit);
        let record = self.records.entry(consumer.id).or_insert_with(|| Record {
            worst_part: f64::MIN,
            worst_over: f64::MIN,
            level: limit.burst,
            ..Record::default()
        });
        for times in [&mut record.arrived, &mut record.admitted] {
            while times.front().is_some_and(|time| *time + window < now) {
                times.pop_front();
            }
        }
        record.arrived.push_back(now);
        record.arrivals += 1;
        let elapsed = (now - record.at).as_secs_f64();
        record.level = (record.level + elapsed * consumer.limit.rate_per_s).min(consumer.limit.burst.max(1.0));
        record.at = now;
        if record.level >= 1.0 {
            record.level -= 1.0;
            record.ideal += 1.0;
        }
        let most = self.bounds.limit_in_window(limit);
        if admission != Admission::Admit {
            record.refused_within_limit += u64::from(record.arrived.len() as f64 <= most);
            return;
        }
        record.admissions += 1;
        record.admitted.push_back(now);
        let over = record.admitted.len() as f64 - most;
        let part = over / self.bounds.allowance(limit);
        if part > record.worst_part {
            (record.worst_part, record.worst_over) = (part, over);
        }
    }

    pub fn errors(&self, consumers: &[Consumer]) -> Errors {
        let (hot, within): (Vec<&Consumer>, Vec<&Consumer>) =
            consumers.iter().partition(|consumer| !consumer.surges.is_empty());
        let records = |of: &[&Consumer]| -> Vec<&Record> {
            of.iter().filter_map(|consumer| self.records.get(&consumer.id)).collect()
        };
        let (hot, within) = (records(&hot), records(&within));
        let worst = self.records.values().max_by(|a, b| a.worst_part.total_cmp(&b.worst_part));
        let part = |record: &Record| record.refused_within_limit as f64 / record.arrivals as f64;
        let sum = |of: &[&Record], what: fn(&Record) -> f64| {
            of.iter().map(|record| what(record)).fold(0.0, |sum, count| sum + count)
        };
        let refused = |of: &[&Record]| {
            sum(of, |record| record.refused_within_limit as f64) / sum(of, |record| record.arrivals as f64).max(1.0)
        };
        Errors {
            allowance_used: worst.map_or(0.0, |record| record.worst_part),
            over: worst.map_or(0.0, |record| record.worst_over),
            refused: refused(&within),
            refused_worst: within.iter().map(|record| part(record)).fold(0.0, f64::max),
            hot_refused: refused(&hot),
            hot_served: sum(&hot, |record| record.admissions as f64) / sum(&hot, |record| record.ideal).max(1.0),
        }
    }
}
