//! A registry as one state machine over its chain member: it takes ticks, frames, finished writes
//! and operators' calls, and returns frames, writes and replies. The service feeds it from real
//! sockets and disks, the simulator from seeded ones.

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

#[derive(Clone, Debug)]
pub struct CoreTiming {
    pub lapse: Duration,
    /// How long after it was asked for no proof can still hold.
    pub proof_over: Duration,
    /// How long after the core's last word no router can hold a lease by its peers' any more.
    pub peers_over: Duration,
    pub call: Duration,
    pub tick: Duration,
    pub calm: Duration,
}

impl Default for CoreTiming {
    fn default() -> Self {
        CoreTiming::for_hold(Duration::from_millis(1500))
    }
}

impl CoreTiming {
    /// A router's lease lapses here a sixth later than it can have lapsed there. A proof is taken to be over a
    /// fifteenth after it has run out, which allows for clocks that run apart by so much.
    pub fn for_hold(hold: Duration) -> Self {
        CoreTiming {
            lapse: hold + hold / 6,
            proof_over: hold + hold / 15,
            peers_over: DEFAULT_PEER_HOLD + DEFAULT_PEER_HOLD / 15,
            call: Duration::from_secs(10),
            tick: Duration::from_secs(1),
            calm: Duration::from_secs(2),
        }
    }

    /// For routers that go by their peers' word for so long after the core's last.
    pub fn with_peer_hold(self, peer_hold: Duration) -> Self {
        CoreTiming { peers_over: peer_hold + peer_hold / 15, ..self }
    }
}

#[derive(Debug)]
pub enum CoreInput {
    Tick,
    Chain { from: NodeId, message: ChainMessage },
    Written { ticket: u64 },
    DiskError,
    DiskRecovered { stored: Box<StoredReplica> },
    Router { from: NodeId, incarnation: u64, message: LeaseMessage },
    Call { request_id: u64, call: ApiCall },
    Leave { within: Duration },
}

#[derive(Debug)]
pub enum CoreOutput {
    Registry { to: NodeId, message: ChainMessage },
    Seeds { message: ChainMessage },
    Write { ticket: u64, batch: Batch },
    Router { to: NodeId, message: LeaseMessage },
    Reply { request_id: u64, reply: ApiReply },
    ViewAdopted { view: View },
    ViewLearned { view: View },
    Activated { step: u64 },
    ActivationDelayed { step: u64, wait: ActivationWait, waited: Duration },
    CaughtUp { missed_entries: Option<usize> },
    ChangeInvalid { fault: String },
}

/// The control plane's state machine: the coordinator of a chain replica and of what the tail does with it.
pub struct Core {
    pub(crate) member: ChainReplica,
    pub(crate) timing: CoreTiming,
    pub(crate) format: u16,
    pub(crate) now: Duration,
    pub(crate) outs: Vec<CoreOutput>,
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
    /// A core over a replica, whose proposals and rounds are numbered from `first_number` on, differently in each
    /// incarnation.
    pub fn new(member: ChainReplica, timing: CoreTiming, first_number: u64) -> Self {
        Core {
            member: member.with_first_round(first_number),
            timing,
            format: wire::FORMAT,
            now: Duration::ZERO,
            outs: Vec::new(),
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

    /// Proposes nothing that a program of this format could not read.
    pub fn speaking(mut self, format: u16) -> Self {
        self.format = format;
        self
    }

    pub fn member(&self) -> &ChainReplica {
        &self.member
    }

    pub fn state(&self) -> &State {
        self.member.committed_state()
    }

    pub fn has_member(&self, id: NodeId) -> bool {
        keys::incarnations(self.state()).contains_key(&id)
    }

    pub fn me(&self) -> NodeId {
        self.member.node().id
    }

    pub fn step(&mut self, now: Duration, input: CoreInput) -> Vec<CoreOutput> {
        self.now = now;
        match input {
            CoreInput::Tick => {
                self.chain(Input::Tick);
                self.tick();
            }
            CoreInput::Chain { from, message } => self.chain(Input::Message { from, message }),
            CoreInput::Written { ticket } => self.chain(Input::Written { ticket }),
            CoreInput::DiskError => self.chain(Input::DiskError),
            CoreInput::DiskRecovered { stored } => {
                self.tail.lose();
                self.chain(Input::DiskRecovered { stored: *stored });
            }
            CoreInput::Router { from, incarnation, message } => self.router(from, incarnation, message),
            CoreInput::Call { request_id, call } => self.call(request_id, call),
            CoreInput::Leave { within } => self.chain(Input::Leave { within }),
        }
        self.after();
        let mut outs = Vec::new();
        loop {
            let batch = std::mem::take(&mut self.outs);
            if batch.is_empty() {
                return outs;
            }
            for out in batch {
                match out {
                    CoreOutput::Router { to, message } if to == self.me() => {
                        self.router(to, 0, message);
                        self.after();
                    }
                    other => outs.push(other),
                }
            }
        }
    }

    pub(crate) fn chain(&mut self, input: Input) {
        let mut reviewed = false;
        for output in self.member.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.outs.push(CoreOutput::Registry { to, message }),
                Output::SendSeeds { message } => self.outs.push(CoreOutput::Seeds { message }),
                Output::Write { ticket, batch } => self.outs.push(CoreOutput::Write { ticket, batch }),
                Output::ViewAdopted { view } => {
                    self.outs.push(CoreOutput::ViewAdopted { view });
                    reviewed = true;
                }
                Output::ViewLearned { view } => self.outs.push(CoreOutput::ViewLearned { view }),
                Output::ProposalDone { op, appended, reply } => self.handle_proposal_done(op, appended, reply),
                Output::Confirmed { round } => self.confirmed(round),
                Output::CaughtUp { missed_entries } => self.outs.push(CoreOutput::CaughtUp { missed_entries }),
                Output::Committed { .. } => {}
            }
        }
        if reviewed {
            self.hand_over_leases();
            self.propose_again();
        }
    }
}
