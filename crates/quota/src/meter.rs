//! Meter of a router: admits requests while it has credits, and requests more from granters.

use crate::admission::{Admission, Charge};
use crate::consumer_meter::{ConsumerMeter, ConsumerUsage, CreditSource};
use crate::first_number;
use crate::granter_health::GranterHealth;
use crate::granters::Granters;
use crate::limits::{ConsumerId, ConsumerLimit, GrantPolicy, QuotaBounds, QuotaLimits};
use crate::open_requests::{OpenRequest, OpenRequests};
use crate::round_trips::RoundTrips;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrant, QuotaRequest};

/// Longest time that a request waits for a granter that will have credits again.
const MAX_WAIT_FOR_REFILL: Duration = Duration::from_millis(40);
/// Shortest and longest time after which a refused caller is told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Statistics of a meter, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MeterStatistics {
    /// Requests refused because their consumers were at their limits.
    pub refused_over_limit: u64,
    /// Credit requests sent.
    pub requests: u64,
    /// Credit requests not answered in time.
    pub timeouts: u64,
    /// Grants that arrived after their credits had expired.
    pub expired_grants: u64,
    /// Granters that are currently unresponsive.
    pub silent_granters: usize,
    /// Round-trip times of credit requests.
    pub round_trips: RoundTrips,
}

/// Admits the requests of limited consumers at one router.
#[derive(Debug)]
pub struct QuotaMeter {
    me: NodeId,
    bounds: QuotaBounds,
    limits: Rc<QuotaLimits>,
    granters: Granters,
    consumers: BTreeMap<ConsumerId, ConsumerMeter>,
    /// Consumers with waiting requests or unpaid extra attempts.
    consumers_needing_credits: BTreeSet<ConsumerId>,
    open_requests: OpenRequests,
    health: GranterHealth,
    last_number: u64,
    statistics: MeterStatistics,
}

impl QuotaMeter {
    /// Creates the meter of a router that is starting.
    pub fn new(me: NodeId, incarnation: u64, bounds: QuotaBounds) -> QuotaMeter {
        QuotaMeter {
            me,
            bounds,
            limits: Rc::default(),
            granters: Granters::default(),
            consumers: BTreeMap::new(),
            consumers_needing_credits: BTreeSet::new(),
            open_requests: OpenRequests::default(),
            health: GranterHealth::default(),
            last_number: first_number(incarnation),
            statistics: MeterStatistics::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Rc<QuotaLimits>) {
        self.limits = limits;
        self.consumers.retain(|consumer, _| self.limits.get(consumer).is_some_and(ConsumerLimit::is_limited));
        self.assign_granters();
    }

    /// Replaces the routers that grant credits.
    pub fn set_granters(&mut self, granters: Granters) {
        if granters != self.granters {
            self.health.retain(granters.nodes());
            self.granters = granters;
            self.assign_granters();
        }
    }

    /// Decides on a request. `is_first` is true for the first call for this request.
    pub fn admit(&mut self, now: Duration, consumer: ConsumerId, is_first: bool) -> Admission {
        let Some(limit) = self.limit(consumer) else { return Admission::Unlimited };
        let (bounds, granters, me) = (&self.bounds, &self.granters, self.me);
        let meter = self.consumers.entry(consumer).or_insert_with(|| {
            let policy = GrantPolicy::new(bounds, limit);
            let first_granter = (me ^ consumer.0) as usize;
            ConsumerMeter::new(now, policy, granters.for_consumer(consumer, policy.shards), first_granter)
        });
        if is_first {
            meter.record_arrival(now);
        }
        if let Some(expires_at) = meter.take_credit(now) {
            meter.usage.admitted += 1;
            return Admission::Admit(Charge { consumer, expires_at });
        }
        if meter.in_flight.is_empty()
            && let CreditSource::EmptyUntil(until) = meter.credit_source(now, &self.health)
            && until > now + MAX_WAIT_FOR_REFILL
        {
            meter.usage.refused += 1;
            self.statistics.refused_over_limit += 1;
            let (shortest, longest) = RETRY_AFTER_RANGE;
            return Admission::Refuse { retry_after: until.saturating_sub(now).clamp(shortest, longest) };
        }
        self.consumers_needing_credits.insert(consumer);
        Admission::Wait
    }

    /// Refunds the credit of an admitted request that did not run. The credit can admit another request until it
    /// expires.
    pub fn refund(&mut self, now: Duration, charge: Charge) {
        if let Some(meter) = self.consumers.get_mut(&charge.consumer) {
            meter.usage.refunded += 1;
            meter.credits.add(now, charge.expires_at, 1);
        }
    }

    /// Charges extra attempts of an admitted request at other instances. Each counts as a request and is paid by the
    /// next credits.
    pub fn charge_extra_attempts(&mut self, now: Duration, consumer: ConsumerId, attempts: u32) {
        let window = self.bounds.window;
        if let Some(meter) = self.consumers.get_mut(&consumer) {
            meter.add_debt(now, attempts, window);
            self.consumers_needing_credits.insert(consumer);
        }
    }

    /// Returns the credit requests to send now. `waiting` returns the number of waiting requests of a consumer.
    pub fn take_requests(
        &mut self,
        now: Duration,
        waiting: impl Fn(ConsumerId) -> usize,
    ) -> Vec<(NodeId, QuotaRequest)> {
        let mut requests = Vec::new();
        for consumer in std::mem::take(&mut self.consumers_needing_credits) {
            let waiting = waiting(consumer);
            let Some(meter) = self.consumers.get_mut(&consumer) else { continue };
            let waiting = waiting + meter.debt(now) as usize;
            let CreditSource::Granter(granter) = meter.credit_source(now, &self.health) else { continue };
            let credits = meter.credits_to_request(now, waiting);
            if credits == 0 {
                continue;
            }
            self.last_number += 1;
            let expires_at = now + meter.policy.credit_lifetime;
            self.open_requests.insert(self.last_number, OpenRequest::new(consumer, granter, now, expires_at));
            meter.record_request(self.last_number, credits);
            self.statistics.requests += 1;
            requests.push((granter, QuotaRequest { number: self.last_number, consumer: consumer.0, wanted: credits }));
        }
        requests
    }

    /// Handles a grant. Returns the consumer whose waiting requests should be decided again.
    pub fn handle_grant(&mut self, now: Duration, from: NodeId, grant: &QuotaGrant) -> Option<ConsumerId> {
        let request = self.open_requests.take(grant.number, from)?;
        self.health.record_answer(from);
        self.statistics.round_trips.record(now.saturating_sub(request.sent_at));
        if grant.granted > 0 && now >= request.expires_at {
            self.statistics.expired_grants += 1;
        }
        let meter = self.consumers.get_mut(&request.consumer)?;
        meter.in_flight.remove(&grant.number);
        meter.credits.add(now, request.expires_at, grant.granted);
        let retry_after = Duration::from_millis(grant.retry_after_ms.into());
        meter.record_grant(from, (!retry_after.is_zero()).then_some(now + retry_after));
        Some(request.consumer)
    }

    /// Handles a lost link to a router. Returns the consumers that were waiting for its grants.
    pub fn handle_link_down(&mut self, now: Duration, node: NodeId) -> Vec<ConsumerId> {
        if self.granters.contains(node) {
            self.health.record_failure(now, node);
        }
        let given_up = self.open_requests.give_up_granter(node);
        self.remove_in_flight(given_up)
    }

    /// Gives up on late grants, so that other granters are asked. Returns the consumers that were waiting for them.
    pub fn handle_tick(&mut self, now: Duration) -> Vec<ConsumerId> {
        let given_up = self.open_requests.give_up_late(now, self.statistics.round_trips.timeout());
        for granter in self.open_requests.take_unresponsive_granters(now) {
            self.statistics.timeouts += 1;
            self.health.record_failure(now, granter);
        }
        self.remove_in_flight(given_up)
    }

    /// Returns this router's counts of a consumer.
    pub fn usage(&self, consumer: ConsumerId) -> Option<ConsumerUsage> {
        self.consumers.get(&consumer).map(|meter| meter.usage)
    }

    /// Returns whether a consumer has credits at this router.
    pub fn has_credits(&self, now: Duration, consumer: ConsumerId) -> bool {
        self.consumers.get(&consumer).is_some_and(|meter| !meter.credits.is_empty(now))
    }

    /// Returns the statistics for operators.
    pub fn statistics(&self, now: Duration) -> MeterStatistics {
        MeterStatistics { silent_granters: self.health.backing_off_count(now), ..self.statistics.clone() }
    }

    fn limit(&self, consumer: ConsumerId) -> Option<ConsumerLimit> {
        self.limits.get(&consumer).copied().filter(ConsumerLimit::is_limited)
    }

    /// Stops counting these requests as in flight, so that others are sent in their place. Returns their consumers.
    fn remove_in_flight(&mut self, given_up: Vec<(u64, ConsumerId)>) -> Vec<ConsumerId> {
        let mut consumers = Vec::new();
        for (number, consumer) in given_up {
            if let Some(meter) = self.consumers.get_mut(&consumer) {
                meter.in_flight.remove(&number);
                consumers.push(consumer);
            }
        }
        consumers
    }

    fn assign_granters(&mut self) {
        for (consumer, meter) in &mut self.consumers {
            let Some(limit) = self.limits.get(consumer) else { continue };
            let policy = GrantPolicy::new(&self.bounds, *limit);
            meter.set_granters(policy, self.granters.for_consumer(*consumer, policy.shards));
        }
    }
}
