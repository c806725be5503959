//! Consumers' rate limits at the front. A request needs a credit before it is first forwarded: it gets one, waits for
//! one, or is refused early. The credit of a request that did not run admits another one. Routers send each other
//! requests for credits and grants.

use crate::front::Front;
use crate::front_passes::unknown_outcome;
use crate::front_types::{FrontOutput, Reply};
use bindings::RouteTable;
use events::event;
use leases::{Membership, stable_hash};
use quota::{
    Admission, ConsumerId, ConsumerLimit, GranterMembership, Granters, QuotaBounds, QuotaGranter, QuotaLimits,
    QuotaMeter,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest};

/// Minimum time between two log lines for the same consumer at its limit.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

pub(crate) struct FrontQuota {
    pub(crate) meter: QuotaMeter,
    pub(crate) granter: QuotaGranter,
    pub(crate) limits: Rc<QuotaLimits>,
    pub(crate) names: BTreeMap<ConsumerId, String>,
    /// Requests that wait for a credit, by consumer.
    waiting: BTreeMap<ConsumerId, BTreeSet<u64>>,
    logged_at: BTreeMap<ConsumerId, Duration>,
    /// Whether the granters agreed when their agreement was last logged.
    was_settled: bool,
}

impl FrontQuota {
    pub(crate) fn new(me: NodeId, incarnation: u64, bounds: QuotaBounds) -> FrontQuota {
        FrontQuota {
            meter: QuotaMeter::new(me, incarnation, bounds),
            granter: QuotaGranter::new(me, incarnation, bounds),
            limits: Rc::default(),
            names: BTreeMap::new(),
            waiting: BTreeMap::new(),
            logged_at: BTreeMap::new(),
            was_settled: true,
        }
    }

    pub(crate) fn set_routes(&mut self, now: Duration, routes: &RouteTable) {
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
        self.granter.set_limits(now, self.limits.clone());
    }

    pub(crate) fn set_membership(&mut self, now: Duration, membership: &Membership) {
        let granters = Granters::new(membership.owners());
        let leaving = membership.members.iter().filter(|member| member.leaving != 0);
        let leaving = leaving.map(|member| member.id).collect();
        let members = membership.members.iter().map(|member| member.id).collect();
        self.meter.set_granters(granters.clone());
        self.granter.set_membership(now, GranterMembership { granters, members, leaving });
    }

    /// Removes a request from those that wait for a credit.
    pub(crate) fn stop_waiting(&mut self, consumer: ConsumerId, task: u64) {
        if let Some(tasks) = self.waiting.get_mut(&consumer) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.waiting.remove(&consumer);
            }
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Returns whether a consumer at its limit is due for a log line; if so, counts it as logged.
    fn should_log(&mut self, now: Duration, consumer: ConsumerId) -> bool {
        let is_due = self.logged_at.get(&consumer).is_none_or(|at| now >= *at + LOG_INTERVAL);
        if is_due {
            self.logged_at.insert(consumer, now);
        }
        is_due
    }

    fn log_agreement(&mut self) {
        let is_settled = self.granter.statistics().is_settled;
        if self.was_settled != is_settled {
            self.was_settled = is_settled;
            event!(quota_granters_changed, "{}", if is_settled { "agreed" } else { "not agreed yet" });
        }
    }
}

impl Front {
    /// Returns whether its consumer's limit lets a request be forwarded. A request over the limit is answered; a
    /// request for which no credit is available waits for one.
    pub(crate) fn is_within_quota(&mut self, task: u64) -> bool {
        let Some(record) = self.requests.get_mut(&task) else { return false };
        let consumer = (!record.consumer.is_empty()).then(|| consumer_id(&record.consumer));
        if let Some(other) = record.awaits_credit_of.take_if(|awaited| Some(*awaited) != consumer) {
            self.quota.stop_waiting(other, task);
        }
        let Some(consumer) = consumer else { return true };
        match record.charge.map(|charge| charge.consumer == consumer) {
            Some(true) => return true,
            // The request may have run for the other consumer, so that consumer's credit stays spent.
            Some(false) if record.may_have_run => record.charge = None,
            Some(false) => self.refund_credit(task),
            None => {}
        }
        let Some(record) = self.requests.get_mut(&task) else { return false };
        let is_first = record.awaits_credit_of.replace(consumer).is_none();
        let admission = self.quota.meter.admit(self.now, consumer, is_first);
        if admission == Admission::Wait {
            self.quota.waiting.entry(consumer).or_default().insert(task);
            return false;
        }
        record.awaits_credit_of = None;
        self.quota.stop_waiting(consumer, task);
        match admission {
            Admission::Unlimited => true,
            Admission::Admit(charge) => {
                let Some(record) = self.requests.get_mut(&task) else { return false };
                record.charge = Some(charge);
                true
            }
            Admission::Refuse { retry_after } => {
                self.refuse_over_limit(task, consumer, retry_after);
                false
            }
            Admission::Wait => false,
        }
    }

    fn refuse_over_limit(&mut self, task: u64, consumer: ConsumerId, retry_after: Duration) {
        if self.quota.should_log(self.now, consumer) {
            event!(consumer_over_limit, "{}", self.quota.names.get(&consumer).map_or("", String::as_str));
        }
        let may_have_run = self.requests.get(&task).is_some_and(|record| record.may_have_run);
        let reply = match may_have_run {
            true => unknown_outcome(),
            false => {
                let reply = Reply::from_router(429, Some(Outcome::NotRun), "beyond the consumer's limit");
                reply.with_retry_after(self.add_jitter(task, retry_after))
            }
        };
        self.answer(task, reply);
    }

    /// Refunds the credit of a request that did not run, so that it can admit another.
    pub(crate) fn refund_credit(&mut self, task: u64) {
        if let Some(charge) = self.requests.get_mut(&task).and_then(|record| record.charge.take()) {
            self.quota.meter.refund(self.now, charge);
        }
    }

    /// Charges further attempts of an admitted request like requests: later credits pay for them.
    pub(crate) fn charge_attempts(&mut self, task: u64) {
        let Some(record) = self.requests.get_mut(&task) else { return };
        let attempts = record.attempts.take_uncharged();
        if let Some(charge) = record.charge.filter(|_| attempts > 0) {
            self.quota.meter.charge_extra_attempts(self.now, charge.consumer, attempts);
        }
    }

    /// Attempts the requests of a consumer that wait for a credit.
    fn attempt_waiting_for_credit(&mut self, consumer: ConsumerId) {
        let tasks = self.quota.waiting.get(&consumer).cloned().unwrap_or_default();
        for task in tasks {
            self.attempt(task);
        }
    }

    pub(crate) fn maintain_quota(&mut self) {
        for consumer in self.quota.meter.handle_tick(self.now) {
            self.attempt_waiting_for_credit(consumer);
        }
        self.send_granters_queries();
        self.quota.log_agreement();
    }

    /// Queries other granters for the membership that they use, if this granter needs to know it.
    pub(crate) fn send_granters_queries(&mut self) {
        for (to, query) in self.quota.granter.take_queries(self.now) {
            self.outputs.push(FrontOutput::Forward { to, message: ForwardMessage::QuotaGrantersQuery { query } });
        }
    }

    pub(crate) fn quota_link_down(&mut self, id: NodeId) {
        for consumer in self.quota.meter.handle_link_down(self.now, id) {
            self.attempt_waiting_for_credit(consumer);
        }
    }

    /// Requests the credits that requests wait for.
    pub(crate) fn send_quota_requests(&mut self) {
        let FrontQuota { meter, waiting, .. } = &mut self.quota;
        let requests = meter.take_requests(self.now, |consumer| waiting.get(&consumer).map_or(0, BTreeSet::len));
        for (to, request) in requests {
            self.outputs.push(FrontOutput::Forward { to, message: ForwardMessage::QuotaRequest { request } });
        }
    }

    pub(crate) fn handle_quota_request(&mut self, from: NodeId, request: &QuotaRequest) {
        let grant = self.quota.granter.handle_request(self.now, self.may_serve, request);
        self.outputs.push(FrontOutput::Forward { to: from, message: ForwardMessage::QuotaGrant { grant } });
    }

    pub(crate) fn handle_quota_grant(&mut self, from: NodeId, grant: &QuotaGrant) {
        if let Some(consumer) = self.quota.meter.handle_grant(self.now, from, grant) {
            self.attempt_waiting_for_credit(consumer);
        }
    }

    pub(crate) fn handle_granters_query(&mut self, from: NodeId, query: &QuotaGrantersQuery) {
        let reply = self.quota.granter.handle_query(self.now, query);
        self.outputs.push(FrontOutput::Forward { to: from, message: ForwardMessage::QuotaGrantersReply { reply } });
    }

    pub(crate) fn handle_granters_reply(&mut self, from: NodeId, reply: &QuotaGrantersReply) {
        self.quota.granter.handle_reply(self.now, from, reply);
        self.quota.log_agreement();
    }
}

/// Returns the id of a consumer, which is the same on every router.
fn consumer_id(name: &str) -> ConsumerId {
    ConsumerId(stable_hash(&[b"consumer", name.as_bytes()]))
}
