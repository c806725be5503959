//! The front of a router: accepts callers' requests and keeps one record per request. A request waits while this router
//! has no valid serving lease or no link to the owner of its function, and is then forwarded. Its caller gets the
//! owner's answer, `not-run` only if the request certainly did not run, and `unknown` if it may have run.

use crate::attempt_count::AttemptCount;
use crate::front_consumers::identify_caller;
use crate::front_passes::unknown_outcome;
use crate::front_quota::FrontQuota;
use crate::front_types::{Call, FrontInput, FrontLimits, FrontOutput, Reply, RequestRecord, Stage};
use crate::owner_liveness::OwnerWatch;
use bindings::{Class, RouteTable};
use leases::{Membership, first_request_number};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome};

/// Time limit of a request whose route is not known yet.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(4);
/// Time after an attempt, or after the return of a request, until a waiting request is attempted again.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Base of `Retry-After` from a router that is full, or that waits for a lease or an owner.
pub(crate) const BASE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// State machine that accepts callers' requests and forwards them to the owners of their functions.
pub struct Front {
    pub(crate) me: NodeId,
    pub(crate) incarnation: u64,
    pub(crate) limits: FrontLimits,
    /// Open requests, by task number.
    pub(crate) requests: BTreeMap<u64, RequestRecord>,
    pub(crate) task_by_request_id: BTreeMap<u64, u64>,
    pub(crate) task_by_forward_id: BTreeMap<u64, u64>,
    pub(crate) requests_per_tenant: BTreeMap<String, usize>,
    pub(crate) linked_nodes: BTreeSet<NodeId>,
    pub(crate) owner_watches: BTreeMap<NodeId, OwnerWatch>,
    pub(crate) routes: Option<Rc<RouteTable>>,
    pub(crate) membership: Rc<Membership>,
    /// Last number given to a task or to a forward.
    pub(crate) last_id: u64,
    pub(crate) now: Duration,
    pub(crate) may_serve: bool,
    /// Whether this router has given up its requests near the end of a planned stop.
    pub(crate) has_given_up: bool,
    pub(crate) quota: FrontQuota,
    pub(crate) outputs: Vec<FrontOutput>,
    /// Number of requests refused as not run.
    pub refusals: u64,
}

impl Front {
    /// Returns a front without routes, members and links.
    pub fn new(me: NodeId, incarnation: u64, limits: FrontLimits) -> Self {
        let quota = FrontQuota::new(me, incarnation, limits.quota);
        Front {
            me,
            incarnation,
            limits,
            requests: BTreeMap::new(),
            task_by_request_id: BTreeMap::new(),
            task_by_forward_id: BTreeMap::new(),
            requests_per_tenant: BTreeMap::new(),
            linked_nodes: BTreeSet::new(),
            owner_watches: BTreeMap::new(),
            routes: None,
            membership: Rc::default(),
            last_id: first_request_number(incarnation),
            now: Duration::ZERO,
            may_serve: false,
            has_given_up: false,
            quota,
            outputs: Vec::new(),
            refusals: 0,
        }
    }

    /// Returns the number of open requests.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Handles an input and returns the replies and frames to send.
    pub fn step(&mut self, now: Duration, may_serve: bool, input: FrontInput) -> Vec<FrontOutput> {
        self.now = now;
        self.may_serve = may_serve;
        match input {
            FrontInput::Task { request_id, call } => self.admit(request_id, call),
            FrontInput::Message { from, message: ForwardMessage::Heartbeat } => self.heard(from),
            FrontInput::Message { from, message } => {
                self.heard(from);
                self.handle_message(from, message)
            }
            FrontInput::Link { id, up: true } => {
                self.linked_nodes.insert(id);
                self.attempt_waiting(id);
            }
            FrontInput::Link { id, up: false } => {
                self.linked_nodes.remove(&id);
                self.owner_watches.remove(&id);
                self.quota_link_down(id);
                self.handle_owner_loss(|owner| owner == id);
            }
            FrontInput::RouteTable { routes } => {
                self.quota.set_routes(now, &routes);
                self.routes = Some(routes);
                self.process_requests();
            }
            FrontInput::Membership { membership } => {
                self.quota.set_membership(now, &membership);
                self.send_granters_queries();
                self.membership = membership;
                let members: BTreeSet<NodeId> = self.membership.members.iter().map(|member| member.id).collect();
                self.handle_owner_loss(|owner| !members.contains(&owner));
                self.owner_watches.retain(|owner, _| members.contains(owner));
                self.process_requests();
            }
            FrontInput::MembershipLost => self.quota.granter.handle_membership_loss(now),
            FrontInput::CallerGone { request_id } => self.drop_unsent_request(request_id),
            FrontInput::GiveUp => self.give_up(),
            FrontInput::Tick => {
                self.maintain_quota();
                self.process_requests();
            }
        }
        self.send_quota_requests();
        std::mem::take(&mut self.outputs)
    }

    fn admit(&mut self, request_id: u64, call: Call) {
        if self.has_given_up {
            return self.refuse_while_stopping(request_id);
        }
        if self.requests.len() >= self.limits.max_requests {
            let reply = Reply::from_router(503, Some(Outcome::NotRun), "this router is full")
                .with_retry_after(self.add_jitter(request_id, BASE_RETRY_AFTER * 2));
            self.refusals += 1;
            return self.outputs.push(FrontOutput::Reply { request_id, reply });
        }
        self.last_id += 1;
        let task = self.last_id;
        let key = match &call.key {
            Some(key) => format!("k-{key}"),
            None => format!("a-{:x}-{:x}-{task:x}", self.me, self.incarnation),
        };
        let wait_limits = self.wait_limits(&call);
        let record = RequestRecord {
            request_id,
            forward_id: 0,
            call,
            key,
            binding: String::new(),
            function: String::new(),
            tenant: String::new(),
            consumer: String::new(),
            charge: None,
            awaits_credit_of: None,
            class: None,
            started_at: self.now,
            deadline: self.now + DEFAULT_DEADLINE,
            wait_limits,
            stage: Stage::Waiting,
            next_attempt_at: self.now,
            resends: 0,
            may_have_run: false,
            attempts: AttemptCount::default(),
        };
        self.requests.insert(task, record);
        self.task_by_request_id.insert(request_id, task);
        self.attempt(task);
    }

    /// Returns a time from `min` to twice `min`, so that callers refused together do not all retry at once.
    pub(crate) fn add_jitter(&self, seed: u64, min: Duration) -> Duration {
        min + min * (pseudo_random(seed) >> 54) as u32 / 1024
    }

    pub(crate) fn remove(&mut self, task: u64) {
        if let Some(record) = self.requests.remove(&task) {
            self.task_by_request_id.remove(&record.request_id);
            self.task_by_forward_id.remove(&record.forward_id);
            if let Some(consumer) = record.awaits_credit_of {
                self.quota.stop_waiting(consumer, task);
            }
            if let Some(count) = self.requests_per_tenant.get_mut(&record.tenant) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Looks up the route before every attempt, so that a waiting request follows the newest revision. Returns whether
    /// the request is still open.
    pub(crate) fn resolve_route(&mut self, task: u64) -> bool {
        let (Some(routes), Some(record)) = (self.routes.clone(), self.requests.get_mut(&task)) else { return false };
        let Some((name, binding)) = routes.find_route(&record.call.host, &record.call.path) else {
            let reply =
                if record.may_have_run { unknown_outcome() } else { Reply::from_router(404, None, "no such route") };
            self.answer(task, reply);
            return false;
        };
        let caller = identify_caller(&routes, binding, &record.call);
        if record.is_other_operation(name, binding.class, &caller) {
            self.answer(task, unknown_outcome());
            return false;
        }
        if !self.authenticate(task, caller) {
            return false;
        }
        let Some(record) = self.requests.get_mut(&task) else { return false };
        let tenant = name.split('/').next().unwrap_or_default();
        if record.binding != name {
            if record.tenant != tenant {
                let count = self.requests_per_tenant.entry(tenant.to_owned()).or_default();
                if *count >= self.limits.max_requests_per_tenant {
                    let retry_after = self.add_jitter(task, BASE_RETRY_AFTER * 2);
                    let reply = Reply::from_router(503, Some(Outcome::NotRun), "this tenant's tasks fill their share");
                    self.answer(task, reply.with_retry_after(retry_after));
                    return false;
                }
                *count += 1;
                if let Some(count) = self.requests_per_tenant.get_mut(&record.tenant) {
                    *count = count.saturating_sub(1);
                }
            }
            record.tenant = tenant.to_owned();
            record.binding = name.to_owned();
            let max_deadline = Duration::from_millis(binding.deadline_ms.into());
            record.deadline =
                record.started_at + record.call.deadline.map_or(max_deadline, |deadline| deadline.min(max_deadline));
        }
        record.function = format!("{tenant}/{}", binding.pick_function(pseudo_random(task)));
        record.class = Some(binding.class);
        let is_counted = matches!(binding.class, Class::Ordinary | Class::Single);
        record.attempts.set_limit(is_counted.then_some(binding.attempts.max(1)));
        true
    }
}

/// Returns a uniformly distributed number that is always the same for the same seed.
fn pseudo_random(seed: u64) -> u64 {
    leases::stable_hash(&[&seed.to_le_bytes()])
}
