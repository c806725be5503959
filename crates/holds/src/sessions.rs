//! The tail's table of member routers: when each was last given a proof, and how far it has
//! staged and activated. A tail that has just become one counts every hold from that moment.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

#[derive(Clone, Debug, Default)]
pub struct Session {
    pub incarnation: u64,
    pub proved: Duration,
    pub staged: u64,
    pub active: u64,
    pub roster: u64,
    pub lapsing: bool,
    pub pushed: u64,
    pub pushed_at: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Sessions {
    pub table: BTreeMap<NodeId, Session>,
}

impl Sessions {
    /// Brings the table in line with the members the chain's state names.
    pub fn align(&mut self, now: Duration, members: &BTreeMap<NodeId, u64>) {
        self.table.retain(|id, session| members.get(id) == Some(&session.incarnation));
        for (id, incarnation) in members {
            self.table.entry(*id).or_insert_with(|| Session {
                incarnation: *incarnation,
                proved: now,
                ..Session::default()
            });
        }
    }

    pub fn lapsed(&self, now: Duration, after: Duration) -> Vec<(NodeId, u64)> {
        let silent = |session: &&Session| now > session.proved + after;
        self.table.iter().filter(|(_, s)| silent(s)).map(|(id, s)| (*id, s.incarnation)).collect()
    }

    /// Whether every member has staged the step, and the machines that have are a majority of
    /// each quorum given. An empty quorum asks nothing.
    pub fn staged_by_all(&self, step: u64, quorums: &[&[NodeId]]) -> bool {
        let has = |id: &NodeId| self.table.get(id).is_some_and(|session| session.staged >= step);
        self.table.values().all(|session| session.staged >= step)
            && quorums.iter().all(|quorum| quorum.is_empty() || quorum.iter().filter(|id| has(id)).count() * 2 > quorum.len())
    }
}
