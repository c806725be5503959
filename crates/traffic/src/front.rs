//! Meeting callers: one record a task, worked by passes. A task waits while this router has no
//! proof of its revision or no link to the owner, is forwarded once it has, and is answered with the
//! truth: what the owner said, `not-run` only if it was never forwarded, `unknown` when in doubt.

use crate::attempt_count::AttemptCount;
use crate::front_consumers::identify;
use crate::front_passes::unknown;
use crate::front_quota::FrontQuota;
use crate::front_types::{Call, FrontInput, FrontLimits, FrontOutput, Record, Reply, Stage};
use crate::owner_liveness::OwnerWatch;
use bindings::{Class, RouteTable};
use leases::{Membership, first_request_number};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(4);
pub(crate) const RETRY: Duration = Duration::from_millis(25);
/// When to come back to a router that is full, or that waits for a proof or an owner.
pub(crate) const SOON: Duration = Duration::from_millis(300);

pub struct Front {
    pub(crate) me: NodeId,
    pub(crate) incarnation: u64,
    pub(crate) limits: FrontLimits,
    pub(crate) table: BTreeMap<u64, Record>,
    pub(crate) by_request_id: BTreeMap<u64, u64>,
    pub(crate) by_forward: BTreeMap<u64, u64>,
    pub(crate) per_tenant: BTreeMap<String, usize>,
    pub(crate) linked: BTreeSet<NodeId>,
    pub(crate) watched: BTreeMap<NodeId, OwnerWatch>,
    pub(crate) routes: Option<Rc<RouteTable>>,
    pub(crate) membership: Rc<Membership>,
    pub(crate) next: u64,
    pub(crate) now: Duration,
    pub(crate) may_serve: bool,
    pub(crate) quota: FrontQuota,
    pub(crate) outs: Vec<FrontOutput>,
    pub refusals: u64,
}

impl Front {
    pub fn new(me: NodeId, incarnation: u64, limits: FrontLimits) -> Self {
        let quota = FrontQuota::new(me, incarnation, limits.quota);
        Front {
            me,
            incarnation,
            limits,
            table: BTreeMap::new(),
            by_request_id: BTreeMap::new(),
            by_forward: BTreeMap::new(),
            per_tenant: BTreeMap::new(),
            linked: BTreeSet::new(),
            watched: BTreeMap::new(),
            routes: None,
            membership: Rc::default(),
            next: first_request_number(incarnation),
            now: Duration::ZERO,
            may_serve: false,
            quota,
            outs: Vec::new(),
            refusals: 0,
        }
    }

    pub fn depth(&self) -> usize {
        self.table.len()
    }

    pub fn step(&mut self, now: Duration, may_serve: bool, input: FrontInput) -> Vec<FrontOutput> {
        self.now = now;
        self.may_serve = may_serve;
        match input {
            FrontInput::Task { request_id, call } => self.admit(request_id, call),
            FrontInput::Forwarded { from, message: ForwardMessage::Heartbeat } => self.heard(from),
            FrontInput::Forwarded { from, message } => {
                self.heard(from);
                self.forwarded(from, message)
            }
            FrontInput::Link { id, up: true } => {
                self.linked.insert(id);
                self.attempt_waiting(id);
            }
            FrontInput::Link { id, up: false } => {
                self.linked.remove(&id);
                self.watched.remove(&id);
                self.quota_link_down(id);
                self.doubt_home(|owner| owner == id);
            }
            FrontInput::RouteTable { routes } => {
                self.quota.set_routes(now, &routes);
                self.routes = Some(routes);
                self.pass();
            }
            FrontInput::Membership { membership } => {
                self.quota.set_membership(now, &membership);
                self.send_granters_queries();
                self.membership = membership;
                let members: BTreeSet<NodeId> = self.membership.members.iter().map(|member| member.id).collect();
                self.doubt_home(|owner| !members.contains(&owner));
                self.watched.retain(|owner, _| members.contains(owner));
                self.pass();
            }
            FrontInput::Lapsed => self.quota.granter.handle_membership_loss(now),
            FrontInput::Gone { request_id } => {
                if let Some(task) = self.by_request_id.get(&request_id).copied()
                    && self.table.get(&task).is_some_and(|record| record.stage == Stage::Waiting && !record.doubt)
                {
                    self.give_back(task);
                    self.remove(task);
                }
            }
            FrontInput::Tick => {
                self.maintain_quota();
                self.pass();
            }
        }
        self.send_quota_requests();
        std::mem::take(&mut self.outs)
    }

    fn admit(&mut self, request_id: u64, call: Call) {
        if self.table.len() >= self.limits.table {
            let reply =
                Reply::own(503, Some(Outcome::NotRun), "this router is full").again(self.spread(request_id, SOON * 2));
            self.refusals += 1;
            return self.outs.push(FrontOutput::Reply { request_id, reply });
        }
        self.next += 1;
        let task = self.next;
        let key = match &call.key {
            Some(key) => format!("k-{key}"),
            None => format!("a-{:x}-{:x}-{task:x}", self.me, self.incarnation),
        };
        let patience = self.wait_limits(&call);
        let record = Record {
            request_id,
            forward: 0,
            call,
            key,
            binding: String::new(),
            function: String::new(),
            tenant: String::new(),
            consumer: String::new(),
            charge: None,
            waits_for: None,
            class: None,
            started_at: self.now,
            due: self.now + DEFAULT_DEADLINE,
            patience,
            stage: Stage::Waiting,
            again_at: self.now,
            resends: 0,
            doubt: false,
            attempts: AttemptCount::default(),
        };
        self.table.insert(task, record);
        self.by_request_id.insert(request_id, task);
        self.attempt(task);
    }

    /// Up to twice as long, so that those told so together come back one by one.
    pub(crate) fn spread(&self, seed: u64, least: Duration) -> Duration {
        least + least * (dice(seed) >> 54) as u32 / 1024
    }

    pub(crate) fn remove(&mut self, task: u64) {
        if let Some(record) = self.table.remove(&task) {
            self.by_request_id.remove(&record.request_id);
            self.by_forward.remove(&record.forward);
            if let Some(consumer) = record.waits_for {
                self.quota.stop_waiting(consumer, task);
            }
            if let Some(count) = self.per_tenant.get_mut(&record.tenant) {
                *count = count.saturating_sub(1);
            }
        }
    }

    pub(crate) fn answer(&mut self, task: u64, reply: Reply) {
        if let Some(record) = self.table.get(&task) {
            let request_id = record.request_id;
            if reply.outcome == Some(Outcome::NotRun) {
                self.refusals += 1;
            }
            if matches!(reply.outcome, Some(Outcome::NotRun) | None) {
                self.give_back(task);
            }
            self.outs.push(FrontOutput::Reply { request_id, reply });
            self.remove(task);
        }
    }

    /// Looks the route up anew each time: a waiting task follows the newest revision.
    pub(crate) fn resolve(&mut self, task: u64) -> bool {
        let (Some(routes), Some(record)) = (self.routes.clone(), self.table.get_mut(&task)) else { return false };
        let Some((name, binding)) = routes.find_route(&record.call.host, &record.call.path) else {
            let reply = if record.doubt { unknown() } else { Reply::own(404, None, "no such route") };
            self.answer(task, reply);
            return false;
        };
        let caller = identify(&routes, binding, &record.call);
        if record.is_other_operation(name, binding.class, &caller) {
            self.answer(task, unknown());
            return false;
        }
        if !self.authenticate(task, caller) {
            return false;
        }
        let Some(record) = self.table.get_mut(&task) else { return false };
        let tenant = name.split('/').next().unwrap_or_default();
        if record.binding != name {
            if record.tenant != tenant {
                let count = self.per_tenant.entry(tenant.to_owned()).or_default();
                if *count >= self.limits.per_tenant {
                    let again = self.spread(task, SOON * 2);
                    let reply = Reply::own(503, Some(Outcome::NotRun), "this tenant's tasks fill their share");
                    self.answer(task, reply.again(again));
                    return false;
                }
                *count += 1;
                if let Some(count) = self.per_tenant.get_mut(&record.tenant) {
                    *count = count.saturating_sub(1);
                }
            }
            record.tenant = tenant.to_owned();
            record.binding = name.to_owned();
            let most = Duration::from_millis(binding.deadline_ms.into());
            record.due = record.started_at + record.call.deadline.map_or(most, |deadline| deadline.min(most));
        }
        record.function = format!("{tenant}/{}", binding.pick_function(dice(task)));
        record.class = Some(binding.class);
        let counted = matches!(binding.class, Class::Ordinary | Class::Single);
        record.attempts.set_limit(counted.then_some(binding.attempts.max(1)));
        true
    }
}

/// Evenly spread, and the same each time for the same task.
fn dice(seed: u64) -> u64 {
    leases::stable_hash(&[&seed.to_le_bytes()])
}
