//! Commands that were proposed to the chain and whose outcome is not known yet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::NodeId;

/// A command that the tail proposes on its own behalf. At most one proposal of each duty is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Advance the chain's clock.
    Tick,
    /// Activate the epochs that all routers have staged.
    Activate,
    /// Change the set of routers that prove leases without the core.
    Quorum,
    /// Add a router.
    Join { id: NodeId, incarnation: u64 },
    /// Mark a router as about to stop.
    Leaving { id: NodeId, incarnation: u64 },
    /// Remove a router whose lease ran out.
    Lapse { id: NodeId, incarnation: u64 },
}

/// Originator of a proposed command.
pub enum Origin {
    /// A duty of the tail.
    Duty(Duty),
    /// A router, which gets the reply under its own request id.
    Router { to: NodeId, request_id: u64 },
    /// An operator's change. With `may_be_appended` it was also proposed in an earlier view and may be in the log.
    Change { request_id: u64, op: String, body: Vec<u8>, may_be_appended: bool },
}

/// A proposal in flight.
pub struct PendingProposal {
    /// The originator.
    pub origin: Origin,
    /// When waiting for the outcome ends.
    pub due: Duration,
}

/// Proposals in flight by number. An incarnation never reuses a number.
pub struct PendingProposals {
    table: BTreeMap<u64, PendingProposal>,
    duties: BTreeSet<Duty>,
    last_number: u64,
}

impl PendingProposals {
    /// Creates an empty table whose numbers start after `last_number`.
    pub fn new(last_number: u64) -> Self {
        PendingProposals { table: BTreeMap::new(), duties: BTreeSet::new(), last_number }
    }

    /// Allocates the number of the next proposal or page request.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the number of proposals in flight.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Marks a duty as in flight; returns false if it already is.
    pub fn start_duty(&mut self, duty: Duty) -> bool {
        self.duties.insert(duty)
    }

    /// Adds a proposal and returns its number.
    pub fn add(&mut self, proposal: PendingProposal) -> u64 {
        let number = self.next_number();
        self.table.insert(number, proposal);
        number
    }

    /// Removes a proposal and returns its origin. A duty may be proposed again afterwards.
    pub fn remove(&mut self, number: u64) -> Option<Origin> {
        let origin = self.table.remove(&number)?.origin;
        if let Origin::Duty(duty) = &origin {
            self.duties.remove(duty);
        }
        Some(origin)
    }

    /// Returns the numbers of the proposals that are past their deadline.
    pub fn overdue(&self, now: Duration) -> Vec<u64> {
        self.table.iter().filter(|(_, proposal)| now > proposal.due).map(|(number, _)| *number).collect()
    }

    /// Drops the duties in flight, and removes and returns operators' changes so that they can be proposed again.
    pub fn take_after_view_change(&mut self) -> Vec<PendingProposal> {
        self.table.retain(|_, proposal| !matches!(proposal.origin, Origin::Duty(_)));
        self.duties.clear();
        let is_change = |proposal: &PendingProposal| matches!(proposal.origin, Origin::Change { .. });
        self.table.extract_if(.., |_, proposal| is_change(proposal)).map(|(_, proposal)| proposal).collect()
    }
}
