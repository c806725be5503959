//! One consumer as one router sees it: what it counted, what it was told, and whether the next request is admitted.

use crate::counts::Counters;
use crate::limits::{ConsumerLimit, QuotaBounds};
use crate::rate::RateEstimate;
use crate::run_ahead::{RoomBasis, RunAhead};
use std::time::Duration;

/// Over so long a router counts its own requests to know its share of the demand.
const OWN_RATE: Duration = Duration::from_secs(1);
/// A total older than this says nothing about the demand of now; the share of the rate alone counts then.
pub(crate) const TOTAL_LASTS: Duration = Duration::from_secs(1);
/// While no totals come, the part of the rate that is dealt by known shares; the rest is dealt evenly.
const KNOWN_PART: f64 = 0.75;
/// The soonest that one refused is told to come back, and the latest.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The consumer's requests over all routers are beyond its limit.
    OverLimit,
    /// This router is as far ahead of what it knows as it may be.
    RunAhead,
}

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admit,
    /// It may not.
    Refuse {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
}

/// What a consumer uses, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConsumerUse {
    /// What this router counted.
    pub counters: Counters,
    /// Requests admitted that no aggregator has confirmed.
    pub run_ahead: u64,
    /// Requests left in the consumer's bucket when last told.
    pub level: Option<f64>,
    /// Requests that arrived a second over all routers when last told.
    pub demand_per_s: Option<f64>,
}

/// What a decision follows from besides the consumer's own state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Circumstances {
    pub(crate) now: Duration,
    pub(crate) limit: ConsumerLimit,
    pub(crate) bounds: QuotaBounds,
    /// How many routers there are.
    pub(crate) members: usize,
    /// How long it may be from one answer to the next.
    pub(crate) horizon: Duration,
    /// Whether an aggregator answered lately.
    pub(crate) is_answered: bool,
}

/// Where the consumer stood over all routers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownTotal {
    pub(crate) level: f64,
    pub(crate) demand_per_s: f64,
    pub(crate) at: Duration,
}

#[derive(Debug)]
pub(crate) struct ConsumerMeter {
    pub(crate) counters: Counters,
    pub(crate) confirmed: Counters,
    /// The aggregator in use has not confirmed any counts of this consumer.
    pub(crate) is_new_to_aggregator: bool,
    own_rate: RateEstimate,
    total: Option<KnownTotal>,
    run_ahead: RunAhead,
    /// Fractions of requests that were due so far, and not admitted.
    carried: f64,
}

impl ConsumerMeter {
    /// `phase`, between 0 and 1, differs between routers, so that they don't all refuse at once.
    pub(crate) fn new(by: Circumstances, phase: f64) -> ConsumerMeter {
        let own_rate = RateEstimate::new(by.now, OWN_RATE);
        let basis = room_basis(by, None, by.bounds.slack, 0.0);
        ConsumerMeter {
            counters: Counters::default(),
            confirmed: Counters::default(),
            is_new_to_aggregator: true,
            own_rate,
            total: None,
            run_ahead: RunAhead::new(by.now, basis),
            carried: phase,
        }
    }

    pub(crate) fn admit(&mut self, by: Circumstances) -> Admission {
        self.counters.arrived += 1;
        self.own_rate.add(by.now, 1.0);
        self.run_ahead.refill(by.now);
        let part = self.due_part(by);
        if part < 1.0 {
            self.carried += part;
            if self.carried < 1.0 {
                return refuse(self.due_in(by, part), RefusalReason::OverLimit);
            }
        }
        if !self.run_ahead.has_room() {
            self.carried = self.carried.min(1.0);
            return refuse(self.run_ahead.next_in(), RefusalReason::RunAhead);
        }
        if part < 1.0 {
            self.carried -= 1.0;
        }
        self.counters.admitted += 1;
        self.run_ahead.take();
        Admission::Admit
    }

    pub(crate) fn refund(&mut self) {
        if self.counters.refunded < self.counters.admitted {
            self.counters.refunded += 1;
            self.run_ahead.give_back();
        }
    }

    /// The counts up to `confirmed` are known to the aggregator.
    pub(crate) fn confirm(&mut self, confirmed: Counters) {
        self.confirmed = self.confirmed.merged(&confirmed);
        self.is_new_to_aggregator = false;
    }

    /// An answer told where the consumer stands, or that it is well within its limit.
    pub(crate) fn renew(&mut self, by: Circumstances, total: Option<KnownTotal>) {
        self.total = total;
        let calm_level = by.bounds.capacity(by.limit) / 2.0;
        let basis = room_basis(by, total, calm_level, self.own_rate.per_s(by.now));
        self.run_ahead.renew(by.now, basis, self.unconfirmed());
    }

    /// Admitted and not given back beyond what is confirmed; below zero where more was given back since.
    pub(crate) fn unconfirmed(&self) -> f64 {
        self.counters.used() as f64 - self.confirmed.used() as f64
    }

    pub(crate) fn has_unreported(&self) -> bool {
        self.counters != self.confirmed || (self.is_new_to_aggregator && self.counters.arrived > 0)
    }

    /// Whether nothing need be kept of the consumer here. What was counted is: counts of one incarnation only grow.
    pub(crate) fn is_forgettable(&self, now: Duration) -> bool {
        self.counters.arrived == 0 && self.total.is_none_or(|total| now > total.at + TOTAL_LASTS)
    }

    pub(crate) fn usage(&self) -> ConsumerUse {
        ConsumerUse {
            counters: self.counters,
            run_ahead: self.unconfirmed().max(0.0) as u64,
            level: self.total.map(|total| total.level),
            demand_per_s: self.total.map(|total| total.demand_per_s),
        }
    }

    /// The part of the arriving requests that is due, by the limit in force now.
    fn due_part(&self, by: Circumstances) -> f64 {
        if !by.is_answered {
            return (self.run_ahead.due_per_s() / self.own_rate.per_s(by.now).max(f64::MIN_POSITIVE)).min(1.0);
        }
        let lasts = |total: &KnownTotal| by.now <= total.at + TOTAL_LASTS;
        let Some(total) = self.total.filter(lasts) else { return 1.0 };
        let level = total.level.min(by.bounds.capacity(by.limit));
        (by.limit.due_per_s(level) / total.demand_per_s.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// How long until this router admits the next one.
    fn due_in(&self, by: Circumstances, part: f64) -> Duration {
        let per_s = part * self.own_rate.per_s(by.now);
        Duration::try_from_secs_f64((1.0 - self.carried) / per_s).unwrap_or(Duration::MAX)
    }
}

fn refuse(next_in: Duration, reason: RefusalReason) -> Admission {
    let (soonest, latest) = RETRY_AFTER;
    Admission::Refuse { retry_after: next_in.clamp(soonest, latest), reason }
}

/// Without a total the demand is taken to be spread evenly, with so much left in the bucket.
fn room_basis(by: Circumstances, total: Option<KnownTotal>, calm_level: f64, own_per_s: f64) -> RoomBasis {
    let even = 1.0 / by.members.max(1) as f64;
    let level = total.map_or(calm_level, |total| total.level.min(by.bounds.capacity(by.limit)));
    let share = total.map_or(even, |total| own_per_s / total.demand_per_s.max(own_per_s).max(f64::MIN_POSITIVE));
    let due_per_s = by.limit.rate_per_s.min(total.map_or(f64::MAX, |total| total.demand_per_s));
    let dealt = KNOWN_PART * share + (1.0 - KNOWN_PART) * even;
    RoomBasis { share, level, due_per_s, horizon: by.horizon, refill_per_s: dealt * by.limit.rate_per_s }
}
