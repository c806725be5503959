//! The proposer's side of the agreement on the next view: one decision by Paxos for each view number, voted
//! on by the voters of the view before it. The acceptor's side (`promised`, `accepted`) is in [`crate::Meta`],
//! since it must be on disk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{NodeId, View};

/// Low bits of a proposal number that hold the proposer's rank, so that no two voters use the same number.
const RANK_BITS: u32 = 8;

/// What a voter had accepted when it answered a prepare.
#[derive(Clone, Debug)]
pub struct AcceptedView {
    /// The number of the proposal it accepted, 0 for none.
    pub proposal_number: u64,
    /// The view that it accepted.
    pub view: View,
}

/// A proposal of this replica that is not decided yet.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The number of the view to be decided.
    pub slot: u64,
    /// The proposal number: higher ones win.
    pub number: u64,
    /// The view that is proposed.
    pub value: View,
    /// Answers to the prepare, by voter.
    pub promises: BTreeMap<NodeId, AcceptedView>,
    /// Voters that accepted.
    pub accepts: BTreeSet<NodeId>,
    /// Whether a majority promised, so that accepts are out.
    pub is_accepting: bool,
    /// When it was started.
    pub started_at: Duration,
}

/// Whether so many voters are a majority of all.
pub fn is_majority(count: usize, of: usize) -> bool {
    count * 2 > of
}

/// Proposals of this replica and when it may make the next.
#[derive(Clone)]
pub struct ViewAgreement {
    proposal: Option<Proposal>,
    propose_after: Duration,
    /// When this voter last accepted a proposal; one that stays open is finished by whoever accepted it.
    accepted_at: Duration,
    highest_seen_number: u64,
}

impl ViewAgreement {
    /// No proposal is open.
    pub fn new(now: Duration) -> Self {
        ViewAgreement { proposal: None, propose_after: Duration::ZERO, accepted_at: now, highest_seen_number: 0 }
    }

    /// The proposal that is not decided yet.
    pub fn proposal(&self) -> Option<&Proposal> {
        self.proposal.as_ref()
    }

    /// Whether a proposal is open or the pause after a rejected one is not over.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.proposal.is_some() || self.is_backing_off(now)
    }

    /// Whether the pause after a rejected proposal is not over.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.propose_after
    }

    /// When this voter last accepted a proposal.
    pub fn accepted_at(&self) -> Duration {
        self.accepted_at
    }

    /// This voter accepts a proposal.
    pub fn record_accept(&mut self, now: Duration) {
        self.accepted_at = now;
    }

    /// Starts a proposal with a number above all that were promised or seen.
    pub fn start(&mut self, slot: u64, value: View, promised: u64, rank: usize, now: Duration) -> &Proposal {
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

    /// The open proposal, if it has this slot and number.
    pub fn open_proposal(&mut self, slot: u64, number: u64) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| (proposal.slot, proposal.number) == (slot, number))
    }

    /// Gives a proposal up that stays unanswered.
    pub fn abandon(&mut self) {
        self.proposal = None;
    }

    /// A voter rejected a proposal in favour of a higher number.
    pub fn record_rejection(&mut self, slot: u64, number: u64, now: Duration, backoff: Duration) {
        self.highest_seen_number = self.highest_seen_number.max(number);
        // A voter that has promised this very number, and was sent the prepare twice, has rejected nothing.
        let is_outbid = |proposal: &Proposal| proposal.slot == slot && number > proposal.number;
        if self.proposal.as_ref().is_some_and(is_outbid) {
            self.proposal = None;
            self.propose_after = now + backoff;
        }
    }

    /// A view was adopted: agreement on the next begins anew.
    pub fn reset(&mut self) {
        self.highest_seen_number = 0;
        self.proposal = None;
    }

    /// Numbers go on above those of an earlier process, whose answers may still come.
    pub fn continue_numbers(&mut self, earlier: &ViewAgreement) {
        let proposed = earlier.proposal.as_ref().map_or(0, |proposal| proposal.number);
        self.highest_seen_number = earlier.highest_seen_number.max(proposed);
    }

    pub(crate) fn times(&self) -> (Duration, Duration, u64) {
        (self.propose_after, self.accepted_at, self.highest_seen_number)
    }
}
