//! Set of the stored (deferred) tasks of one function that were sent to an instance at least once and are not known to
//! be finished. Sending one of them again is a retry, no matter which owner sent it first. An owner therefore passes
//! this set on to the next owner, including tasks that it no longer has itself.

use std::collections::BTreeSet;

/// Stored tasks that were sent, as far as an owner knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SentTasks {
    /// Any pending task may have been sent by an earlier owner.
    #[default]
    Unknown,
    /// Exactly these tasks were sent.
    Known(BTreeSet<String>),
}

impl SentTasks {
    /// Reads the set from an earlier owner's table. Unless the table is complete, any task may have been sent.
    pub fn from_table<'a>(is_complete: bool, ids: impl Iterator<Item = &'a str>) -> SentTasks {
        match is_complete {
            true => SentTasks::Known(ids.map(str::to_owned).collect()),
            false => SentTasks::Unknown,
        }
    }

    /// Adds the tasks of a later table of the earlier owner, which went on sending after the copy kept here was made.
    pub fn add_from_table<'a>(&mut self, is_complete: bool, ids: impl Iterator<Item = &'a str>) {
        match is_complete {
            true => ids.for_each(|id| self.insert(id)),
            false => *self = SentTasks::Unknown,
        }
    }

    /// Returns whether the task was sent, as far as this owner knows or must assume.
    pub fn may_contain(&self, id: &str) -> bool {
        match self {
            SentTasks::Unknown => true,
            SentTasks::Known(ids) => ids.contains(id),
        }
    }

    /// Adds a task that was sent.
    pub fn insert(&mut self, id: &str) {
        if let SentTasks::Known(ids) = self {
            ids.insert(id.to_owned());
        }
    }

    /// Removes a finished task.
    pub fn remove(&mut self, id: &str) {
        if let SentTasks::Known(ids) = self {
            ids.remove(id);
        }
    }

    /// Updates the set when the store has listed all `pending` tasks: any other task that is not `live` at this owner is
    /// finished. If the set is unknown, an earlier owner may have sent any pending task.
    pub fn reconcile(&mut self, pending: BTreeSet<String>, live: BTreeSet<String>) {
        match self {
            SentTasks::Unknown => *self = SentTasks::Known(pending.into_iter().chain(live).collect()),
            SentTasks::Known(ids) => ids.retain(|id| pending.contains(id) || live.contains(id)),
        }
    }

    /// Returns the ids for the next owner, or `None` if the set is unknown or has more than `max_count` tasks.
    pub fn ids_up_to(&self, max_count: usize) -> Option<Vec<&str>> {
        match self {
            SentTasks::Known(ids) if ids.len() <= max_count => Some(ids.iter().map(String::as_str).collect()),
            _ => None,
        }
    }
}
