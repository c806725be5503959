//! Granter: grants credits to routers from its own share of the limits.

use crate::agreement::{GranterMembership, MembershipAgreement};
use crate::bucket::GrantBucket;
use crate::first_number;
use crate::limits::{ConsumerId, ConsumerLimit, GrantPolicy, QuotaBounds, QuotaLimits};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest};

/// Time after which to retry a router that currently grants nothing.
const NOT_GRANTING_RETRY: Duration = Duration::from_millis(100);

/// Statistics of a granter, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GranterStatistics {
    /// Credit requests that were answered.
    pub requests: u64,
    /// Credits granted.
    pub granted: u64,
    /// Credits that were requested and not granted.
    pub refused: u64,
    /// Credit requests refused because this router was not a granter of the consumer, or had no lease.
    pub not_granting: u64,
    /// Number of consumers of whose limits this router has a share.
    pub consumers: usize,
    /// Whether all granters are known to divide limits by the same membership.
    pub is_settled: bool,
}

/// Grants credits from one router's shares of all limits. A router has shares only under a membership that names it
/// as a granter.
#[derive(Debug)]
pub struct QuotaGranter {
    me: NodeId,
    bounds: QuotaBounds,
    limits: Rc<QuotaLimits>,
    agreement: MembershipAgreement,
    buckets: BTreeMap<ConsumerId, GrantBucket>,
    statistics: GranterStatistics,
}

impl QuotaGranter {
    /// Creates a granter without a membership.
    pub fn new(me: NodeId, incarnation: u64, bounds: QuotaBounds) -> QuotaGranter {
        QuotaGranter {
            me,
            bounds,
            limits: Rc::default(),
            agreement: MembershipAgreement::new(me, first_number(incarnation)),
            buckets: BTreeMap::new(),
            statistics: GranterStatistics::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, now: Duration, limits: Rc<QuotaLimits>) {
        self.limits = limits;
        self.update_buckets(now, now);
    }

    /// Replaces the membership.
    pub fn set_membership(&mut self, now: Duration, membership: GranterMembership) {
        if self.agreement.set_membership(now, membership) {
            self.update_buckets(now, self.agreement.refill_start());
        }
    }

    /// Handles that this router was dropped from the membership and has to join again.
    pub fn handle_membership_loss(&mut self, now: Duration) {
        self.agreement.handle_membership_loss(now);
        self.update_buckets(now, now);
    }

    /// Answers a credit request. Nothing is granted without a serving lease.
    pub fn handle_request(&mut self, now: Duration, has_lease: bool, request: &QuotaRequest) -> QuotaGrant {
        self.statistics.requests += 1;
        let bucket = self.buckets.get_mut(&ConsumerId(request.consumer)).filter(|_| has_lease);
        let Some(bucket) = bucket else {
            self.statistics.not_granting += 1;
            return grant_message(request, 0, NOT_GRANTING_RETRY);
        };
        let granted = bucket.grant(now, request.wanted);
        self.statistics.granted += u64::from(granted);
        self.statistics.refused += u64::from(request.wanted - granted);
        let retry_after = if granted < request.wanted { bucket.retry_after() } else { Duration::ZERO };
        grant_message(request, granted, retry_after)
    }

    /// Returns the queries to send to other granters now.
    pub fn take_queries(&mut self, now: Duration) -> Vec<(NodeId, QuotaGrantersQuery)> {
        self.agreement.take_queries(now)
    }

    /// Answers a query of another granter.
    pub fn handle_query(&self, now: Duration, query: &QuotaGrantersQuery) -> QuotaGrantersReply {
        self.agreement.handle_query(now, query)
    }

    /// Handles the reply of another granter to a query.
    pub fn handle_reply(&mut self, now: Duration, from: NodeId, reply: &QuotaGrantersReply) {
        if self.agreement.handle_reply(now, from, reply) {
            self.update_buckets(now, self.agreement.refill_start());
        }
    }

    /// Returns this router's share of a consumer's rate, in requests per second.
    pub fn refill_rate_per_s(&self, consumer: ConsumerId) -> f64 {
        self.buckets.get(&consumer).map_or(0.0, GrantBucket::rate_per_s)
    }

    /// Returns the statistics for operators.
    pub fn statistics(&self) -> GranterStatistics {
        let (consumers, is_settled) = (self.buckets.len(), self.agreement.is_settled());
        GranterStatistics { consumers, is_settled, ..self.statistics }
    }

    /// Gives each bucket its current share. New buckets are refilled from `refill_start` on.
    fn update_buckets(&mut self, now: Duration, refill_start: Duration) {
        let (me, agreement) = (self.me, &self.agreement);
        let mut previous = std::mem::take(&mut self.buckets);
        for (consumer, limit) in self.limits.iter().filter(|(_, limit)| ConsumerLimit::is_limited(limit)) {
            let policy = GrantPolicy::new(&self.bounds, *limit);
            let share = agreement.min_share(|granters| granters.share(me, *consumer, policy.shards));
            if share > 0.0 {
                let bucket = previous.remove(consumer).map(|bucket| bucket.with_share(now, &policy, share));
                let bucket = bucket.unwrap_or_else(|| GrantBucket::new(refill_start, &policy, share));
                self.buckets.insert(*consumer, bucket);
            }
        }
    }
}

fn grant_message(request: &QuotaRequest, granted: u32, retry_after: Duration) -> QuotaGrant {
    QuotaGrant { number: request.number, granted, retry_after_ms: retry_after.as_millis() as u32 }
}
