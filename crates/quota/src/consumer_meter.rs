//! State of one consumer at one router: its credits, and the granters to request more from.

use crate::credits::Credits;
use crate::granter_health::GranterHealth;
use crate::limits::GrantPolicy;
use crate::rate::RateEstimate;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Time constant of the arrival rate by which a router predicts the requests to come.
const ARRIVAL_RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Maximum span of expected requests for which credits are requested in advance. The span is also limited to half of the
/// credit lifetime.
const MAX_PREFETCH_TIME: Duration = Duration::from_millis(300);

/// Counts of the requests of one consumer at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsumerUsage {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Admitted requests whose credits were refunded because they did not run.
    pub refunded: u64,
    /// Extra attempts at admitted requests.
    pub extra_attempts: u64,
    /// Requests refused because the consumer was at its limit.
    pub refused: u64,
}

/// Where to request credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditSource {
    /// This granter may have credits.
    Granter(NodeId),
    /// No responsive granter has credits before this time.
    EmptyUntil(Duration),
    /// No granter is responsive.
    Unreachable,
}

/// Credits and request state of one consumer.
#[derive(Debug)]
pub(crate) struct ConsumerMeter {
    pub(crate) usage: ConsumerUsage,
    pub(crate) policy: GrantPolicy,
    pub(crate) credits: Credits,
    /// Unanswered credit requests by number, with the credits that each requests.
    pub(crate) in_flight: BTreeMap<u64, u32>,
    arrival_rate: RateEstimate,
    granters: Vec<NodeId>,
    /// Granters that announced that they have no credits before a certain time.
    empty_until: BTreeMap<NodeId, Duration>,
    /// Index in `granters` at which the search for the next granter starts, modulo their number.
    next_granter: usize,
    /// Credits owed for extra attempts; they no longer count from `debt_expires_at` on.
    debt: u32,
    debt_expires_at: Duration,
}

impl ConsumerMeter {
    pub(crate) fn new(now: Duration, policy: GrantPolicy, granters: Vec<NodeId>, next_granter: usize) -> ConsumerMeter {
        ConsumerMeter {
            usage: ConsumerUsage::default(),
            policy,
            credits: Credits::default(),
            in_flight: BTreeMap::new(),
            arrival_rate: RateEstimate::new(now, ARRIVAL_RATE_TIME_CONSTANT),
            granters,
            empty_until: BTreeMap::new(),
            next_granter,
            debt: 0,
            debt_expires_at: Duration::ZERO,
        }
    }

    pub(crate) fn set_granters(&mut self, policy: GrantPolicy, granters: Vec<NodeId>) {
        self.empty_until.retain(|node, _| granters.contains(node));
        (self.policy, self.granters) = (policy, granters);
    }

    pub(crate) fn record_arrival(&mut self, now: Duration) {
        self.usage.arrived += 1;
        self.arrival_rate.add(now, 1.0);
    }

    /// Adds the cost of extra attempts. It expires after one window.
    pub(crate) fn add_debt(&mut self, now: Duration, attempts: u32, window: Duration) {
        self.usage.extra_attempts += u64::from(attempts);
        self.debt = self.debt(now) + attempts;
        self.debt_expires_at = now + window;
        self.pay_debt(now);
    }

    pub(crate) fn debt(&self, now: Duration) -> u32 {
        if now < self.debt_expires_at { self.debt } else { 0 }
    }

    /// Takes a credit for a request after paying the debt. Returns the expiry time of the credit.
    pub(crate) fn take_credit(&mut self, now: Duration) -> Option<Duration> {
        self.pay_debt(now);
        if self.debt > 0 { None } else { self.credits.take(now) }
    }

    fn pay_debt(&mut self, now: Duration) {
        self.debt = self.debt(now);
        while self.debt > 0 && self.credits.take(now).is_some() {
            self.debt -= 1;
        }
    }

    /// Returns the next responsive granter in rotation that may have credits.
    pub(crate) fn credit_source(&self, now: Duration, health: &GranterHealth) -> CreditSource {
        let count = self.granters.len();
        let rotation = (0..count).map(|step| self.granters[(self.next_granter + step) % count]);
        let mut earliest: Option<Duration> = None;
        for node in rotation.filter(|node| !health.is_backing_off(now, *node)) {
            match self.empty_until.get(&node) {
                Some(until) if now < *until => {
                    earliest = Some(earliest.map_or(*until, |earliest| earliest.min(*until)))
                }
                _ => return CreditSource::Granter(node),
            }
        }
        earliest.map_or(CreditSource::Unreachable, CreditSource::EmptyUntil)
    }

    /// Returns the number of credits to request for the waiting and the expected requests, beyond those already
    /// requested.
    pub(crate) fn credits_to_request(&self, now: Duration, waiting: usize) -> u32 {
        let requested: u32 = self.in_flight.values().sum();
        let missing = waiting.saturating_sub(requested as usize);
        if missing == 0 {
            return 0;
        }
        let prefetch_time = MAX_PREFETCH_TIME.min(self.policy.credit_lifetime / 2);
        let expected = self.arrival_rate.per_s(now) * prefetch_time.as_secs_f64();
        let per_granter = (self.policy.capacity / self.policy.shards as f64).max(1.0);
        (missing as f64 + expected).min(per_granter) as u32
    }

    /// Records a credit request that is sent. The next one goes to another granter.
    pub(crate) fn record_request(&mut self, number: u64, requested: u32) {
        self.in_flight.insert(number, requested);
        self.next_granter = self.next_granter.wrapping_add(1);
    }

    pub(crate) fn record_grant(&mut self, node: NodeId, empty_until: Option<Duration>) {
        match empty_until {
            Some(until) => self.empty_until.insert(node, until),
            None => self.empty_until.remove(&node),
        };
    }
}
