//! Backoff for replicas that rejoin the chain and are soon removed again, for example while a single link between
//! members is cut. The backoff grows with each early removal, so that the chain is stable in between.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Time in the chain below which a removal counts as early: the replica had not recovered when it rejoined.
const EARLY_REMOVAL: Duration = Duration::from_secs(5);
/// Backoff after the first early removal.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Latest admission of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Readmission {
    /// When the replica was added to the chain.
    pub added_at: Duration,
    /// Backoff before the next admission.
    pub backoff: Duration,
    /// Earliest time of the next admission.
    pub not_before: Duration,
}

/// Latest admissions, by replica.
#[derive(Clone, Default)]
pub struct Readmissions {
    table: BTreeMap<NodeId, Readmission>,
}

impl Readmissions {
    /// Records which replicas were added to the chain and which were removed from it between two views.
    pub fn record_view_change(&mut self, old_chain: &[NodeId], new_chain: &[NodeId], now: Duration) {
        for id in new_chain.iter().filter(|id| !old_chain.contains(id)) {
            let first = Readmission { added_at: now, backoff: Duration::ZERO, not_before: now };
            self.table.entry(*id).or_insert(first).added_at = now;
        }
        for id in old_chain.iter().filter(|id| !new_chain.contains(id)) {
            let Some(last) = self.table.get_mut(id) else { continue };
            if now < last.added_at + EARLY_REMOVAL {
                last.backoff = (last.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
                last.not_before = now + last.backoff;
            } else {
                self.table.remove(id);
            }
        }
    }

    /// Returns whether a replica may be added to the chain now.
    pub fn may_return(&self, id: NodeId, now: Duration) -> bool {
        self.table.get(&id).is_none_or(|last| now >= last.not_before)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &Readmission)> {
        self.table.iter()
    }
}
