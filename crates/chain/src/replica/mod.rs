//! The replica of one registry as a state machine: it handles ticks, messages, finished writes and proposals, and
//! returns the messages, writes and replies to perform. Each submodule holds the handlers of one concern.

mod agreement;
mod bootstrapping;
mod catch_up;
mod digest;
mod disk_writes;
mod heartbeats;
mod joining;
mod leaving;
mod queries;
mod replication;
mod view_repair;
mod views;
mod voter_rules;

pub use digest::{digest_batch, digest_entries, digest_meta, digest_state};

use crate::bootstrap::Bootstrap;
use crate::confirmation::Confirmation;
use crate::departures::{Departure, Departures};
use crate::failure_detector::FailureDetector;
use crate::join_requests::JoinRequests;
use crate::log::ReplicaLog;
use crate::readmission::Readmissions;
use crate::replication_progress::ReplicationProgress;
use crate::snapshot::CatchUp;
use crate::tail_history::TailHistory;
use crate::types::{Apply, Input, Meta, Output, StoredReplica, Timing};
use crate::view_agreement::ViewAgreement;
use crate::write_queue::WriteQueue;
use std::time::Duration;
use wire::{ChainMessage, NodeAddress, NodeId};

/// Times that the replica uses, from a monotonic clock.
#[derive(Clone)]
struct Clock {
    now: Duration,
    ticked_at: Duration,
    heartbeat_sent_at: Duration,
}

/// State that decides which replicas may join the chain or leave it.
#[derive(Clone)]
struct MembershipRules {
    /// Number of disks that may be lost at once without losing acknowledged entries.
    tolerated_losses: usize,
    /// Whether joins are postponed: a joiner becomes the tail and would delay more urgent work.
    joins_deferred: bool,
    /// Planned stop of this replica.
    departure: Option<Departure>,
    /// Planned stops of other replicas.
    departures: Departures,
    /// Replica that last gave its vote to a joiner and stayed in the chain.
    former_voter: Option<NodeAddress>,
    join_requests: JoinRequests,
    readmissions: Readmissions,
}

/// Replica of the registries' state; coordinates the components that own the state.
#[derive(Clone)]
pub struct ChainReplica {
    meta: Meta,
    timing: Timing,
    apply: Apply,
    clock: Clock,
    outputs: Vec<Output>,
    log: ReplicaLog,
    writes: WriteQueue,
    detector: FailureDetector,
    agreement: ViewAgreement,
    confirmation: Confirmation,
    replication: ReplicationProgress,
    catch_up: CatchUp,
    bootstrap: Bootstrap,
    rules: MembershipRules,
    tail_history: TailHistory,
    /// Whether another replica of the chain is known to have adopted the current view.
    is_view_acknowledged: bool,
}

impl ChainReplica {
    /// Creates a replica that starts from the contents of its disk.
    pub fn new(node: NodeAddress, stored: StoredReplica, timing: Timing, apply: Apply, now: Duration) -> Self {
        let log = ReplicaLog::new(&stored, apply, timing.max_log_entries);
        let mut replica = ChainReplica {
            writes: WriteQueue::new(stored.last, log.trimmed_below()),
            detector: FailureDetector::new(timing.suspect_after),
            agreement: ViewAgreement::new(now),
            confirmation: Confirmation::default(),
            replication: ReplicationProgress::new(stored.last, now),
            catch_up: CatchUp::default(),
            bootstrap: Bootstrap::default(),
            rules: MembershipRules {
                tolerated_losses: 1,
                joins_deferred: false,
                departure: None,
                departures: Departures::default(),
                former_voter: None,
                join_requests: JoinRequests::default(),
                readmissions: Readmissions::default(),
            },
            tail_history: TailHistory::new(now),
            is_view_acknowledged: false,
            clock: Clock { now, ticked_at: now, heartbeat_sent_at: Duration::ZERO },
            outputs: Vec::new(),
            meta: Meta { node, ..stored.meta },
            log,
            timing,
            apply,
        };
        replica.assume_peers_alive();
        replica
    }

    /// Handles an input at a given time, and returns the actions to perform. Messages of the replica to itself are
    /// handled immediately.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.clock.now = now;
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.handle_message(from, message),
            Input::Written { ticket } => self.handle_written(ticket),
            Input::DiskError => self.writes.fail(),
            Input::DiskRecovered { stored } => self.restart_from(stored),
            Input::Propose { op, body } => self.append_or_forward(op, body),
            Input::Confirm => self.maybe_start_requested_round(),
            Input::Leave { within } => self.leave(within),
        }
        self.drain_outputs()
    }

    fn drain_outputs(&mut self) -> Vec<Output> {
        let mut drained = Vec::new();
        loop {
            self.maybe_start_write();
            let outputs = std::mem::take(&mut self.outputs);
            if outputs.is_empty() {
                return drained;
            }
            for output in outputs {
                match output {
                    Output::Send { to, message } if to == self.me() => self.handle_message(to, message),
                    other => drained.push(other),
                }
            }
        }
    }

    fn me(&self) -> NodeId {
        self.meta.node.id
    }

    fn send(&mut self, to: NodeId, message: ChainMessage) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Returns the other replicas of the view: its voters, and members of its chain without a vote.
    fn peers(&self) -> Vec<NodeId> {
        let view = &self.meta.view;
        let voteless = view.chain.iter().copied().filter(|id| !view.is_voter(*id));
        let peers = view.voters.iter().map(|voter| voter.id).chain(voteless);
        peers.filter(|id| *id != self.me()).collect()
    }

    fn is_peer(&self, id: NodeId) -> bool {
        self.meta.view.is_voter(id) || self.meta.view.is_in_chain(id)
    }

    fn send_to_voters(&mut self, message: &ChainMessage) {
        for voter in self.meta.view.voters.clone().iter() {
            self.send(voter.id, message.clone());
        }
    }

    fn handle_message(&mut self, from: NodeId, message: ChainMessage) {
        match message {
            ChainMessage::Heartbeat { view, round, unhealthy } => {
                self.handle_heartbeat(from, view, round, unhealthy != 0)
            }
            ChainMessage::HeartbeatAck { view, round, has_accepted_next } => {
                self.handle_heartbeat_ack(from, view, round, has_accepted_next != 0)
            }
            ChainMessage::Prepare { slot, proposal_number } => self.handle_prepare(from, slot, proposal_number),
            ChainMessage::PrepareReply { slot, proposal_number, accepted_number, accepted } => {
                self.handle_prepare_reply(from, slot, proposal_number, accepted_number, accepted)
            }
            ChainMessage::Accept { slot, proposal_number, view } => {
                self.handle_accept(from, slot, proposal_number, view)
            }
            ChainMessage::AcceptReply { slot, proposal_number } => {
                self.handle_accept_reply(from, slot, proposal_number)
            }
            ChainMessage::ProposalRejected { slot, proposal_number } => {
                self.handle_proposal_rejected(slot, proposal_number)
            }
            ChainMessage::Decided { view } => self.handle_decided(view),
            ChainMessage::Propose { op, body } => self.handle_propose(op, body),
            ChainMessage::Append { view, fence, entries } => self.handle_append(from, view, fence, entries.into_vec()),
            ChainMessage::Synced { view, seq, committed } => self.handle_synced(from, view, seq, committed),
            ChainMessage::Position { view, seq } => self.handle_position(from, view, seq),
            ChainMessage::SnapshotOffer { view } => self.handle_snapshot_offer(from, view),
            ChainMessage::SnapshotRequest { snapshot_id, chunk } => {
                self.handle_snapshot_request(from, snapshot_id, chunk)
            }
            ChainMessage::SnapshotChunk { snapshot_id, chunk, last, seq, pairs } => {
                self.handle_snapshot_chunk(from, snapshot_id, chunk, last != 0, seq, pairs.into_vec())
            }
            ChainMessage::MissedEntriesRequest { since, last, checksum } => {
                self.handle_missed_entries_request(from, since, last, checksum)
            }
            ChainMessage::MissedEntries { snapshot_id, entries } => {
                self.handle_missed_entries(from, snapshot_id, entries.into_vec())
            }
            ChainMessage::JoinRequest { node, ready, seq } => self.handle_join_request(node, ready != 0, seq),
            ChainMessage::BootstrapRequest { node, bound_to } => self.handle_bootstrap_request(node, bound_to),
            ChainMessage::TailLastAnswered { view, millis } => {
                let age = Duration::from_millis(millis);
                self.tail_history.record_report(from, view, age, self.clock.now)
            }
            ChainMessage::Leaving { remaining_ms } => self.handle_leaving(from, Duration::from_millis(remaining_ms)),
            ChainMessage::ProposalReply { op, appended, reply } => {
                self.outputs.push(Output::ProposalDone { op, appended: appended != 0, reply: reply.into_vec() })
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now;
        // A process that was not scheduled for long missed the answers of the others through its own fault.
        if now > self.clock.ticked_at + self.timing.suspect_after / 2 {
            self.assume_peers_alive();
        }
        self.clock.ticked_at = now;
        if self.meta.view.number == 0 {
            self.maybe_request_bootstrap();
        }
        self.maybe_restart_round();
        self.maybe_send_heartbeat();
        self.maybe_resend();
        self.maybe_finish_leaving();
        self.maybe_repair_view();
        self.maybe_request_join();
        self.maybe_finish_joining();
    }
}
