//! One consumer as one router sees it: its credits, and which granter to ask for more.

use crate::credits::Credits;
use crate::granter_health::GranterHealth;
use crate::limits::GrantPolicy;
use crate::rate::RateEstimate;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Over so long a router counts its own requests to know how many will come.
const ARRIVAL_RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Credits are requested for prefetch_time for the requests of so long, or of half of a credit's lifetime.
const MAX_PREFETCH_TIME: Duration = Duration::from_millis(300);

/// What this router counted of a consumer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConsumerUsage {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Of those, the ones given back since they did not run.
    pub refunded: u64,
    /// Further attempts at admitted requests.
    pub extra_attempts: u64,
    /// Requests refused beyond the limit.
    pub refused: u64,
}

/// Whom to ask for credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditSource {
    /// This granter may have some.
    Granter(NodeId),
    /// Those that answer have none before this moment.
    EmptyUntil(Duration),
    /// No granter answers.
    Unreachable,
}

#[derive(Debug)]
pub(crate) struct ConsumerMeter {
    pub(crate) usage: ConsumerUsage,
    pub(crate) policy: GrantPolicy,
    pub(crate) credits: Credits,
    /// The requests for credits that are under way, with what each asks for.
    pub(crate) in_flight: BTreeMap<u64, u32>,
    arrival_rate: RateEstimate,
    granters: Vec<NodeId>,
    empty_until: BTreeMap<NodeId, Duration>,
    /// Where in `granters` the next request begins.
    next_granter: usize,
    /// Credits for further attempts at requests, and when they no longer count.
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

    /// What further attempts cost counts for a window.
    pub(crate) fn add_debt(&mut self, now: Duration, attempts: u32, window: Duration) {
        self.usage.extra_attempts += u64::from(attempts);
        self.debt = self.debt(now) + attempts;
        self.debt_expires_at = now + window;
        self.pay_debt(now);
    }

    pub(crate) fn debt(&self, now: Duration) -> u32 {
        if now < self.debt_expires_at { self.debt } else { 0 }
    }

    /// Takes a credit for a request, once what is debt is paid. Returns when it expires.
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

    /// The next granter in next_granter that answers and may have something.
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

    /// Credits to ask for where so many requests wait, besides those requested for already.
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

    /// A request is sent; the next one goes to another granter.
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
