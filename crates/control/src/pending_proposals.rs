//! Commands that were handed to the chain and whose outcome is not known yet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::NodeId;

/// What the tail proposes by itself. Of each, one proposal at a time is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// The chain's clock goes on.
    Tick,
    /// Epochs that all routers have staged come into force.
    Activate,
    /// Another set of routers proves leases without the core.
    Quorum,
    /// A router joins.
    Join { id: NodeId, incarnation: u64 },
    /// A router is about to stop.
    Leaving { id: NodeId, incarnation: u64 },
    /// A router's lease ran out.
    Lapse { id: NodeId, incarnation: u64 },
}

/// On whose behalf a command was proposed.
pub enum Origin {
    /// A singleton role of the tail.
    Duty(Duty),
    /// A router, which is told the reply under its own number.
    Router { to: NodeId, request_id: u64 },
    /// An operator's change. `may_be_appended`: it was proposed before, in an earlier view, and may be in the log.
    Change { request_id: u64, op: String, body: Vec<u8>, may_be_appended: bool },
}

/// A proposal in flight.
pub struct PendingProposal {
    /// On whose behalf.
    pub origin: Origin,
    /// When its outcome is given up.
    pub due: Duration,
}

/// Proposals in flight by number. Numbers are never used twice by one incarnation.
pub struct PendingProposals {
    table: BTreeMap<u64, PendingProposal>,
    duties: BTreeSet<Duty>,
    last_number: u64,
}

impl PendingProposals {
    /// Numbers go on from this one.
    pub fn new(last_number: u64) -> Self {
        PendingProposals { table: BTreeMap::new(), duties: BTreeSet::new(), last_number }
    }

    /// The number of the next proposal or read.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// How many are in flight.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Marks a duty as in flight; false if it is already.
    pub fn start_duty(&mut self, duty: Duty) -> bool {
        self.duties.insert(duty)
    }

    /// Adds a proposal and returns its number.
    pub fn add(&mut self, proposal: PendingProposal) -> u64 {
        let number = self.next_number();
        self.table.insert(number, proposal);
        number
    }

    /// Takes out a proposal whose outcome is known. A duty may be proposed again after it.
    pub fn remove(&mut self, number: u64) -> Option<Origin> {
        let origin = self.table.remove(&number)?.origin;
        if let Origin::Duty(duty) = &origin {
            self.duties.remove(duty);
        }
        Some(origin)
    }

    /// The proposals whose time is up.
    pub fn overdue(&self, now: Duration) -> Vec<u64> {
        self.table.iter().filter(|(_, proposal)| now > proposal.due).map(|(number, _)| *number).collect()
    }

    /// Forgets the duties in flight, and takes out operators' changes to be proposed again.
    pub fn take_after_view_change(&mut self) -> Vec<PendingProposal> {
        self.table.retain(|_, proposal| !matches!(proposal.origin, Origin::Duty(_)));
        self.duties.clear();
        let is_change = |proposal: &PendingProposal| matches!(proposal.origin, Origin::Change { .. });
        self.table.extract_if(.., |_, proposal| is_change(proposal)).map(|(_, proposal)| proposal).collect()
    }
}
