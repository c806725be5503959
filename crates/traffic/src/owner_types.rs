//! What an owner takes and returns, the record it keeps of each task, and what it asked of the chain.

use crate::allowances::Allowances;
use bindings::{Class, RouteTable};
use dispatch::{DispatchOrder, DispatchOutcome};
use instance_provider::{ProviderOrder, ProviderReport};
use leases::Membership;
use std::rc::Rc;
use std::time::Duration;
use wire::{DemandSample, ForwardMessage, LeaseMessage, Measurement, NodeId, Outcome, PlanMessage};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub from: NodeId,
    pub task: u64,
}

pub enum OwnerInput {
    Forward { from: NodeId, message: ForwardMessage },
    Dispatched { number: u64, outcome: DispatchOutcome },
    StoreOperation { message: LeaseMessage },
    Platform { report: ProviderReport, listed_at: Duration },
    Probed { id: String, ready: bool },
    Plan { message: PlanMessage },
    RouteTable { routes: Rc<RouteTable> },
    Membership { membership: Rc<Membership> },
    Core { near: bool },
    Lapsed,
    Tick,
}

#[derive(Debug)]
pub enum OwnerOutput {
    Forward {
        to: NodeId,
        message: ForwardMessage,
    },
    Propose {
        request_id: u64,
        body: Vec<u8>,
    },
    Read {
        request_id: u64,
        prefix: String,
    },
    Dispatch(DispatchOrder),
    Supply(ProviderOrder),
    /// Connect, from `after` on and for no longer than `limit`; `Probed` tells whether the instance took it.
    Probe {
        id: String,
        address: String,
        after: Duration,
        limit: Duration,
    },
    /// Nothing more goes to this instance.
    Forget {
        id: String,
    },
    PlanRequest {
        message: PlanMessage,
    },
    Samples {
        lines: Vec<DemandSample>,
    },
    Measures {
        lines: Vec<Measurement>,
    },
}

#[derive(Clone, Debug)]
pub struct OwnerTiming {
    pub margin: Duration,
    pub resend: Duration,
    /// How long an operation under a key is kept, at least.
    pub key_window: Duration,
    /// The longest answer under a key that the registries record, in bytes of head and body.
    pub recorded_answer_bytes: usize,
    /// Whether the registries understand claims that say how long their key is kept.
    pub claims_for_ticks: bool,
    pub adopt: Duration,
    pub sample: Duration,
    /// How often the provider's list is read for all owners.
    pub list_every: Duration,
    pub overlay: Duration,
    pub start_expiry: Duration,
    pub deferred_read: Duration,
    pub deferred_limit: Duration,
    pub function_inbox: usize,
    pub starts_per_second: f64,
    /// What one start costs, in gigabytes of memory kept for a second.
    pub start_gb_seconds: f64,
    /// Zones whose loss is to be borne at once.
    pub zone_losses: u32,
    pub player: scaler::PlanRequestTiming,
    pub allowances: Allowances,
}

impl Default for OwnerTiming {
    fn default() -> Self {
        OwnerTiming {
            margin: Duration::from_millis(60),
            resend: Duration::from_millis(700),
            key_window: Duration::from_secs(1800),
            recorded_answer_bytes: usize::MAX,
            claims_for_ticks: true,
            adopt: Duration::from_millis(1500),
            sample: Duration::from_secs(15),
            list_every: Duration::from_secs(1),
            overlay: Duration::from_secs(30),
            start_expiry: Duration::from_secs(10),
            deferred_read: Duration::from_secs(10),
            deferred_limit: Duration::from_secs(20),
            function_inbox: 512,
            starts_per_second: 64.0,
            start_gb_seconds: 0.2,
            zone_losses: 1,
            player: scaler::PlanRequestTiming::default(),
            allowances: Allowances::default(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    Claiming,
    Storing,
    Queued,
    Running {
        number: u64,
    },
    /// Another request runs its operation, whose answer it waits for.
    Following {
        until: Duration,
    },
    Releasing,
    /// Its attempt failed, and its front is asked for another.
    AwaitingGrant {
        until: Duration,
    },
}

/// What a request is answered with if no further attempt is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    pub outcome: Outcome,
    pub status: u16,
    pub retry_after: Duration,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

impl Failure {
    pub fn answered(status: u16, head: Vec<u8>, body: Vec<u8>) -> Failure {
        Failure { outcome: Outcome::Answered, status, retry_after: Duration::ZERO, head, body }
    }

    pub fn unknown(status: u16) -> Failure {
        Failure { outcome: Outcome::Unknown, ..Failure::answered(status, Vec::new(), Vec::new()) }
    }

    pub fn not_run(retry_after: Duration) -> Failure {
        Failure { outcome: Outcome::NotRun, retry_after, ..Failure::unknown(503) }
    }
}

pub struct OwnedRequest {
    pub id: TaskId,
    pub function: String,
    pub binding: String,
    pub class: Class,
    pub arrived: Duration,
    pub due: Duration,
    pub aim: Option<Duration>,
    pub not_before: Duration,
    pub place: Place,
    pub scope: String,
    pub digest: Vec<u8>,
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    pub claim: u64,
    pub stored: Option<String>,
    pub respond_async: bool,
    pub caller: bool,
    pub dispatches: u32,
    /// The most instances it may be sent to.
    pub attempts: u32,
    /// To how many of them its front lets it be sent so far.
    pub granted: u32,
    /// Of the last attempt, while another is asked for.
    pub failure: Option<Failure>,
    /// The instance it was last sent to, which others go before.
    pub avoid: String,
    /// It has run, or may have.
    pub reached: bool,
    /// Lower goes first.
    pub rank: u32,
    /// It came with less time than its binding gives: a call of a running task, or a caller's further try.
    pub inherits: bool,
}

impl OwnedRequest {
    /// Neither sent from here nor counted among retries when it came.
    pub fn is_first(&self) -> bool {
        self.dispatches == 0 && !(self.class == Class::Ordinary && self.reached)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    Claim,
    RecordAnswer,
    Release,
    Store,
    Finish,
    Deferred,
}

pub struct StoreRequest {
    pub kind: StoreOperation,
    pub task: u64,
    pub function: String,
    pub body: Vec<u8>,
    pub sent: Duration,
    pub due: Duration,
}
