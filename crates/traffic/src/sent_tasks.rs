//! Which stored (deferred) tasks of one function were sent to an instance at least once and are not
//! known to be finished. Sending one of them again is a retry, whichever owner sent it first, so an owner
//! passes this set on to the next one, also for the tasks that it no longer holds itself.

use std::collections::BTreeSet;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SentTasks {
    /// Any pending task may have been sent by an earlier owner.
    #[default]
    Unknown,
    /// Exactly these.
    Known(BTreeSet<String>),
}

impl SentTasks {
    /// What an earlier owner told in its table; unless that was `complete`, any task may have been sent.
    pub fn from_table<'a>(is_complete: bool, ids: impl Iterator<Item = &'a str>) -> SentTasks {
        match is_complete {
            true => SentTasks::Known(ids.map(str::to_owned).collect()),
            false => SentTasks::Unknown,
        }
    }

    /// A later table of the earlier owner, which went on after its copy was kept here.
    pub fn add_from_table<'a>(&mut self, is_complete: bool, ids: impl Iterator<Item = &'a str>) {
        match is_complete {
            true => ids.for_each(|id| self.insert(id)),
            false => *self = SentTasks::Unknown,
        }
    }

    /// Whether the task was sent, as far as this owner knows or must assume.
    pub fn may_contain(&self, id: &str) -> bool {
        match self {
            SentTasks::Unknown => true,
            SentTasks::Known(ids) => ids.contains(id),
        }
    }

    pub fn insert(&mut self, id: &str) {
        if let SentTasks::Known(ids) = self {
            ids.insert(id.to_owned());
        }
    }

    pub fn remove(&mut self, id: &str) {
        if let SentTasks::Known(ids) = self {
            ids.remove(id);
        }
    }

    /// The store listed all tasks that are pending: whatever else is not `live` at this owner is finished,
    /// and without knowledge from an earlier owner whatever is pending may have been sent by it.
    pub fn reconcile(&mut self, pending: BTreeSet<String>, live: BTreeSet<String>) {
        match self {
            SentTasks::Unknown => *self = SentTasks::Known(pending.into_iter().chain(live).collect()),
            SentTasks::Known(ids) => ids.retain(|id| pending.contains(id) || live.contains(id)),
        }
    }

    /// What the next owner is told, if it can be told all within `most` tasks.
    pub fn ids_up_to(&self, max_count: usize) -> Option<Vec<&str>> {
        match self {
            SentTasks::Known(ids) if ids.len() <= max_count => Some(ids.iter().map(String::as_str).collect()),
            _ => None,
        }
    }
}
