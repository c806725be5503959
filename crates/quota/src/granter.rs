//! Grants credits to routers, each granter from its own part of the limits.

use crate::agreement::{GranterMembership, MembershipAgreement};
use crate::bucket::GrantBucket;
use crate::first_number;
use crate::limits::{ConsumerId, ConsumerLimit, GrantPolicy, QuotaBounds, QuotaLimits};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest};

/// When to ask one that grants nothing at present.
const NOT_GRANTING_RETRY: Duration = Duration::from_millis(100);

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GranterStatistics {
    /// Requests for credits that were answered.
    pub requests: u64,
    /// Credits granted.
    pub granted: u64,
    /// Credits asked for and not granted.
    pub refused: u64,
    /// Requests answered with nothing since this router did not grant.
    pub not_granting: u64,
    /// Consumers of whose limits this router deals out a part.
    pub consumers: usize,
    /// Whether all granters are known to update_buckets by the same membership.
    pub is_settled: bool,
}

/// One router's part of all limits. It has a part only by a membership that names it as a granter.
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
    /// One that knows no membership yet.
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

    /// The limits from now on.
    pub fn set_limits(&mut self, now: Duration, limits: Rc<QuotaLimits>) {
        self.limits = limits;
        self.update_buckets(now, now);
    }

    /// The membership from now on.
    pub fn set_membership(&mut self, now: Duration, membership: GranterMembership) {
        if self.agreement.set_membership(now, membership) {
            self.update_buckets(now, self.agreement.refill_start());
        }
    }

    /// This router was dropped from the membership and joins anew.
    pub fn handle_membership_loss(&mut self, now: Duration) {
        self.agreement.handle_membership_loss(now);
        self.update_buckets(now, now);
    }

    /// Answers a request for credits. Without a serving lease nothing is granted.
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

    /// What is to be asked of other granters now, if anything.
    pub fn take_queries(&mut self, now: Duration) -> Vec<(NodeId, QuotaGrantersQuery)> {
        self.agreement.take_queries(now)
    }

    /// Answers another granter.
    pub fn handle_query(&self, now: Duration, query: &QuotaGrantersQuery) -> QuotaGrantersReply {
        self.agreement.handle_query(now, query)
    }

    /// Another granter answered.
    pub fn handle_reply(&mut self, now: Duration, from: NodeId, reply: &QuotaGrantersReply) {
        if self.agreement.handle_reply(now, from, reply) {
            self.update_buckets(now, self.agreement.refill_start());
        }
    }

    /// Requests a second of a consumer that this router deals out.
    pub fn refill_rate_per_s(&self, consumer: ConsumerId) -> f64 {
        self.buckets.get(&consumer).map_or(0.0, GrantBucket::rate_per_s)
    }

    /// Numbers for operators.
    pub fn statistics(&self) -> GranterStatistics {
        let (consumers, is_settled) = (self.buckets.len(), self.agreement.is_settled());
        GranterStatistics { consumers, is_settled, ..self.statistics }
    }

    /// Gives each bucket its share from now on. One that is new began at `refill_start`.
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
