//! The limits of consumers at the front: a request is counted before it is first forwarded, and refused early if its
//! consumer is over its limit; one that did not run is given back. Reports and totals go between routers.

use crate::front::Front;
use crate::front_types::{FrontOutput, Reply};
use bindings::RouteTable;
use events::event;
use leases::{Membership, mix};
use quota::{Admission, ConsumerId, ConsumerLimit, QuotaAggregator, QuotaBounds, QuotaLimits, QuotaMeter};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome, QuotaReport, QuotaTotals};

/// What the routers that may aggregate are ranked for.
const DUTY: &str = "quota";
/// A consumer that is held at its limit is logged no more often.
const LOGGED_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Consumers shown in the status, those with the most requests here first.
const SHOWN: usize = 40;

pub(crate) struct FrontQuota {
    meter: QuotaMeter,
    aggregator: QuotaAggregator,
    limits: Rc<QuotaLimits>,
    names: BTreeMap<ConsumerId, String>,
    logged_at: BTreeMap<ConsumerId, Duration>,
    /// How often the meter had turned to another aggregator when that was last logged.
    aggregator_changes: u64,
}

impl FrontQuota {
    pub(crate) fn new(me: NodeId, incarnation: u64, bounds: QuotaBounds) -> FrontQuota {
        FrontQuota {
            meter: QuotaMeter::new(me, incarnation, bounds),
            aggregator: QuotaAggregator::new(bounds),
            limits: Rc::default(),
            names: BTreeMap::new(),
            logged_at: BTreeMap::new(),
            aggregator_changes: 0,
        }
    }

    pub(crate) fn set_routes(&mut self, routes: &RouteTable) {
        let limited = || routes.consumers().iter().filter(|(_, consumer)| consumer.is_limited());
        let limits: QuotaLimits = limited()
            .map(|(name, consumer)| {
                (consumer_id(name), ConsumerLimit { rate_per_s: consumer.rate_per_s, burst: consumer.burst })
            })
            .collect();
        if limits == *self.limits {
            return;
        }
        self.names = limited().map(|(name, _)| (consumer_id(name), name.to_owned())).collect();
        self.limits = Rc::new(limits);
        self.meter.set_limits(self.limits.clone());
        self.aggregator.set_limits(self.limits.clone());
    }

    pub(crate) fn set_membership(&mut self, now: Duration, membership: &Membership) {
        let members: BTreeSet<NodeId> = membership.members.iter().map(|member| member.id).collect();
        self.meter.set_members(membership.in_turn(DUTY), members.len());
        self.aggregator.set_members(now, &members);
    }

    pub(crate) fn handle_link_down(&mut self, now: Duration, id: NodeId) {
        self.meter.handle_link_down(now, id);
    }

    fn is_logged(&mut self, now: Duration, consumer: ConsumerId) -> bool {
        let is_due = self.logged_at.get(&consumer).is_none_or(|at| now >= *at + LOGGED_AGAIN_AFTER);
        if is_due {
            self.logged_at.insert(consumer, now);
        }
        is_due
    }

    /// For operators: this router's counts, and what it was told of all routers.
    pub(crate) fn status(&self, now: Duration) -> Value {
        let (statistics, aggregator) = (self.meter.statistics(now), self.aggregator.statistics());
        let used = self.names.iter().filter_map(|(id, name)| Some((id, name, self.meter.usage(*id)?)));
        let mut used: Vec<_> = used.filter(|(.., usage)| usage.counters.arrived > 0).collect();
        used.sort_by_key(|(.., usage)| std::cmp::Reverse(usage.counters.arrived));
        let consumers: serde_json::Map<String, Value> = used
            .into_iter()
            .take(SHOWN)
            .map(|(id, name, usage)| {
                let limit = self.limits.get(id).map_or(0.0, |limit| limit.rate_per_s);
                let counters = usage.counters;
                let shown = json!({
                    "limit_per_s": limit, "used": counters.used(), "refused": counters.arrived - counters.admitted,
                    "run_ahead": usage.run_ahead, "level": usage.level, "demand_per_s": usage.demand_per_s,
                });
                (name.clone(), shown)
            })
            .collect();
        json!({
            "refused_over_limit": statistics.refused_over_limit, "refused_run_ahead": statistics.refused_run_ahead,
            "run_ahead": statistics.run_ahead, "aggregator_changes": statistics.aggregator_changes,
            "totals_age_ms": statistics.totals_age.map(|age| age.as_millis() as u64),
            "merges": aggregator.merges, "rejected_reports": aggregator.rejected,
            "silent_members": aggregator.silent_members, "over_limit": aggregator.over_limit,
            "consumers": consumers,
        })
    }
}

impl Front {
    /// Counts a request of a consumer with a limit, once. One beyond the limit is answered.
    pub(crate) fn is_within_quota(&mut self, task: u64) -> bool {
        let Some(record) = self.table.get_mut(&task) else { return false };
        if record.counted.is_some() || record.consumer.is_empty() {
            return true;
        }
        let consumer = consumer_id(&record.consumer);
        let Admission::Refuse { retry_after, .. } = self.quota.meter.admit(self.now, consumer) else {
            record.counted = Some(consumer);
            return true;
        };
        if self.quota.is_logged(self.now, consumer) {
            event!(consumer_over_limit, "{}", record.consumer);
        }
        let reply = Reply::own(429, Some(Outcome::NotRun), "beyond the consumer's limit");
        let reply = reply.again(self.spread(task, retry_after));
        self.answer(task, reply);
        false
    }

    /// A request that ends so did not run: it counts no more.
    pub(crate) fn give_back(&mut self, task: u64) {
        if let Some(consumer) = self.table.get_mut(&task).and_then(|record| record.counted.take()) {
            self.quota.meter.refund(consumer);
        }
    }

    pub(crate) fn send_quota_reports(&mut self) {
        for (to, report) in self.quota.meter.report(self.now) {
            self.outs.push(FrontOutput::Forward { to, message: ForwardMessage::QuotaReport { report } });
        }
        let changes = self.quota.meter.aggregator_changes();
        if changes > std::mem::replace(&mut self.quota.aggregator_changes, changes) {
            event!(quota_aggregator_changed, "{changes} times so far");
        }
    }

    pub(crate) fn handle_quota_report(&mut self, from: NodeId, report: &QuotaReport) {
        if let Some(totals) = self.quota.aggregator.handle_report(self.now, from, report) {
            self.outs.push(FrontOutput::Forward { to: from, message: ForwardMessage::QuotaTotals { totals } });
        }
    }

    pub(crate) fn handle_quota_totals(&mut self, from: NodeId, totals: &QuotaTotals) {
        self.quota.meter.handle_totals(self.now, from, totals);
    }

    /// For operators: limits, what is used of them, and how well that is known.
    pub fn quota_status(&self, now: Duration) -> Value {
        self.quota.status(now)
    }
}

/// The same on every router.
fn consumer_id(name: &str) -> ConsumerId {
    ConsumerId(mix(&[b"consumer", name.as_bytes()]))
}
