//! Merges what routers counted, keeps a bucket for each consumer, and answers each report.

use crate::bucket::ConsumerBucket;
use crate::counts::{Counters, MergedCounts};
use crate::limits::{ConsumerId, ConsumerLimit, QuotaBounds, QuotaLimits};
use crate::rate::RateEstimate;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaCount, QuotaReport, QuotaTotal, QuotaTotals};

/// An aggregator that nobody reported to for so long forgets everything and begins anew.
const UNUSED_AFTER: Duration = Duration::from_secs(3);
/// A member not heard of for so long may go on admitting by its share of the rate, which is kept for it.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// How often the members are looked over for silent ones.
const SURVEY_INTERVAL: Duration = Duration::from_millis(100);
/// Over so long the rates of single routers are counted, by which shares are kept for silent ones.
const ORIGIN_RATE: Duration = Duration::from_secs(2);
/// Consumers of which more than this part of the demand is due are not mentioned unless they are asked about.
const MENTIONED_BELOW: f64 = 1.1;
/// Consumers mentioned in an answer besides those asked about, those furthest over their limits first.
const MENTIONED: usize = 64;

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AggregatorStatistics {
    /// Reports merged.
    pub merges: u64,
    /// Reports or counts refused: of an earlier incarnation, or inconsistent.
    pub rejected: u64,
    /// Members not heard of lately.
    pub silent_members: usize,
    /// Consumers that are over their limits.
    pub over_limit: usize,
}

#[derive(Debug)]
struct Origin {
    heard_at: Duration,
    rates: BTreeMap<ConsumerId, RateEstimate>,
}

/// Adds up for all routers; runs in each, and does nothing in those that nobody reports to.
#[derive(Debug)]
pub struct QuotaAggregator {
    bounds: QuotaBounds,
    limits: Rc<QuotaLimits>,
    /// Since when each member is known here.
    members: BTreeMap<NodeId, Duration>,
    began_at: Duration,
    used_at: Option<Duration>,
    surveyed_at: Duration,
    counts: MergedCounts,
    /// The incarnation that was known of a router before its present one.
    replaced: BTreeMap<NodeId, u64>,
    origins: BTreeMap<NodeId, Origin>,
    buckets: BTreeMap<ConsumerId, ConsumerBucket>,
    statistics: AggregatorStatistics,
}

impl QuotaAggregator {
    /// One that knows nothing yet.
    pub fn new(bounds: QuotaBounds) -> QuotaAggregator {
        QuotaAggregator {
            bounds,
            limits: Rc::default(),
            members: BTreeMap::new(),
            began_at: Duration::ZERO,
            used_at: None,
            surveyed_at: Duration::ZERO,
            counts: MergedCounts::default(),
            replaced: BTreeMap::new(),
            origins: BTreeMap::new(),
            buckets: BTreeMap::new(),
            statistics: AggregatorStatistics::default(),
        }
    }

    /// The limits from now on.
    pub fn set_limits(&mut self, limits: Rc<QuotaLimits>) {
        self.buckets.retain(|consumer, _| limits.get(consumer).is_some_and(ConsumerLimit::is_limited));
        self.limits = limits;
    }

    /// The routers from now on; what others counted is dropped.
    pub fn set_members(&mut self, now: Duration, members: &BTreeSet<NodeId>) {
        self.members.retain(|id, _| members.contains(id));
        for id in members {
            self.members.entry(*id).or_insert(now);
        }
        // One that reports before it is known here as a member stays.
        let is_gone = |origin: &Origin| now > origin.heard_at + SILENT_AFTER;
        self.origins.retain(|id, origin| members.contains(id) || !is_gone(origin));
        let origins = &self.origins;
        self.counts.retain(|id| origins.contains_key(&id));
        self.replaced.retain(|id, _| origins.contains_key(id));
    }

    /// Takes a report in and answers it; none to one of an earlier incarnation.
    pub fn handle_report(&mut self, now: Duration, from: NodeId, report: &QuotaReport) -> Option<QuotaTotals> {
        if self.replaced.get(&from) == Some(&report.incarnation) {
            self.statistics.rejected += 1;
            return None;
        }
        if report.is_probe != 0 {
            return Some(QuotaTotals { number: report.number, totals: Vec::new().into() });
        }
        self.maybe_begin_anew(now);
        self.used_at = Some(now);
        self.statistics.merges += 1;
        self.maybe_replace(from, report.incarnation);
        let origin = self.origins.entry(from).or_insert_with(|| Origin { heard_at: now, rates: BTreeMap::new() });
        let absent = now.saturating_sub(std::mem::replace(&mut origin.heard_at, now));
        // Of what it admitted meanwhile, a part was kept for it as for one that is silent.
        let not_kept = (SILENT_AFTER.as_secs_f64() / absent.as_secs_f64()).min(1.0);
        for count in report.counts.iter() {
            self.take_count(now, from, report.incarnation, count, not_kept);
        }
        self.maybe_survey(now);
        let asked: BTreeSet<ConsumerId> = report.counts.iter().map(|count| ConsumerId(count.consumer)).collect();
        Some(QuotaTotals { number: report.number, totals: self.totals(now, &asked).into() })
    }

    /// Numbers for operators.
    pub fn statistics(&self) -> AggregatorStatistics {
        self.statistics
    }

    /// Incarnations are drawn at random: any other than the known one is the newer, except the one it replaced.
    fn maybe_replace(&mut self, from: NodeId, incarnation: u64) {
        let Some(known) = self.counts.incarnation(from).filter(|known| *known != incarnation) else { return };
        self.replaced.insert(from, known);
        self.counts.retain(|id| id != from);
    }

    fn maybe_begin_anew(&mut self, now: Duration) {
        if self.used_at.is_some_and(|at| now <= at + UNUSED_AFTER) {
            return;
        }
        self.began_at = now;
        self.surveyed_at = Duration::ZERO;
        self.counts = MergedCounts::default();
        self.origins.clear();
        self.buckets.clear();
    }

    fn take_count(&mut self, now: Duration, from: NodeId, incarnation: u64, count: &QuotaCount, not_kept: f64) {
        let consumer = ConsumerId(count.consumer);
        let Some(limit) = self.limits.get(&consumer).copied().filter(ConsumerLimit::is_limited) else { return };
        let counters = Counters::from(count);
        if !counters.is_consistent() {
            self.statistics.rejected += 1;
            return;
        }
        let (began_at, bounds) = (self.began_at, self.bounds);
        let bucket = self.buckets.entry(consumer).or_insert_with(|| ConsumerBucket::new(now, began_at, limit, &bounds));
        bucket.refill(now, limit, &bounds);
        let (used, arrived) = match self.counts.record(from, incarnation, consumer, counters) {
            Some(before) => {
                let after = before.merged(&counters);
                (after.used() as f64 - before.used() as f64, after.arrived.saturating_sub(before.arrived) as f64)
            }
            // What it counted earlier was known to another aggregator, or was kept for it.
            None => (f64::from(count.unconfirmed_used), f64::from(count.unconfirmed_arrived)),
        };
        bucket.take(now, used * not_kept, arrived * not_kept);
        let Some(Origin { rates, .. }) = self.origins.get_mut(&from) else { return };
        rates.entry(consumer).or_insert_with(|| RateEstimate::new(now, ORIGIN_RATE)).add(now, arrived);
    }

    /// Keeps for each member that is not heard its last share of the demand, or an even one where none is known.
    fn maybe_survey(&mut self, now: Duration) {
        if !self.surveyed_at.is_zero() && now < self.surveyed_at + SURVEY_INTERVAL {
            return;
        }
        self.surveyed_at = now;
        let heard_at = |id: &NodeId, since: &Duration| self.origins.get(id).map_or(*since, |origin| origin.heard_at);
        let silent: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(id, since)| now > heard_at(id, since) + SILENT_AFTER)
            .map(|(id, _)| *id)
            .collect();
        self.statistics.silent_members = silent.len();
        self.statistics.over_limit = self.buckets.values().filter(|bucket| bucket.due_part(now) < 1.0).count();
        let limits = self.limits.clone();
        let parts: Vec<f64> = self.buckets.keys().map(|consumer| self.silent_part(&silent, *consumer)).collect();
        for ((consumer, bucket), part) in self.buckets.iter_mut().zip(parts) {
            if let Some(limit) = limits.get(consumer) {
                bucket.refill(now, *limit, &self.bounds);
            }
            bucket.silent_part = part;
        }
    }

    fn silent_part(&self, silent: &[NodeId], consumer: ConsumerId) -> f64 {
        if silent.is_empty() {
            return 0.0;
        }
        let even = 1.0 / self.members.len().max(1) as f64;
        let last_rate = |origin: &Origin| origin.rates.get(&consumer).map_or(0.0, |rate| rate.per_s(origin.heard_at));
        let all: f64 = self.origins.values().map(last_rate).sum();
        let part = |id: &NodeId| match self.origins.get(id) {
            Some(origin) if all > 0.0 => last_rate(origin) / all,
            _ => even,
        };
        silent.iter().map(part).sum::<f64>().min(1.0)
    }

    fn totals(&mut self, now: Duration, asked: &BTreeSet<ConsumerId>) -> Vec<QuotaTotal> {
        let mut others: Vec<(f64, ConsumerId)> = Vec::new();
        for (consumer, bucket) in &self.buckets {
            let part = bucket.due_part(now);
            if part < MENTIONED_BELOW && !asked.contains(consumer) {
                others.push((part, *consumer));
            }
        }
        others.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mentioned = others.into_iter().take(MENTIONED).map(|(_, consumer)| consumer);
        let told: Vec<ConsumerId> = asked.iter().copied().chain(mentioned).collect();
        told.into_iter().filter_map(|consumer| self.total(now, consumer)).collect()
    }

    fn total(&mut self, now: Duration, consumer: ConsumerId) -> Option<QuotaTotal> {
        let limit = self.limits.get(&consumer).copied()?;
        let bucket = self.buckets.get_mut(&consumer)?;
        bucket.refill(now, limit, &self.bounds);
        let level_centi = (bucket.level() * 100.0) as i32;
        let demand_centi = (bucket.demand_per_s(now) * 100.0) as u32;
        Some(QuotaTotal { consumer: consumer.0, level_centi, demand_centi })
    }
}
