//! A registry as one state machine over its chain replica: it takes ticks, frames, finished writes and
//! operators' calls, and returns frames, writes and replies. The service feeds it from real sockets and
//! disks, the simulator from simulated ones driven by a seed.

use crate::activation::{ActivationWait, PendingActivation};
use crate::api_calls::{ApiCall, ApiReply};
use crate::duty_timers::DutyTimers;
use crate::keys;
use crate::open_calls::OpenCalls;
use crate::pending_proposals::PendingProposals;
use crate::push_state::PushState;
use crate::router_requests::RouterRequests;
use crate::tail_role::TailRole;
use chain::{Batch, ChainReplica, Input, Output, State, StoredReplica};
use leases::{DEFAULT_PEER_HOLD, Sessions};
use std::time::Duration;
use wire::{ChainMessage, LeaseMessage, NodeId, View};

/// Timeouts and intervals of a core.
#[derive(Clone, Debug)]
pub struct CoreTiming {
    /// Time after which a router's lease from the core counts as lapsed.
    pub lease_lapse: Duration,
    /// Time after the request for a lease proof by which the proof has expired on every clock.
    pub proof_expiry: Duration,
    /// Time after the core's last proof by which no router can hold a lease proved by its peers.
    pub peer_proof_expiry: Duration,
    /// Time after which an operator's call is answered with an unknown outcome.
    pub call_timeout: Duration,
    /// Interval of the chain's logical clock, which expires records.
    pub tick_interval: Duration,
    /// Time for which the members must stay the same before the quorum is renewed.
    pub quorum_stability: Duration,
}

impl Default for CoreTiming {
    fn default() -> Self {
        CoreTiming::for_hold(Duration::from_millis(1500))
    }
}

impl CoreTiming {
    /// Returns the timing for leases that last for `hold`. The core lets a router's lease lapse a sixth of `hold`
    /// after the router itself did. A proof counts as expired a fifteenth of `hold` after its end, which tolerates
    /// clocks whose rates differ by that much.
    pub fn for_hold(hold: Duration) -> Self {
        CoreTiming {
            lease_lapse: hold + hold / 6,
            proof_expiry: hold + hold / 15,
            peer_proof_expiry: DEFAULT_PEER_HOLD + DEFAULT_PEER_HOLD / 15,
            call_timeout: Duration::from_secs(10),
            tick_interval: Duration::from_secs(1),
            quorum_stability: Duration::from_secs(2),
        }
    }

    /// Adapts the timing to routers that accept their peers' proofs for `peer_hold` after the core's last proof.
    pub fn with_peer_hold(self, peer_hold: Duration) -> Self {
        CoreTiming { peer_proof_expiry: peer_hold + peer_hold / 15, ..self }
    }
}

/// An event that drives a core.
#[derive(Debug)]
pub enum CoreInput {
    /// Time has passed.
    Tick,
    /// A frame from another registry.
    Chain { from: NodeId, message: ChainMessage },
    /// The write with this ticket is synced.
    Written { ticket: u64 },
    /// A write failed.
    DiskError,
    /// The disk works again and holds `stored`.
    DiskRecovered { stored: Box<StoredReplica> },
    /// A lease message from a router or from another registry.
    Router { from: NodeId, incarnation: u64, message: LeaseMessage },
    /// A call of an operator.
    Call { request_id: u64, call: ApiCall },
    /// A planned stop of this registry.
    Leave { within: Duration },
}

/// An action that a core requests, or an event that it reports.
#[derive(Debug)]
pub enum CoreOutput {
    /// Send a frame to a registry.
    Registry { to: NodeId, message: ChainMessage },
    /// Send a frame to every seed address.
    Seeds { message: ChainMessage },
    /// Write and sync a batch.
    Write { ticket: u64, batch: Batch },
    /// Send a lease message to a router or to another registry.
    Router { to: NodeId, message: LeaseMessage },
    /// Answer an operator's call.
    Reply { request_id: u64, reply: ApiReply },
    /// This replica adopted a view.
    ViewAdopted { view: View },
    /// A seed reported a view while this registry is empty.
    ViewLearned { view: View },
    /// A configuration epoch came into force.
    Activated { step: u64 },
    /// A staged configuration epoch has waited for long.
    ActivationDelayed { step: u64, wait: ActivationWait, waited: Duration },
    /// This replica caught up, by this number of log entries or, if none is given, by a snapshot.
    CaughtUp { missed_entries: Option<usize> },
    /// A configuration change was refused as invalid.
    ChangeInvalid { fault: String },
}

/// The control plane's state machine: a chain replica and the duties of the chain's tail.
pub struct Core {
    pub(crate) replica: ChainReplica,
    pub(crate) timing: CoreTiming,
    pub(crate) format: u16,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<CoreOutput>,
    pub(crate) sessions: Sessions,
    pub(crate) tail: TailRole,
    pub(crate) requests: RouterRequests,
    pub(crate) proposals: PendingProposals,
    pub(crate) calls: OpenCalls,
    pub(crate) duties: DutyTimers,
    pub(crate) pushes: PushState,
    pub(crate) pending_activation: Option<PendingActivation>,
    pub(crate) invalid_changes: u64,
}

impl Core {
    /// Creates a core over a replica. Proposals and confirmation rounds are numbered from `first_number`, which must
    /// differ between incarnations.
    pub fn new(replica: ChainReplica, timing: CoreTiming, first_number: u64) -> Self {
        Core {
            replica: replica.with_first_round(first_number),
            timing,
            format: wire::FORMAT,
            now: Duration::ZERO,
            outputs: Vec::new(),
            sessions: Sessions::default(),
            tail: TailRole::default(),
            requests: RouterRequests::default(),
            proposals: PendingProposals::new(first_number),
            calls: OpenCalls::default(),
            duties: DutyTimers::default(),
            pushes: PushState::default(),
            pending_activation: None,
            invalid_changes: 0,
        }
    }

    /// Limits proposals to commands that programs of this format can read.
    pub fn with_format(mut self, format: u16) -> Self {
        self.format = format;
        self
    }

    /// Returns the chain replica.
    pub fn replica(&self) -> &ChainReplica {
        &self.replica
    }

    /// Returns the committed state.
    pub fn state(&self) -> &State {
        self.replica.committed_state()
    }

    /// Whether a router is a member.
    pub fn has_member(&self, id: NodeId) -> bool {
        keys::incarnations(self.state()).contains_key(&id)
    }

    /// Returns this registry's id.
    pub fn id(&self) -> NodeId {
        self.replica.node().id
    }

    /// Handles one input and returns the resulting outputs.
    pub fn step(&mut self, now: Duration, input: CoreInput) -> Vec<CoreOutput> {
        self.now = now;
        match input {
            CoreInput::Tick => {
                self.step_replica(Input::Tick);
                self.tick();
            }
            CoreInput::Chain { from, message } => self.step_replica(Input::Message { from, message }),
            CoreInput::Written { ticket } => self.step_replica(Input::Written { ticket }),
            CoreInput::DiskError => self.step_replica(Input::DiskError),
            CoreInput::DiskRecovered { stored } => {
                self.tail.end();
                self.step_replica(Input::DiskRecovered { stored: *stored });
            }
            CoreInput::Router { from, incarnation, message } => self.handle_lease_message(from, incarnation, message),
            CoreInput::Call { request_id, call } => self.handle_call(request_id, call),
            CoreInput::Leave { within } => self.step_replica(Input::Leave { within }),
        }
        self.handle_progress();
        let mut outputs = Vec::new();
        loop {
            let batch = std::mem::take(&mut self.outputs);
            if batch.is_empty() {
                return outputs;
            }
            for output in batch {
                match output {
                    CoreOutput::Router { to, message } if to == self.id() => {
                        self.handle_lease_message(to, 0, message);
                        self.handle_progress();
                    }
                    other => outputs.push(other),
                }
            }
        }
    }

    pub(crate) fn step_replica(&mut self, input: Input) {
        let mut view_changed = false;
        for output in self.replica.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.outputs.push(CoreOutput::Registry { to, message }),
                Output::SendSeeds { message } => self.outputs.push(CoreOutput::Seeds { message }),
                Output::Write { ticket, batch } => self.outputs.push(CoreOutput::Write { ticket, batch }),
                Output::ViewAdopted { view } => {
                    self.outputs.push(CoreOutput::ViewAdopted { view });
                    view_changed = true;
                }
                Output::ViewLearned { view } => self.outputs.push(CoreOutput::ViewLearned { view }),
                Output::ProposalDone { op, appended, reply } => self.handle_proposal_done(op, appended, reply),
                Output::Confirmed { round } => self.handle_confirmed_round(round),
                Output::CaughtUp { missed_entries } => self.outputs.push(CoreOutput::CaughtUp { missed_entries }),
                Output::Committed { .. } => {}
            }
        }
        if view_changed {
            self.hand_over_leases();
            self.repeat_proposals();
        }
    }
}
