//! The tail's table of member routers: when each was last granted a lease, and which epochs it has staged and
//! activated. A newly appointed tail assumes that every lease was granted at the moment of its appointment.

use std::collections::BTreeMap;
use std::time::Duration;
use wire::NodeId;

/// State of one router as known to the tail.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// The router's incarnation.
    pub incarnation: u64,
    /// When this tail last granted it a lease, or added it to the table.
    pub lease_granted_at: Duration,
    /// Latest moment at which any lease that it may still hold was requested.
    pub lease_requested_until: Duration,
    /// Newest epoch that it has staged.
    pub staged: u64,
    /// Epoch that is active on it.
    pub active: u64,
    /// Number of the membership that it has.
    pub membership: u64,
    /// Whether it is no longer a member; its lease may still be valid.
    pub has_departed: bool,
    /// Newest epoch that was sent to it for staging.
    pub epoch_sent: u64,
    /// When that epoch was sent.
    pub epoch_sent_at: Duration,
    /// Newest activation that was sent to it.
    pub activation_sent: u64,
    /// When that activation was sent.
    pub activation_sent_at: Duration,
    /// Number of the newest membership that was sent to it.
    pub membership_sent: u64,
    /// When that membership was sent.
    pub membership_sent_at: Duration,
}

/// A lease that another tail may have granted.
#[derive(Clone, Copy, Debug)]
pub struct GrantedLease {
    /// The router's incarnation.
    pub incarnation: u64,
    /// Latest moment at which the router may have requested it.
    pub requested_at: Duration,
}

/// Upper bounds of how long leases last after their request, by the tail's clock.
#[derive(Clone, Copy, Debug)]
pub struct LeaseBounds {
    /// Bound for leases confirmed by the core.
    pub by_core: Duration,
    /// Bound for leases confirmed by peers, counted from the last confirmation by the core.
    pub by_peers: Duration,
    /// Latest moment at which a router without a session on this tail may have been granted a lease.
    pub unknown_until: Duration,
}

/// Reason why a staged epoch cannot be activated yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationBlocker {
    /// These routers have not staged the epoch and may hold a lease on an earlier one.
    Members(Vec<NodeId>),
    /// Less than a majority of a quorum has staged the epoch. These routers have not staged it and may confirm each
    /// other's leases on an earlier one.
    Quorum(Vec<NodeId>),
}

impl ActivationBlocker {
    /// Returns the routers that have not staged the epoch.
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
    pub by_router: BTreeMap<NodeId, Session>,
}

impl Sessions {
    /// Updates the table to the members in the chain's state. A router that is no longer a member is kept as departed
    /// until `after` has passed since its last lease.
    pub fn update_members(&mut self, now: Duration, members: &BTreeMap<NodeId, u64>, after: Duration) {
        for (id, session) in &mut self.by_router {
            session.has_departed = members.get(id) != Some(&session.incarnation);
        }
        self.by_router.retain(|_, session| !session.has_departed || now <= session.lease_granted_at + after);
        for (id, incarnation) in members {
            match self.by_router.get_mut(id) {
                Some(session) if session.incarnation == *incarnation => {}
                Some(session) => {
                    // The router has just joined, however long ago its previous incarnation was last granted a lease.
                    let (lease_granted_at, lease_requested_until) = (now, session.lease_requested_until);
                    *session = Session {
                        incarnation: *incarnation,
                        lease_granted_at,
                        lease_requested_until,
                        ..Session::default()
                    };
                }
                None => {
                    let session = Session {
                        incarnation: *incarnation,
                        lease_granted_at: now,
                        lease_requested_until: now,
                        ..Session::default()
                    };
                    self.by_router.insert(*id, session);
                }
            }
        }
    }

    /// Returns members whose last lease was granted more than `after` ago, with their incarnations.
    pub fn expired_members(&self, now: Duration, after: Duration) -> Vec<(NodeId, u64)> {
        let is_expired = |session: &&Session| !session.has_departed && now > session.lease_granted_at + after;
        self.by_router.iter().filter(|(_, s)| is_expired(s)).map(|(id, s)| (*id, s.incarnation)).collect()
    }

    /// Records that a lease was granted to a router.
    pub fn record_lease(&mut self, id: NodeId, now: Duration) {
        if let Some(session) = self.by_router.get_mut(&id) {
            (session.lease_granted_at, session.lease_requested_until) = (now, now);
        }
    }

    /// Records that earlier tails granted no lease that was requested after `until`. Sessions to which this tail
    /// granted a lease after `since` are not changed.
    pub fn limit_earlier_leases(&mut self, since: Duration, until: Duration) {
        for session in self.by_router.values_mut().filter(|session| session.lease_granted_at <= since) {
            session.lease_requested_until = session.lease_requested_until.min(until);
        }
    }

    /// Takes over from the previous tail, which reported every router in its table. It granted no lease to a member
    /// that it did not report; `earlier` is the latest request time of leases granted by the tails before it.
    pub fn take_over(&mut self, since: Duration, earlier: Duration, reported: &BTreeMap<NodeId, GrantedLease>) {
        for (id, session) in self.by_router.iter_mut().filter(|(_, session)| session.lease_granted_at <= since) {
            let until = reported.get(id).map_or(earlier, |lease| lease.requested_at);
            session.lease_requested_until = session.lease_requested_until.min(until);
        }
        for (id, lease) in reported {
            self.by_router.entry(*id).or_insert_with(|| Session {
                incarnation: lease.incarnation,
                lease_granted_at: lease.requested_at,
                lease_requested_until: lease.requested_at,
                has_departed: true,
                ..Session::default()
            });
        }
    }

    /// Returns why an epoch cannot be activated, or `None` if it can be. Activation requires that every router has
    /// staged the epoch or holds no lease by the core on an earlier one. It also requires of each quorum that a
    /// majority has staged the epoch, or that every router which has not can no longer hold a lease by peers. An empty
    /// quorum requires nothing.
    pub fn activation_blocker(
        &self,
        epoch: u64,
        quorums: &[Vec<NodeId>],
        now: Duration,
        bounds: LeaseBounds,
    ) -> Option<ActivationBlocker> {
        let may_serve = |session: &Session| now <= session.lease_requested_until + bounds.by_core;
        let not_staged = self.by_router.iter().filter(|(_, session)| session.staged < epoch && may_serve(session));
        let not_staged: Vec<NodeId> = not_staged.map(|(id, _)| *id).collect();
        if !not_staged.is_empty() {
            return Some(ActivationBlocker::Members(not_staged));
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
        let has_staged = |id: &NodeId| self.by_router.get(id).is_some_and(|session| session.staged >= epoch);
        let missing: Vec<NodeId> = quorum.iter().copied().filter(|id| !has_staged(id)).collect();
        if (quorum.len() - missing.len()) * 2 > quorum.len() {
            return None;
        }
        let lease_until =
            |id: &NodeId| self.by_router.get(id).map_or(bounds.unknown_until, |session| session.lease_requested_until);
        let may_serve = missing.iter().any(|id| now <= lease_until(id) + bounds.by_peers);
        may_serve.then_some(ActivationBlocker::Quorum(missing))
    }
}
