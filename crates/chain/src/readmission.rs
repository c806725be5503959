//! Replicas that come back to the chain and are soon taken out again, as when a single link of the core is cut:
//! each such return is admitted later than the one before, so that the chain stands in between.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// Whoever is taken out again within this time was not well when it returned.
const EARLY_REMOVAL: Duration = Duration::from_secs(5);
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The last return of one replica.
#[derive(Clone, Copy, Debug)]
pub struct Readmission {
    /// When it came into the chain.
    pub added_at: Duration,
    /// How long its next return is put off.
    pub backoff: Duration,
    /// It is not admitted before this.
    pub not_before: Duration,
}

/// Returns of replicas, by replica.
#[derive(Clone, Default)]
pub struct Readmissions {
    table: BTreeMap<NodeId, Readmission>,
}

impl Readmissions {
    /// Notes who came into the chain and who was taken out of it between two views.
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

    /// Whether a replica may come into the chain at this moment.
    pub fn may_return(&self, id: NodeId, now: Duration) -> bool {
        self.table.get(&id).is_none_or(|last| now >= last.not_before)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&NodeId, &Readmission)> {
        self.table.iter()
    }
}
