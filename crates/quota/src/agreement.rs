//! Agreement of the granters on the membership by which they divide limits. A granter deals out the least of its
//! shares by all memberships that some other may still deal by: the one that it has now, and the earlier_granters ones until
//! every other granter has answered that it has the same one.
//!
//! Invariant: at any moment there is one membership by which no granter's share is larger than its share here. So all
//! granters together deal out no more than the limit, in whatever order they learn of memberships.

use crate::granters::Granters;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wire::{NodeId, QuotaGrantersQuery, QuotaGrantersReply};

/// Routers that have not answered are asked again after so long.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// With more earlier_granters memberships than this in question, nothing is dealt out until they are settled.
const MAX_EARLIER_GRANTERS: usize = 8;

/// The routers of a membership, as far as granters need them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GranterMembership {
    /// Those that grant.
    pub granters: Granters,
    /// All members; one that is dropped holds no lease any more.
    pub members: BTreeSet<NodeId>,
    /// Members that are about to stop, and may have granted until now.
    pub leaving: BTreeSet<NodeId>,
}

#[derive(Debug)]
pub(crate) struct MembershipAgreement {
    me: NodeId,
    membership: GranterMembership,
    current: Rc<Granters>,
    /// By these some other router may still deal.
    earlier_granters: Vec<Rc<Granters>>,
    /// The routers of the earlier_granters ones.
    earlier_granter_nodes: BTreeSet<NodeId>,
    /// Since then this router has dealt out nothing by another membership than its present one.
    granting_by_current_since: Duration,
    /// Since then no router has, as far as those that agree say.
    all_granting_by_current_since: Duration,
    round: u64,
    confirmed_nodes: BTreeSet<NodeId>,
    last_query_at: Option<Duration>,
}

impl MembershipAgreement {
    /// `first_round` differs between incarnations, so that no answer to an earlier_granters one counts.
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

    /// Takes over a membership. Says whether shares may have changed.
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

    /// This router was dropped from the membership: others may have taken its share over.
    pub(crate) fn handle_membership_loss(&mut self, now: Duration) {
        self.granting_by_current_since = now;
        self.record_earlier(Rc::default());
        self.begin_round();
    }

    /// The smallest share of this router over all memberships that count.
    pub(crate) fn min_share(&self, share: impl Fn(&Granters) -> f64) -> f64 {
        self.earlier_granters.iter().map(|granters| share(granters)).fold(share(&self.current), f64::min)
    }

    /// Since when the shares of the settled membership are nobody else's: what they were refilled by is to be granted.
    pub(crate) fn refill_start(&self) -> Duration {
        self.all_granting_by_current_since
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.earlier_granters.is_empty()
    }

    /// Whom to ask now which membership it has.
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
            granted_by_it_ms: u32::try_from(current_for.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Says whether shares may have changed.
    pub(crate) fn handle_reply(&mut self, now: Duration, from: NodeId, reply: &QuotaGrantersReply) -> bool {
        if reply.round != self.round || reply.granters != self.current.fingerprint() {
            return false;
        }
        self.confirmed_nodes.insert(from);
        let since = now.saturating_sub(Duration::from_millis(reply.granted_by_it_ms.into()));
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

    /// Members that may deal by an earlier_granters membership, as far as is known here.
    fn unconfirmed_nodes(&self) -> Vec<NodeId> {
        let GranterMembership { members, leaving, .. } = &self.membership;
        let relevant = self.current.nodes().iter().chain(&self.earlier_granter_nodes).chain(leaving);
        let relevant: BTreeSet<NodeId> = relevant.copied().filter(|node| members.contains(node)).collect();
        relevant.into_iter().filter(|node| *node != self.me && !self.confirmed_nodes.contains(node)).collect()
    }

    fn try_settle(&mut self) -> bool {
        if self.is_settled() || !self.current.contains(self.me) || !self.unconfirmed_nodes().is_empty() {
            return false;
        }
        self.earlier_granters.clear();
        self.earlier_granter_nodes.clear();
        true
    }
}
