//! Proposer state of the agreement on the next view: one Paxos decision per view number, on which the voters of
//! the preceding view vote. The acceptor state (`promised`, `accepted`) is in [`crate::Meta`], since it must be on
//! disk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{NodeId, View};

/// Low bits of a proposal number that hold the proposer's rank, so that no two voters use the same number.
const RANK_BITS: u32 = 8;

/// View that a voter had already accepted when it answered a prepare.
#[derive(Clone, Debug)]
pub struct AcceptedView {
    /// Number of the accepted proposal, 0 for none.
    pub proposal_number: u64,
    /// Accepted view.
    pub view: View,
}

/// Proposal of this replica that is not decided yet.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Number of the view to be decided.
    pub slot: u64,
    /// Proposal number; higher numbers take precedence.
    pub number: u64,
    /// Proposed view.
    pub value: View,
    /// Answers to the prepare, by voter.
    pub promises: BTreeMap<NodeId, AcceptedView>,
    /// Voters that accepted.
    pub accepts: BTreeSet<NodeId>,
    /// Whether a majority has promised and the accept messages have been sent.
    pub is_accepting: bool,
    /// When the proposal was started.
    pub started_at: Duration,
}

/// Returns whether `count` voters are a majority of `of`.
pub fn is_majority(count: usize, of: usize) -> bool {
    count * 2 > of
}

/// Open proposal of this replica, and when it may make the next one.
#[derive(Clone)]
pub struct ViewAgreement {
    proposal: Option<Proposal>,
    propose_after: Duration,
    /// When this voter last accepted a proposal. Voters that accepted a proposal complete it if it stays undecided.
    accepted_at: Duration,
    highest_seen_number: u64,
}

impl ViewAgreement {
    /// Creates the state without an open proposal.
    pub fn new(now: Duration) -> Self {
        ViewAgreement { proposal: None, propose_after: Duration::ZERO, accepted_at: now, highest_seen_number: 0 }
    }

    /// Returns the proposal that is not decided yet.
    pub fn proposal(&self) -> Option<&Proposal> {
        self.proposal.as_ref()
    }

    /// Returns whether a proposal is open or the backoff after a rejected one is not over.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.proposal.is_some() || self.is_backing_off(now)
    }

    /// Returns whether the backoff after a rejected proposal is not over.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.propose_after
    }

    /// Returns when this voter last accepted a proposal.
    pub fn accepted_at(&self) -> Duration {
        self.accepted_at
    }

    /// Records that this voter accepts a proposal.
    pub fn record_accept(&mut self, now: Duration) {
        self.accepted_at = now;
    }

    /// Starts a proposal with a number higher than any that was promised or seen.
    pub fn start_proposal(&mut self, slot: u64, value: View, promised: u64, rank: usize, now: Duration) -> &Proposal {
        let round = (promised.max(self.highest_seen_number) >> RANK_BITS) + 1;
        self.proposal.insert(Proposal {
            slot,
            number: (round << RANK_BITS) | rank as u64,
            value,
            promises: BTreeMap::new(),
            accepts: BTreeSet::new(),
            is_accepting: false,
            started_at: now,
        })
    }

    /// Returns the open proposal if it has this slot and number.
    pub fn open_proposal(&mut self, slot: u64, number: u64) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| (proposal.slot, proposal.number) == (slot, number))
    }

    /// Drops a proposal that received no decision in time.
    pub fn abandon(&mut self) {
        self.proposal = None;
    }

    /// Records that a voter rejected a proposal in favour of a higher number.
    pub fn record_rejection(&mut self, slot: u64, number: u64, now: Duration, backoff: Duration) {
        self.highest_seen_number = self.highest_seen_number.max(number);
        // A voter that already promised this number also answers a duplicated prepare with a rejection that
        // names the same number; that is no reason to give up.
        let is_superseded = |proposal: &Proposal| proposal.slot == slot && number > proposal.number;
        if self.proposal.as_ref().is_some_and(is_superseded) {
            self.proposal = None;
            self.propose_after = now + backoff;
        }
    }

    /// Clears the state for the decision on the next view, after a view was adopted.
    pub fn reset(&mut self) {
        self.highest_seen_number = 0;
        self.proposal = None;
    }

    /// Continues above the proposal numbers of the replica before its restart, since answers to its proposals may
    /// still arrive.
    pub fn continue_numbering(&mut self, earlier: &ViewAgreement) {
        let proposed = earlier.proposal.as_ref().map_or(0, |proposal| proposal.number);
        self.highest_seen_number = earlier.highest_seen_number.max(proposed);
    }

    pub(crate) fn digest_fields(&self) -> (Duration, Duration, u64) {
        (self.propose_after, self.accepted_at, self.highest_seen_number)
    }
}
