//! The run as an external observer sees it: committed operations, decided views, requested confirmations
//! and the first violation of an invariant.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use wire::{NodeId, ProposalId, View, to_bytes};

/// Newest view and newest committed sequence number at the time when a tail was asked to confirm its reads.
#[derive(Clone, Hash)]
pub struct ConfirmationRequest {
    pub newest_view: u64,
    pub committed: u64,
}

/// Everything observed in a run.
#[derive(Clone, Default)]
pub struct History {
    /// Operation and key at each sequence number, as first committed on any machine.
    pub committed: BTreeMap<u64, (ProposalId, String)>,
    /// View of each number, as first known to be decided on any machine.
    pub decided: BTreeMap<u64, View>,
    /// Unanswered confirmation requests, by node id and round.
    pub confirmation_requests: BTreeMap<(NodeId, u64), ConfirmationRequest>,
    /// Description of the first violated invariant.
    pub violation: Option<String>,
}

impl History {
    /// Records a confirmation request with what is committed and decided at this moment.
    pub fn record_confirmation_request(&mut self, id: NodeId, round: u64) {
        let newest_view = self.decided.keys().next_back().copied().unwrap_or(0);
        let committed = self.committed.keys().next_back().copied().unwrap_or(0);
        self.confirmation_requests.entry((id, round)).or_insert(ConfirmationRequest { newest_view, committed });
    }

    /// Records a violated invariant unless one was recorded before.
    pub fn record_violation(&mut self, describe: impl FnOnce() -> String) {
        if self.violation.is_none() {
            self.violation = Some(describe());
        }
    }

    /// Adds the history to the digest of a state.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        (&self.committed, &self.confirmation_requests).hash(hasher);
        for (number, view) in &self.decided {
            (number, to_bytes(view)).hash(hasher);
        }
    }
}
