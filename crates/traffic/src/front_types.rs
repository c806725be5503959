//! Inputs, outputs and limits of the front, and its record of each request.

use crate::attempt_count::AttemptCount;
use crate::wait_limits::WaitLimits;
use bindings::{Class, RouteTable};
use bytes::Bytes;
use leases::Membership;
use quota::{Charge, ConsumerId, QuotaBounds};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome, RequestHead};

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Host that the request is sent to, for the choice of the route.
    pub host: String,
    /// Path without the query, for the choice of the route.
    pub path: String,
    /// How long the caller waits, if it says so.
    pub deadline: Option<Duration>,
    /// Method, target and forwarded headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Option<String>,
    /// Empty if the header is repeated or not text, so that it matches no consumer.
    pub api_key: Option<String>,
    /// Whether the caller prefers an answer before the request has run.
    pub respond_async: bool,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What is known of the request's execution; `None` for an error reply that says nothing about it.
    pub outcome: Option<Outcome>,
    /// HTTP status code.
    pub status: u16,
    /// Time after which the caller may try again; zero for none.
    pub retry_after: Duration,
    /// Encoded response headers; empty for a reply that the router makes itself.
    pub head: Vec<u8>,
    /// Response body.
    pub body: Bytes,
    /// Error text for a reply without a body.
    pub detail: &'static str,
}

impl Reply {
    /// Returns a reply that the router makes itself, without an instance's answer.
    pub fn from_router(status: u16, outcome: Option<Outcome>, detail: &'static str) -> Reply {
        Reply { outcome, status, retry_after: Duration::ZERO, head: Vec::new(), body: Bytes::new(), detail }
    }

    /// Sets the time after which the caller may try again.
    pub fn with_retry_after(mut self, after: Duration) -> Reply {
        self.retry_after = after;
        self
    }
}

/// Input of the front's state machine.
pub enum FrontInput {
    /// A caller's request.
    Task { request_id: u64, call: Call },
    /// A message from another router, or from the owner in this one.
    Message { from: NodeId, message: ForwardMessage },
    /// A link to another router came up or went down.
    Link { id: NodeId, up: bool },
    /// A new route table is in force.
    RouteTable { routes: Rc<RouteTable> },
    /// A new membership is in force.
    Membership { membership: Rc<Membership> },
    /// This router was removed from the membership.
    MembershipLost,
    /// The caller closed its connection before it was answered.
    CallerGone { request_id: u64 },
    /// A planned stop is near its deadline: all open requests are answered.
    GiveUp,
    /// Time has passed.
    Tick,
}

/// Output of the front's state machine.
#[derive(Debug, PartialEq)]
pub enum FrontOutput {
    /// Answer a caller.
    Reply { request_id: u64, reply: Reply },
    /// Send a message to a router, which may be this one.
    Forward { to: NodeId, message: ForwardMessage },
}

/// Header that tells instances the consumer whose request they run.
#[derive(Clone, Debug)]
pub struct ConsumerHeader {
    /// Name of the header.
    pub name: String,
    /// Converts the name of a consumer to the form that instances get.
    pub format_name: fn(&str) -> String,
}

/// Limits and times of the front.
#[derive(Clone, Debug)]
pub struct FrontLimits {
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// Maximum number of open requests of one tenant.
    pub max_requests_per_tenant: usize,
    /// Time before its deadline at which a request that still waits is answered.
    pub reply_margin: Duration,
    /// Time after its deadline for which the answer to a forwarded request is awaited.
    pub answer_grace: Duration,
    /// Usual time from an owner's last heartbeat until it is back or another router is the owner.
    pub owner_recovery_time: Duration,
    /// `None` if instances are not told the consumer.
    pub consumer_header: Option<ConsumerHeader>,
    /// Bounds on the error with which consumers' limits are kept.
    pub quota: QuotaBounds,
}

impl Default for FrontLimits {
    fn default() -> Self {
        FrontLimits {
            max_requests: 8192,
            max_requests_per_tenant: 2048,
            reply_margin: Duration::from_millis(150),
            answer_grace: Duration::from_millis(400),
            owner_recovery_time: Duration::from_millis(2200),
            consumer_header: None,
            quota: QuotaBounds::default(),
        }
    }
}

/// Progress of a request at the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Waiting,
    Forwarded { owner: NodeId },
}

/// The front's record of an open request.
pub struct RequestRecord {
    pub request_id: u64,
    /// Number of the latest forward to an owner; 0 before the first.
    pub forward_id: u64,
    pub call: Call,
    /// The caller's idempotency key, prefixed `k-`, or else a unique key, prefixed `a-`.
    pub key: String,
    pub binding: String,
    pub function: String,
    pub tenant: String,
    /// Consumer as `tenant/name`; empty for an anonymous caller.
    pub consumer: String,
    /// Credit that admitted the request.
    pub charge: Option<Charge>,
    /// Consumer whose limit the request waits for a credit of.
    pub awaits_credit_of: Option<ConsumerId>,
    pub class: Option<Class>,
    pub started_at: Duration,
    pub deadline: Duration,
    /// Times until which the request may wait at the front.
    pub wait_limits: WaitLimits,
    pub stage: Stage,
    pub next_attempt_at: Duration,
    /// Number of times that an owner was lost with this request.
    pub resends: u8,
    /// Whether an owner was lost with this request, so that its outcome is in doubt.
    pub may_have_run: bool,
    pub attempts: AttemptCount,
}
