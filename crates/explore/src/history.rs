//! What an outside observer of the run knows: what was committed, decided and asked, and the first
//! invariant that was broken.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use wire::{NodeId, ProposalId, View, to_bytes};

/// What stood when a tail was asked to confirm its reads.
#[derive(Clone, Hash)]
pub struct ConfirmationRequest {
    pub newest_view: u64,
    pub committed: u64,
}

#[derive(Clone, Default)]
pub struct History {
    /// The operation at each place, and its key, as first committed anywhere.
    pub committed: BTreeMap<u64, (ProposalId, String)>,
    /// The view of each number, as first learnt to be decided anywhere.
    pub decided: BTreeMap<u64, View>,
    pub confirmation_requests: BTreeMap<(NodeId, u64), ConfirmationRequest>,
    pub violation: Option<String>,
}

impl History {
    pub fn record_confirmation_request(&mut self, id: NodeId, round: u64) {
        let newest_view = self.decided.keys().next_back().copied().unwrap_or(0);
        let committed = self.committed.keys().next_back().copied().unwrap_or(0);
        self.confirmation_requests.entry((id, round)).or_insert(ConfirmationRequest { newest_view, committed });
    }

    pub fn record_violation(&mut self, describe: impl FnOnce() -> String) {
        if self.violation.is_none() {
            self.violation = Some(describe());
        }
    }

    pub fn digest(&self, hasher: &mut impl Hasher) {
        (&self.committed, &self.confirmation_requests).hash(hasher);
        for (number, view) in &self.decided {
            (number, to_bytes(view)).hash(hasher);
        }
    }
}
