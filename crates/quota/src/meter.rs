//! A router's side: counts what each consumer asked for, decides, reports to the aggregator and takes its answers.

use crate::aggregator_choice::AggregatorChoice;
use crate::consumer_meter::{Admission, Circumstances, ConsumerMeter, ConsumerUse, KnownTotal, RefusalReason};
use crate::limits::{ConsumerId, ConsumerLimit, QuotaBounds, QuotaLimits};
use crate::open_reports::OpenReports;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaCount, QuotaReport, QuotaTotals};

/// The least time between two reports, and the most.
const REPORT_INTERVAL: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(500));
/// Between reports by each router of a large fleet, so that its aggregator has no more than 1250 a second.
const INTERVAL_PER_MEMBER: Duration = Duration::from_micros(800);
/// What an answer may take besides.
const ROUND_TRIP: Duration = Duration::from_millis(100);
/// A router that has nothing to report says that it is there.
const KEEPALIVE: Duration = Duration::from_millis(600);
/// Totals older than this say nothing; the meter goes on by its share of the rate.
const ANSWER_LASTS: Duration = Duration::from_secs(1);

/// How often a router reports in a fleet of so many.
pub fn report_interval(members: usize) -> Duration {
    let (least, most) = REPORT_INTERVAL;
    (INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)).clamp(least, most)
}

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeterStatistics {
    /// Requests refused since their consumers were over their limits.
    pub refused_over_limit: u64,
    /// Requests refused since this router had run ahead as far as it may.
    pub refused_run_ahead: u64,
    /// Requests admitted that no aggregator has confirmed, over all consumers.
    pub run_ahead: u64,
    /// How long ago the newest totals came.
    pub totals_age: Option<Duration>,
    /// How often another aggregator was turned to.
    pub aggregator_changes: u64,
}

/// Counts, decides and reports for one router.
#[derive(Debug)]
pub struct QuotaMeter {
    me: NodeId,
    incarnation: u64,
    bounds: QuotaBounds,
    limits: Rc<QuotaLimits>,
    members: usize,
    consumers: BTreeMap<ConsumerId, ConsumerMeter>,
    choice: AggregatorChoice,
    open: OpenReports,
    report_at: Duration,
    reported_at: Duration,
    answered_at: Option<Duration>,
    statistics: MeterStatistics,
}

impl QuotaMeter {
    /// A meter of a router that starts now.
    pub fn new(me: NodeId, incarnation: u64, bounds: QuotaBounds) -> QuotaMeter {
        QuotaMeter {
            me,
            incarnation,
            bounds,
            limits: Rc::default(),
            members: 1,
            consumers: BTreeMap::new(),
            choice: AggregatorChoice::default(),
            open: OpenReports::default(),
            report_at: Duration::ZERO,
            reported_at: Duration::ZERO,
            answered_at: None,
            statistics: MeterStatistics::default(),
        }
    }

    /// The limits from now on.
    pub fn set_limits(&mut self, limits: Rc<QuotaLimits>) {
        self.limits = limits;
    }

    /// The routers that may aggregate, best first, and how many routers there are in all.
    pub fn set_members(&mut self, ranked: Vec<NodeId>, members: usize) {
        self.members = members;
        if self.choice.set_ranked(ranked) {
            self.turn_to_another();
        }
    }

    /// The link to a router is down; if it was the aggregator, the next in rank is used at once.
    pub fn handle_link_down(&mut self, now: Duration, id: NodeId) {
        if self.choice.lost(now, id) {
            self.turn_to_another();
        }
    }

    /// Whether a request of this consumer may go on; it is counted.
    pub fn admit(&mut self, now: Duration, consumer: ConsumerId) -> Admission {
        let Some(by) = self.circumstances(now, consumer) else { return Admission::Admit };
        let phase = phase(self.me, consumer);
        let meter = self.consumers.entry(consumer).or_insert_with(|| ConsumerMeter::new(by, phase));
        let admission = meter.admit(by);
        match admission {
            Admission::Refuse { reason: RefusalReason::OverLimit, .. } => self.statistics.refused_over_limit += 1,
            Admission::Refuse { reason: RefusalReason::RunAhead, .. } => self.statistics.refused_run_ahead += 1,
            Admission::Admit => {}
        }
        admission
    }

    /// A request that was admitted did not run, and counts no more.
    pub fn refund(&mut self, consumer: ConsumerId) {
        if let Some(meter) = self.consumers.get_mut(&consumer) {
            meter.refund();
        }
    }

    /// What is due to be sent now, if anything.
    pub fn report(&mut self, now: Duration) -> Vec<(NodeId, QuotaReport)> {
        if now < self.report_at || self.limits.is_empty() {
            return Vec::new();
        }
        let interval = report_interval(self.members);
        self.report_at = if self.report_at.is_zero() {
            now + interval.mul_f64(phase(self.me, ConsumerId(0)))
        } else {
            now + interval
        };
        if self.choice.maybe_pass_over(now) {
            self.turn_to_another();
        }
        self.consumers.retain(|_, meter| !meter.is_forgettable(now));
        let counts = self.changed_counts();
        let mut reports = Vec::new();
        if let Some(to) = self.choice.current()
            && (!counts.is_empty() || now >= self.reported_at + KEEPALIVE)
        {
            self.reported_at = now;
            self.choice.sent(now, interval);
            reports.push((to, self.open.open(to, self.incarnation, counts)));
        }
        if let Some(to) = self.choice.take_probe(now) {
            reports.push((to, QuotaReport { is_probe: 1, ..self.open.open(to, self.incarnation, Vec::new()) }));
        }
        reports
    }

    /// An aggregator answered a report.
    pub fn handle_totals(&mut self, now: Duration, from: NodeId, totals: &QuotaTotals) {
        if !self.open.is_open(totals.number, from) {
            return;
        }
        if self.choice.answered(from) {
            // A probe's answer: the next report begins anew with it.
            return self.turn_to_another();
        }
        if self.choice.current() != Some(from) {
            return;
        }
        self.answered_at = Some(now);
        for (consumer, counters) in self.open.close_up_to(totals.number, from) {
            if let Some(meter) = self.consumers.get_mut(&consumer) {
                meter.confirm(counters);
            }
        }
        let told: BTreeMap<ConsumerId, KnownTotal> =
            totals.totals.iter().map(|total| (ConsumerId(total.consumer), known(now, total))).collect();
        let here: Vec<ConsumerId> = self.consumers.keys().chain(told.keys()).copied().collect();
        for consumer in here {
            self.renew(now, consumer, told.get(&consumer).copied());
        }
    }

    /// What a consumer uses at this router, if it does.
    pub fn usage(&self, consumer: ConsumerId) -> Option<ConsumerUse> {
        self.consumers.get(&consumer).map(ConsumerMeter::usage)
    }

    /// How often another aggregator was turned to.
    pub fn aggregator_changes(&self) -> u64 {
        self.statistics.aggregator_changes
    }

    /// Numbers for operators.
    pub fn statistics(&self, now: Duration) -> MeterStatistics {
        MeterStatistics {
            run_ahead: self.consumers.values().map(|meter| meter.unconfirmed().max(0.0) as u64).sum(),
            totals_age: self.answered_at.map(|at| now.saturating_sub(at)),
            ..self.statistics
        }
    }

    fn limit(&self, consumer: ConsumerId) -> Option<ConsumerLimit> {
        self.limits.get(&consumer).copied().filter(ConsumerLimit::is_limited)
    }

    fn circumstances(&self, now: Duration, consumer: ConsumerId) -> Option<Circumstances> {
        let is_answered = self.answered_at.is_some_and(|at| now <= at + ANSWER_LASTS);
        let horizon = report_interval(self.members) + ROUND_TRIP;
        let (bounds, members) = (self.bounds, self.members);
        self.limit(consumer).map(|limit| Circumstances { now, limit, bounds, members, horizon, is_answered })
    }

    fn renew(&mut self, now: Duration, consumer: ConsumerId, total: Option<KnownTotal>) {
        let Some(by) = self.circumstances(now, consumer) else { return };
        let phase = phase(self.me, consumer);
        self.consumers.entry(consumer).or_insert_with(|| ConsumerMeter::new(by, phase)).renew(by, total);
    }

    /// Another aggregator is to be told everything.
    fn turn_to_another(&mut self) {
        self.statistics.aggregator_changes += 1;
        self.consumers.values_mut().for_each(|meter| meter.is_new_to_aggregator = true);
        self.open.clear();
    }

    fn changed_counts(&self) -> Vec<QuotaCount> {
        let changed = self.consumers.iter().filter(|(_, meter)| meter.has_unreported());
        let count = |(consumer, meter): (&ConsumerId, &ConsumerMeter)| QuotaCount {
            consumer: consumer.0,
            admitted: meter.counters.admitted,
            refunded: meter.counters.refunded,
            arrived: meter.counters.arrived,
            unconfirmed_used: meter.unconfirmed().max(0.0) as u32,
            unconfirmed_arrived: (meter.counters.arrived - meter.confirmed.arrived) as u32,
        };
        changed.map(count).collect()
    }
}

fn known(now: Duration, total: &wire::QuotaTotal) -> KnownTotal {
    let (level, demand_per_s) = (f64::from(total.level_centi) / 100.0, f64::from(total.demand_centi) / 100.0);
    KnownTotal { level, demand_per_s, at: now }
}

/// Evenly spread between 0 and 1, and the same each time for a router and a consumer.
fn phase(me: NodeId, consumer: ConsumerId) -> f64 {
    let mut hash = me ^ consumer.0.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    for shift in [30, 27, 31] {
        hash = (hash ^ (hash >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
