//! One registry's place in the chain as a state machine: it takes ticks, frames, finished writes
//! and entries, and returns what to send, write and answer. One write is in flight at a time;
//! whatever arrives meanwhile joins the next.

use crate::copy::{Copying, Source};
use crate::found::Founding;
use crate::register::Proposal;
use crate::returns::Return;
use crate::tenure::{AnswerReports, Tenure};
use crate::types::{Apply, Batch, Input, Meta, Output, State, Stored, Timing};
use crate::view::Round;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wire::{ChainMessage, LogEntry, NodeAddress, NodeId, ProposalId};

#[derive(Clone)]
pub struct Writing {
    pub ticket: u64,
    pub up_to: u64,
    pub state: State,
    pub after: Vec<Output>,
    pub begun: Duration,
    pub installs: bool,
}

#[derive(Clone)]
pub struct Member {
    pub(crate) meta: Meta,
    pub(crate) timing: Timing,
    pub(crate) apply: Apply,
    pub(crate) now: Duration,
    pub(crate) ticked: Duration,
    pub(crate) heartbeat_sent: Duration,
    pub(crate) outs: Vec<Output>,
    pub(crate) state: State,
    pub(crate) synced_state: State,
    pub(crate) committed_state: State,
    pub(crate) snapshots: VecDeque<(u64, State)>,
    pub(crate) log: VecDeque<LogEntry>,
    pub(crate) last: u64,
    pub(crate) synced: u64,
    pub(crate) committed: u64,
    pub(crate) known_committed: u64,
    pub(crate) pending_replies: BTreeMap<u64, (ProposalId, Vec<u8>)>,
    pub(crate) next: Batch,
    pub(crate) next_after: Vec<Output>,
    pub(crate) dirty: bool,
    pub(crate) installs: bool,
    pub(crate) ticket: u64,
    pub(crate) writing: Option<Writing>,
    pub(crate) faulted: bool,
    /// Since when it is told to leave.
    pub(crate) leaving_since: Option<Duration>,
    /// When each voter last answered a heartbeat, and whether it said that it is unwell.
    pub(crate) heard: BTreeMap<NodeId, (Duration, bool)>,
    /// Since when a member of the chain has been suspected without a break.
    pub(crate) suspecting: Option<Duration>,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) propose_after: Duration,
    pub(crate) accepted_at: Duration,
    pub(crate) highest_seen_number: u64,
    pub(crate) round: Round,
    pub(crate) fence: Option<u64>,
    pub(crate) view_fence: u64,
    pub(crate) sent_to: u64,
    pub(crate) acked: u64,
    pub(crate) acked_at: Duration,
    pub(crate) copying: Option<Copying>,
    pub(crate) source: Option<Source>,
    pub(crate) returns: BTreeMap<NodeId, Return>,
    pub(crate) requested_at: Duration,
    pub(crate) founding: Founding,
    /// How many disks may be lost at once with all that was acknowledged still kept.
    pub(crate) losses: usize,
    pub(crate) joins_wait: bool,
    /// Since when it asks to join.
    pub(crate) seeking: Option<Duration>,
    /// Who asked to join in no one's place, from when to when.
    pub(crate) newcomers: BTreeMap<NodeId, (Duration, Duration)>,
    pub(crate) log_bytes: usize,
    pub(crate) tenure: Tenure,
    pub(crate) answer_reports: AnswerReports,
    /// When this voter last answered the tail of its view, or adopted that view, or started.
    pub(crate) tail_answered: Duration,
}

impl Member {
    pub fn new(node: NodeAddress, stored: Stored, timing: Timing, apply: Apply, now: Duration) -> Self {
        let mut meta = stored.meta;
        meta.node = node;
        let mut member = Member {
            meta,
            timing,
            apply,
            now,
            ticked: now,
            heartbeat_sent: Duration::ZERO,
            outs: Vec::new(),
            synced_state: stored.state.clone(),
            committed_state: State::new(),
            snapshots: [(stored.last, stored.state.clone())].into(),
            state: stored.state,
            log: stored.entries.into(),
            last: stored.last,
            synced: stored.last,
            committed: 0,
            known_committed: stored.known_committed,
            pending_replies: BTreeMap::new(),
            next: Batch { last: stored.last, ..Batch::default() },
            next_after: Vec::new(),
            dirty: false,
            installs: false,
            ticket: 0,
            writing: None,
            faulted: false,
            leaving_since: None,
            heard: BTreeMap::new(),
            suspecting: None,
            proposal: None,
            propose_after: Duration::ZERO,
            accepted_at: now,
            highest_seen_number: 0,
            round: Round::default(),
            fence: None,
            view_fence: stored.last,
            sent_to: u64::MAX,
            acked: 0,
            acked_at: now,
            copying: None,
            source: None,
            returns: BTreeMap::new(),
            requested_at: Duration::ZERO,
            founding: Founding::default(),
            losses: 1,
            joins_wait: false,
            newcomers: BTreeMap::new(),
            seeking: None,
            log_bytes: 0,
            tenure: Tenure::default(),
            answer_reports: AnswerReports::default(),
            tail_answered: now,
        };
        member.log_bytes = member.log.iter().map(|entry| entry.body.len()).sum();
        member.next.trim_below = member.log.front().map_or(0, |entry| entry.seq);
        member.heard_from_all();
        member
    }

    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = now;
        match input {
            Input::Tick => self.tick(),
            Input::Frame { from, message } => self.frame(from, message),
            Input::Written { ticket } => self.written(ticket),
            Input::DiskError => self.faulted = true,
            Input::DiskBack { stored } => self.start_again(stored),
            Input::Propose { op, body } => self.propose_entry(op, body),
            Input::Confirm => {
                if !self.round.running && self.round.wanted > self.round.number {
                    self.begin_round();
                }
            }
            Input::Leave => self.leave(),
        }
        let mut outs = Vec::new();
        loop {
            self.flush();
            let batch = std::mem::take(&mut self.outs);
            if batch.is_empty() {
                return outs;
            }
            for out in batch {
                match out {
                    Output::Send { to, message } if to == self.meta.node.id => self.frame(to, message),
                    other => outs.push(other),
                }
            }
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: ChainMessage) {
        self.outs.push(Output::Send { to, message });
    }

    fn frame(&mut self, from: NodeId, message: ChainMessage) {
        match message {
            ChainMessage::Heartbeat { view, round, unhealthy } => self.on_heartbeat(from, view, round, unhealthy != 0),
            ChainMessage::HeartbeatAck { view, round, has_accepted_next } => {
                self.on_heartbeat_ack(from, view, round, has_accepted_next != 0)
            }
            ChainMessage::Prepare { slot, proposal_number } => self.on_prepare(from, slot, proposal_number),
            ChainMessage::PrepareReply { slot, proposal_number, accepted_number, accepted } => {
                self.on_promise(from, slot, proposal_number, accepted_number, accepted)
            }
            ChainMessage::Accept { slot, proposal_number, view } => self.on_accept(from, slot, proposal_number, view),
            ChainMessage::AcceptReply { slot, proposal_number } => self.on_accepted(from, slot, proposal_number),
            ChainMessage::ProposalRejected { slot, proposal_number } => self.on_refused(slot, proposal_number),
            ChainMessage::Decided { view } => self.on_decided(view),
            ChainMessage::Propose { op, body } => {
                if self.is_head() {
                    self.propose_entry(op, body.into_vec());
                } else {
                    self.done(op, false, Vec::new());
                }
            }
            ChainMessage::Append { view, fence, entries } => self.on_append(from, view, fence, entries.into_vec()),
            ChainMessage::Synced { view, seq, committed } => self.on_synced(from, view, seq, committed),
            ChainMessage::Position { view, seq } => self.on_position(from, view, seq),
            ChainMessage::SnapshotOffer { view } => self.on_take_copy(from, view),
            ChainMessage::SnapshotRequest { copy, piece } => self.on_copy_ask(from, copy, piece),
            ChainMessage::SnapshotChunk { copy, piece, last, seq, pairs } => {
                self.on_copy_piece(from, copy, piece, last != 0, seq, pairs.into_vec())
            }
            ChainMessage::MissedEntriesRequest { since, last, digest } => self.on_suffix_ask(from, since, last, digest),
            ChainMessage::MissedEntries { copy, entries } => self.on_suffix(from, copy, entries.into_vec()),
            ChainMessage::JoinRequest { node, ready, seq } => self.on_join_ask(node, ready != 0, seq),
            ChainMessage::BootstrapRequest { node, bound } => self.on_found_ask(node, bound),
            ChainMessage::TailLastAnswered { view, millis } => self.on_last_answered(from, view, millis),
            ChainMessage::Done { op, appended, reply } => self.on_done(op, appended != 0, reply),
        }
    }

    fn tick(&mut self) {
        if self.now > self.ticked + self.timing.suspect / 2 {
            self.heard_from_all();
        }
        self.ticked = self.now;
        if self.meta.view.number == 0 {
            self.found();
        }
        if self.round.running && self.now > self.round.begun + self.timing.heartbeat * 2 {
            self.begin_round();
        }
        if self.now >= self.heartbeat_sent + self.timing.heartbeat {
            self.heartbeat_sent = self.now;
            self.heartbeat();
        }
        self.resend();
        self.finish_leaving();
        self.mend();
        self.seek_to_join();
        self.finish_joining();
    }
}
