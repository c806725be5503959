//! What the front takes and returns, and the record it keeps of each task.

use crate::attempt_count::AttemptCount;
use crate::wait_limits::WaitLimits;
use bindings::{Class, RouteTable};
use leases::Membership;
use quota::{Charge, ConsumerId, QuotaBounds};
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, Outcome, RequestHead};

#[derive(Clone, Debug)]
pub struct Call {
    pub host: String,
    pub path: String,
    /// How long the caller will wait, if it says so.
    pub deadline: Option<Duration>,
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub key: Option<String>,
    /// Empty for one that cannot be any consumer's.
    pub api_key: Option<String>,
    pub respond_async: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub outcome: Option<Outcome>,
    pub status: u16,
    pub retry_after: Duration,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    pub detail: &'static str,
}

impl Reply {
    pub fn from_router(status: u16, outcome: Option<Outcome>, detail: &'static str) -> Reply {
        Reply { outcome, status, retry_after: Duration::ZERO, head: Vec::new(), body: Vec::new(), detail }
    }
    pub fn with_retry_after(mut self, after: Duration) -> Reply {
        self.retry_after = after;
        self
    }
}

pub enum FrontInput {
    Task {
        request_id: u64,
        call: Call,
    },
    Message {
        from: NodeId,
        message: ForwardMessage,
    },
    Link {
        id: NodeId,
        up: bool,
    },
    RouteTable {
        routes: Rc<RouteTable>,
    },
    Membership {
        membership: Rc<Membership>,
    },
    /// This router was dropped from the membership.
    MembershipLost,
    CallerGone {
        request_id: u64,
    },
    Tick,
}

#[derive(Debug, PartialEq)]
pub enum FrontOutput {
    Reply { request_id: u64, reply: Reply },
    Forward { to: NodeId, message: ForwardMessage },
}

/// How instances are told whose request they run.
#[derive(Clone, Debug)]
pub struct ConsumerHeader {
    pub name: String,
    /// The name of a consumer as instances know it.
    pub format_name: fn(&str) -> String,
}

#[derive(Clone, Debug)]
pub struct FrontLimits {
    pub max_requests: usize,
    pub max_requests_per_tenant: usize,
    pub reply_margin: Duration,
    pub answer_grace: Duration,
    /// From an owner's last heartbeat until it or another is the owner again, as a rule.
    pub owner_recovery_time: Duration,
    pub consumer_header: Option<ConsumerHeader>,
    /// By how much the limits of consumers may be missed.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Waiting,
    Forwarded { owner: NodeId },
}

pub struct RequestRecord {
    pub request_id: u64,
    pub forward_id: u64,
    pub call: Call,
    pub key: String,
    pub binding: String,
    pub function: String,
    pub tenant: String,
    /// Whose request it is, as `tenant/name`; empty for no consumer's.
    pub consumer: String,
    /// The credit by which it was admitted.
    pub charge: Option<Charge>,
    /// The consumer of whose limit it waits for a credit.
    pub awaits_credit_of: Option<ConsumerId>,
    pub class: Option<Class>,
    pub started_at: Duration,
    pub deadline: Duration,
    /// Until when it may wait here.
    pub wait_limits: WaitLimits,
    pub stage: Stage,
    pub next_attempt_at: Duration,
    pub resends: u8,
    pub may_have_run: bool,
    pub attempts: AttemptCount,
}
