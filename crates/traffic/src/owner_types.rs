//! Inputs and outputs of a function owner, its record of each request, and its requests to the store.

use bindings::{Class, RouteTable};
use bytes::Bytes;
use dispatch::{DispatchOrder, DispatchOutcome};
use instance_provider::{ProviderOrder, ProviderReport};
use leases::Membership;
use memory::Reservation;
use std::rc::Rc;
use std::time::Duration;
use wire::{DemandSample, ForwardMessage, LeaseMessage, Measurement, NodeId, Outcome, PlanMessage};

/// Identifies a forwarded request: the front that sent it, and the number the front gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub from: NodeId,
    pub task: u64,
}

/// Event that a function owner handles.
pub enum OwnerInput {
    /// Message from another router's front or owner.
    Forward {
        from: NodeId,
        message: ForwardMessage,
    },
    /// Result of a dispatch.
    Dispatched {
        number: u64,
        outcome: DispatchOutcome,
    },
    /// Reply of the registries to a proposal or a read.
    StoreReply {
        message: LeaseMessage,
    },
    /// Reply of the instance provider; `listed_at` is when a list was requested.
    ProviderReport {
        report: ProviderReport,
        listed_at: Duration,
    },
    /// Result of a probe: whether the instance accepted a connection.
    Probed {
        id: String,
        ready: bool,
    },
    /// Scaling plan or tuned parameters.
    Plan {
        message: PlanMessage,
    },
    RouteTable {
        routes: Rc<RouteTable>,
    },
    Membership {
        membership: Rc<Membership>,
    },
    /// Whether the registries can be reached.
    RegistriesReachable {
        reachable: bool,
    },
    /// The registries have removed this router from the members, as its lease had run out; other owners have taken
    /// over.
    MembershipLost,
    /// A planned stop is near its deadline: all open requests are given up.
    GiveUp,
    /// Time has passed.
    Tick,
}

/// Action that a function owner wants carried out.
#[derive(Debug)]
pub enum OwnerOutput {
    /// Sends a message to another router.
    Forward { to: NodeId, message: ForwardMessage },
    /// Proposes a command to the registries.
    Propose { request_id: u64, body: Vec<u8> },
    /// Reads the stored keys with this prefix.
    Read { request_id: u64, prefix: String },
    /// Sends a request to an instance.
    Dispatch(DispatchOrder),
    /// Sends an order to the instance provider.
    ProviderOrder(ProviderOrder),
    /// Tries to connect to an instance, starting after `after` and for at most `limit`. `OwnerInput::Probed` reports
    /// whether the instance accepted the connection.
    Probe { id: String, address: String, after: Duration, limit: Duration },
    /// Drops what is kept for this instance: nothing more is sent to it.
    ForgetInstance { id: String },
    /// Requests a scaling plan.
    PlanRequest { message: PlanMessage },
    /// Reports demand samples.
    Samples { lines: Vec<DemandSample> },
    /// Reports measurements for the tuning of weight sheets.
    Measurements { lines: Vec<Measurement> },
}

/// Stage that a request has reached at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Its key is being claimed.
    Claiming,
    /// It is being stored before it is accepted.
    Storing,
    Queued,
    /// It was sent to an instance under the dispatch number `number`.
    Running {
        number: u64,
    },
    /// Another request with the same key runs the operation; this one waits for its answer.
    AwaitingLeader {
        until: Duration,
    },
    /// Its claim is being released.
    Releasing,
    /// Its attempt failed, and the owner has asked the front to grant another.
    AwaitingGrant {
        until: Duration,
    },
}

/// Answer to a request if no further attempt is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    pub outcome: Outcome,
    pub status: u16,
    pub retry_after: Duration,
    pub head: Vec<u8>,
    pub body: Bytes,
}

impl Failure {
    /// Returns a failure that passes on the instance's answer.
    pub fn answered(status: u16, head: Vec<u8>, body: Bytes) -> Failure {
        Failure { outcome: Outcome::Answered, status, retry_after: Duration::ZERO, head, body }
    }

    /// Returns a failure whose outcome is unknown: the request may have run.
    pub fn unknown(status: u16) -> Failure {
        Failure { outcome: Outcome::Unknown, ..Failure::answered(status, Vec::new(), Bytes::new()) }
    }

    /// Returns a failure of a request that certainly did not run.
    pub fn not_run(retry_after: Duration) -> Failure {
        Failure { outcome: Outcome::NotRun, retry_after, ..Failure::unknown(503) }
    }
}

/// Owner's record of a request.
pub struct OwnedRequest {
    pub id: TaskId,
    pub function: String,
    pub binding: String,
    pub class: Class,
    pub arrived: Duration,
    pub deadline: Duration,
    /// Response time that the binding aims at.
    pub aim: Option<Duration>,
    /// Earliest time of the next dispatch.
    pub not_before: Duration,
    pub state: RequestState,
    /// Binding and key, under which repeats of the operation are recognized.
    pub scope: String,
    /// Digest of the request, which tells a repeat from another request under the same key.
    pub digest: Vec<u8>,
    pub head: Vec<u8>,
    pub body: Bytes,
    /// Memory of a request that another router forwarded.
    pub _reservation: Option<Reservation>,
    /// Number under which its key was claimed; 0 without a claim.
    pub claim_request_id: u64,
    /// Name under which a deferred request is stored.
    pub stored_id: Option<String>,
    pub respond_async: bool,
    /// Whether a front still waits for the answer.
    pub is_caller_waiting: bool,
    pub dispatches: u32,
    /// Maximum number of attempts, each at another instance if there is one.
    pub attempts: u32,
    /// Number of attempts that the front has granted so far.
    pub granted: u32,
    /// Failure of the last attempt, while another attempt is requested.
    pub failure: Option<Failure>,
    /// Instance of the last attempt; other instances are preferred for the next one.
    pub last_instance: String,
    /// Whether the request has run or may have run.
    pub may_have_run: bool,
    /// Queue priority; the lowest number is sent first.
    pub rank: u32,
    /// Whether it arrived with less time than its binding allows: a call made by a running request, or a caller's
    /// retry.
    pub has_shortened_deadline: bool,
}

impl OwnedRequest {
    /// Returns whether the request was neither sent by this owner nor counted as a retry when it arrived.
    pub fn is_first_attempt(&self) -> bool {
        self.dispatches == 0 && !(self.class == Class::Ordinary && self.may_have_run)
    }
}

/// Kind of a request to the registries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOperation {
    Claim,
    RecordAnswer,
    Release,
    Store,
    Finish,
    ReadDeferred,
}

/// Request to the registries that has not been answered yet.
pub struct StoreRequest {
    pub kind: StoreOperation,
    pub task: u64,
    pub function: String,
    pub body: Vec<u8>,
    pub sent: Duration,
    pub due: Duration,
}
