//! Members that come back and are soon taken out again, as when one link of the core alone is cut: each
//! such return is let in later than the one before, so that the chain stands in between.

use crate::member::Member;
use std::time::Duration;
use wire::{NodeId, View};

const SOON: Duration = Duration::from_secs(5);
const FIRST: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
pub struct Return {
    added: Duration,
    wait: Duration,
    not_before: Duration,
}

impl Return {
    pub(crate) fn times(&self) -> (Duration, Duration, Duration) {
        (self.added, self.wait, self.not_before)
    }
}

impl Member {
    /// Whether a voter outside the chain hears nothing from a member of it: the two would take each other
    /// out again as soon as it returned.
    pub(crate) fn misses_a_member(&self) -> bool {
        let me = self.meta.node.id;
        let is_silent = |id: &NodeId| {
            let heard = self.heard.get(id).map(|(heard, _)| *heard);
            *id != me && heard.is_some_and(|heard| self.now > heard + self.timing.suspect)
        };
        self.is_voter(me) && self.meta.view.chain.iter().any(is_silent)
    }

    pub(crate) fn note_returns(&mut self, next: &View) {
        let now = self.now;
        let (old, new) = (self.meta.view.chain.as_slice().to_vec(), next.chain.as_slice());
        for id in new.iter().filter(|id| !old.contains(id)) {
            let known = self.returns.entry(*id).or_insert(Return { added: now, wait: Duration::ZERO, not_before: now });
            known.added = now;
        }
        for id in old.iter().filter(|id| !new.contains(id)) {
            let Some(known) = self.returns.get_mut(id) else { continue };
            if now < known.added + SOON {
                known.wait = (known.wait * 2).clamp(FIRST, LONGEST);
                known.not_before = now + known.wait;
            } else {
                self.returns.remove(id);
            }
        }
    }

    pub(crate) fn may_return(&self, id: NodeId) -> bool {
        self.returns.get(&id).is_none_or(|known| self.now >= known.not_before)
    }
}
