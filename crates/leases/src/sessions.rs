//! The tail's table of member routers: when each was last given a proof, and how far it has
//! staged and activated. A tail that has just become one counts every hold from that moment.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// What the tail knows of one router.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The router's incarnation.
    pub incarnation: u64,
    /// When it was last given a proof here, or first came into this table.
    pub proved_at: Duration,
    /// No proof it may still have was asked for after this moment.
    pub lease_requested_until: Duration,
    /// The newest epoch it has staged.
    pub staged: u64,
    /// The epoch it has active.
    pub active: u64,
    /// The membership it has.
    pub membership: u64,
    /// It is no member any more, but its lease may still be valid.
    pub departed: bool,
    /// The newest epoch it was offered.
    pub pushed: u64,
    /// When.
    pub pushed_at: Duration,
    /// The newest activation it was sent.
    pub activation_sent: u64,
    /// When.
    pub activation_sent_at: Duration,
    /// The newest membership it was sent, and when.
    pub membership_sent: u64,
    /// When.
    pub membership_sent_at: Duration,
}

/// A lease that another tail may have granted.
#[derive(Clone, Copy, Debug)]
pub struct GrantedLease {
    /// The router's incarnation.
    pub incarnation: u64,
    /// When the router can last have requested it.
    pub requested_at: Duration,
}

/// How long leases may outlast the moment at which they were requested, by the tail's clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaseBounds {
    /// Those that the core confirmed.
    pub by_core: Duration,
    /// Those that peers confirm, since the core's last word.
    pub by_peers: Duration,
    /// No router that this tail has no session of was granted a lease after this moment.
    pub unknown_until: Duration,
}

/// What keeps a staged epoch from coming into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationBlocker {
    /// These routers have not staged it and may hold a lease on an earlier one.
    Members(Vec<NodeId>),
    /// Less than a majority of a quorum has staged it, and these have not: they may confirm each other's leases
    /// on an earlier one.
    Quorum(Vec<NodeId>),
}

impl ActivationBlocker {
    /// The routers that are waited for.
    pub fn routers(&self) -> &[NodeId] {
        match self {
            ActivationBlocker::Members(routers) | ActivationBlocker::Quorum(routers) => routers,
        }
    }
}

/// The sessions of all routers that may hold a lease.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    /// Sessions by router.
    pub table: BTreeMap<NodeId, Session>,
}

impl Sessions {
    /// Brings the table in line with the members the chain's state names. One that is named no longer stays as a
    /// departed member for as long `after` its last lease as that can matter.
    pub fn align(&mut self, now: Duration, members: &BTreeMap<NodeId, u64>, after: Duration) {
        for (id, session) in &mut self.table {
            session.departed = members.get(id) != Some(&session.incarnation);
        }
        self.table.retain(|_, session| !session.departed || now <= session.proved_at + after);
        for (id, incarnation) in members {
            match self.table.get_mut(id) {
                Some(session) if session.incarnation == *incarnation => {}
                Some(session) => {
                    // It has just joined, however long ago the incarnation before it had its last lease.
                    let (proved_at, lease_requested_until) = (now, session.lease_requested_until);
                    *session =
                        Session { incarnation: *incarnation, proved_at, lease_requested_until, ..Session::default() };
                }
                None => {
                    let session = Session {
                        incarnation: *incarnation,
                        proved_at: now,
                        lease_requested_until: now,
                        ..Session::default()
                    };
                    self.table.insert(*id, session);
                }
            }
        }
    }

    /// Members that had no lease for this long, by incarnation.
    pub fn lapsed(&self, now: Duration, after: Duration) -> Vec<(NodeId, u64)> {
        let silent = |session: &&Session| !session.departed && now > session.proved_at + after;
        self.table.iter().filter(|(_, s)| silent(s)).map(|(id, s)| (*id, s.incarnation)).collect()
    }

    /// A lease is granted to a router.
    pub fn record_proof(&mut self, id: NodeId, now: Duration) {
        if let Some(session) = self.table.get_mut(&id) {
            (session.proved_at, session.lease_requested_until) = (now, now);
        }
    }

    /// Learns that tails before this one granted no proof that was asked for after `until`. Whoever was given
    /// one here, which is at `since` or later, is left as it is.
    pub fn bound_earlier_proofs(&mut self, since: Duration, until: Duration) {
        for session in self.table.values_mut().filter(|session| session.proved_at <= since) {
            session.lease_requested_until = session.lease_requested_until.min(until);
        }
    }

    /// Takes over from the tail before, which reported everyone it had in its table. A member it did not report
    /// was granted nothing by it; `earlier` bounds what tails before that one granted.
    pub fn take_over(&mut self, since: Duration, earlier: Duration, reported: &BTreeMap<NodeId, GrantedLease>) {
        for (id, session) in self.table.iter_mut().filter(|(_, session)| session.proved_at <= since) {
            let until = reported.get(id).map_or(earlier, |lease| lease.requested_at);
            session.lease_requested_until = session.lease_requested_until.min(until);
        }
        for (id, lease) in reported {
            self.table.entry(*id).or_insert_with(|| Session {
                incarnation: lease.incarnation,
                proved_at: lease.requested_at,
                lease_requested_until: lease.requested_at,
                departed: true,
                ..Session::default()
            });
        }
    }

    /// What keeps an epoch from coming into force; none if nothing does. Every router has staged it or holds no
    /// lease by the core on an earlier one; and of each quorum given a majority has staged it, or everyone has
    /// staged it or can no longer hold a lease by peers. An empty quorum asks nothing.
    pub fn activation_blocker(
        &self,
        epoch: u64,
        quorums: &[Vec<NodeId>],
        now: Duration,
        bounds: LeaseBounds,
    ) -> Option<ActivationBlocker> {
        let may_serve = |session: &Session| now <= session.lease_requested_until + bounds.by_core;
        let behind = self.table.iter().filter(|(_, session)| session.staged < epoch && may_serve(session));
        let behind: Vec<NodeId> = behind.map(|(id, _)| *id).collect();
        if !behind.is_empty() {
            return Some(ActivationBlocker::Members(behind));
        }
        quorums.iter().find_map(|quorum| self.quorum_blocker(epoch, quorum, now, bounds))
    }

    fn quorum_blocker(
        &self,
        epoch: u64,
        quorum: &[NodeId],
        now: Duration,
        bounds: LeaseBounds,
    ) -> Option<ActivationBlocker> {
        let has_staged = |id: &NodeId| self.table.get(id).is_some_and(|session| session.staged >= epoch);
        let missing: Vec<NodeId> = quorum.iter().copied().filter(|id| !has_staged(id)).collect();
        if (quorum.len() - missing.len()) * 2 > quorum.len() {
            return None;
        }
        let lease_until =
            |id: &NodeId| self.table.get(id).map_or(bounds.unknown_until, |session| session.lease_requested_until);
        let may_serve = missing.iter().any(|id| now <= lease_until(id) + bounds.by_peers);
        may_serve.then_some(ActivationBlocker::Quorum(missing))
    }
}
