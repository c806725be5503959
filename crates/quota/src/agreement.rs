//! Agreement of the granters on the membership by which they divide limits. A granter uses the smallest of its shares
//! over all memberships that another granter may still use: its current one and, until every other granter has
//! confirmed that it has the same membership, the earlier ones.
//!
//! Invariant: at any time there is one membership under which every granter's share is at least as large as the share
//! that it uses. All granters together therefore never grant more than the limit, in whatever order they learn of
//! memberships.

use crate::granters::Granters;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrantersQuery, QuotaGrantersReply};

/// Interval at which routers that have not replied are queried again.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of earlier memberships that may still be in use. Beyond it, nothing is granted until the granters
/// agree.
const MAX_EARLIER_GRANTERS: usize = 8;

/// Routers of a membership, as far as granters need them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GranterMembership {
    /// Routers that grant credits.
    pub granters: Granters,
    /// All members. A router that is dropped from the membership no longer has a lease.
    pub members: BTreeSet<NodeId>,
    /// Members that are about to stop and may have granted credits until now.
    pub leaving: BTreeSet<NodeId>,
}

/// Tracks which memberships other granters may still use.
#[derive(Debug)]
pub(crate) struct MembershipAgreement {
    me: NodeId,
    membership: GranterMembership,
    current: Rc<Granters>,
    /// Granters of the earlier memberships that another router may still use.
    earlier_granters: Vec<Rc<Granters>>,
    /// All granters of the earlier memberships.
    earlier_granter_nodes: BTreeSet<NodeId>,
    /// Time since which this router has granted only by its current membership.
    granting_by_current_since: Duration,
    /// Time since which all routers have granted only by this membership, according to the confirmations so far.
    all_granting_by_current_since: Duration,
    round: u64,
    confirmed_nodes: BTreeSet<NodeId>,
    last_query_at: Option<Duration>,
}

impl MembershipAgreement {
    /// `first_round` differs between incarnations, so that replies to an earlier incarnation are ignored.
    pub(crate) fn new(me: NodeId, first_round: u64) -> MembershipAgreement {
        MembershipAgreement {
            me,
            membership: GranterMembership::default(),
            current: Rc::default(),
            earlier_granters: Vec::new(),
            earlier_granter_nodes: BTreeSet::new(),
            granting_by_current_since: Duration::ZERO,
            all_granting_by_current_since: Duration::ZERO,
            round: first_round,
            confirmed_nodes: BTreeSet::new(),
            last_query_at: None,
        }
    }

    /// Sets the current membership. Returns whether shares may have changed.
    pub(crate) fn set_membership(&mut self, now: Duration, membership: GranterMembership) -> bool {
        let has_changed = membership.granters != *self.current;
        self.membership = membership;
        if has_changed {
            let previous = std::mem::replace(&mut self.current, Rc::new(self.membership.granters.clone()));
            if !previous.nodes().is_empty() {
                self.granting_by_current_since = now;
            }
            self.record_earlier(previous);
            self.begin_round();
        }
        self.try_settle() || has_changed
    }

    /// Handles that this router was dropped from the membership: other routers may have taken over its share.
    pub(crate) fn handle_membership_loss(&mut self, now: Duration) {
        self.granting_by_current_since = now;
        self.record_earlier(Rc::default());
        self.begin_round();
    }

    /// Returns the smallest share of this router over all memberships that may still be in use.
    pub(crate) fn min_share(&self, share: impl Fn(&Granters) -> f64) -> f64 {
        self.earlier_granters.iter().map(|granters| share(granters)).fold(share(&self.current), f64::min)
    }

    /// Returns the time from which new buckets are refilled. Since then no other router has granted from the shares of
    /// the agreed membership, so their refill may be granted.
    pub(crate) fn refill_start(&self) -> Duration {
        self.all_granting_by_current_since
    }

    /// Whether all granters are known to use the current membership.
    pub(crate) fn is_settled(&self) -> bool {
        self.earlier_granters.is_empty()
    }

    /// Returns the queries to send now, which ask other routers for their membership.
    pub(crate) fn take_queries(&mut self, now: Duration) -> Vec<(NodeId, QuotaGrantersQuery)> {
        let is_due = self.last_query_at.is_none_or(|at| now >= at + QUERY_INTERVAL);
        if self.is_settled() || !self.current.contains(self.me) || !is_due {
            return Vec::new();
        }
        self.last_query_at = Some(now);
        let query = QuotaGrantersQuery { round: self.round };
        self.unconfirmed_nodes().into_iter().map(|node| (node, query.clone())).collect()
    }

    pub(crate) fn handle_query(&self, now: Duration, query: &QuotaGrantersQuery) -> QuotaGrantersReply {
        let current_for = now.saturating_sub(self.granting_by_current_since);
        QuotaGrantersReply {
            round: query.round,
            granters: self.current.fingerprint(),
            membership_in_use_ms: u32::try_from(current_for.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Handles a reply to a query. Returns whether shares may have changed.
    pub(crate) fn handle_reply(&mut self, now: Duration, from: NodeId, reply: &QuotaGrantersReply) -> bool {
        if reply.round != self.round || reply.granters != self.current.fingerprint() {
            return false;
        }
        self.confirmed_nodes.insert(from);
        let since = now.saturating_sub(Duration::from_millis(reply.membership_in_use_ms.into()));
        self.all_granting_by_current_since = self.all_granting_by_current_since.max(since);
        self.try_settle()
    }

    fn begin_round(&mut self) {
        self.round += 1;
        self.confirmed_nodes.clear();
        self.all_granting_by_current_since = self.granting_by_current_since;
        self.last_query_at = None;
    }

    fn record_earlier(&mut self, granters: Rc<Granters>) {
        self.earlier_granter_nodes.extend(granters.nodes());
        if self.earlier_granters.contains(&granters) {
            return;
        }
        if self.earlier_granters.len() >= MAX_EARLIER_GRANTERS {
            self.earlier_granters = vec![Rc::default()];
        }
        self.earlier_granters.push(granters);
    }

    /// Returns the members that have not confirmed the current membership and may still use an earlier one.
    fn unconfirmed_nodes(&self) -> Vec<NodeId> {
        let GranterMembership { members, leaving, .. } = &self.membership;
        let relevant = self.current.nodes().iter().chain(&self.earlier_granter_nodes).chain(leaving);
        let relevant: BTreeSet<NodeId> = relevant.copied().filter(|node| members.contains(node)).collect();
        relevant.into_iter().filter(|node| *node != self.me && !self.confirmed_nodes.contains(node)).collect()
    }

    /// Drops the earlier memberships once all routers have confirmed the current one. Returns whether it did.
    fn try_settle(&mut self) -> bool {
        if self.is_settled() || !self.current.contains(self.me) || !self.unconfirmed_nodes().is_empty() {
            return false;
        }
        self.earlier_granters.clear();
        self.earlier_granter_nodes.clear();
        true
    }
}
