//! Agreement of the granters on the membership by which they divide limits. A granter deals out the least of its
//! shares by all memberships that some other may still deal by: the one that it has now, and the earlier ones until
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
/// With more earlier memberships than this in question, nothing is dealt out until they are settled.
const MAX_EARLIER: usize = 8;

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
pub(crate) struct GrantersAgreement {
    me: NodeId,
    membership: GranterMembership,
    current: Rc<Granters>,
    /// By these some other router may still deal.
    earlier: Vec<Rc<Granters>>,
    /// The routers of the earlier ones.
    earlier_nodes: BTreeSet<NodeId>,
    /// Since then this router has dealt out nothing by another membership than its present one.
    dealt_by_it_since: Duration,
    /// Since then no router has, as far as those that agree say.
    all_dealt_by_it_since: Duration,
    round: u64,
    agreeing: BTreeSet<NodeId>,
    queried_at: Option<Duration>,
}

impl GrantersAgreement {
    /// `first_round` differs between incarnations, so that no answer to an earlier one counts.
    pub(crate) fn new(me: NodeId, first_round: u64) -> GrantersAgreement {
        GrantersAgreement {
            me,
            membership: GranterMembership::default(),
            current: Rc::default(),
            earlier: Vec::new(),
            earlier_nodes: BTreeSet::new(),
            dealt_by_it_since: Duration::ZERO,
            all_dealt_by_it_since: Duration::ZERO,
            round: first_round,
            agreeing: BTreeSet::new(),
            queried_at: None,
        }
    }

    /// Takes over a membership. Says whether shares may have changed.
    pub(crate) fn set_membership(&mut self, now: Duration, membership: GranterMembership) -> bool {
        let is_other = membership.granters != *self.current;
        self.membership = membership;
        if is_other {
            let before = std::mem::replace(&mut self.current, Rc::new(self.membership.granters.clone()));
            if !before.nodes().is_empty() {
                self.dealt_by_it_since = now;
            }
            self.keep_earlier(before);
            self.begin_round();
        }
        self.maybe_settle() || is_other
    }

    /// This router was dropped from the membership: others may have taken its share over.
    pub(crate) fn handle_lapse(&mut self, now: Duration) {
        self.dealt_by_it_since = now;
        self.keep_earlier(Rc::default());
        self.begin_round();
    }

    /// The smallest share of this router over all memberships that count.
    pub(crate) fn least_share(&self, share: impl Fn(&Granters) -> f64) -> f64 {
        self.earlier.iter().map(|granters| share(granters)).fold(share(&self.current), f64::min)
    }

    /// Since when the shares of the settled membership are nobody else's: what they were refilled by is to be granted.
    pub(crate) fn refilled_since(&self) -> Duration {
        self.all_dealt_by_it_since
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.earlier.is_empty()
    }

    /// Whom to ask now which membership it has.
    pub(crate) fn take_queries(&mut self, now: Duration) -> Vec<(NodeId, QuotaGrantersQuery)> {
        let is_due = self.queried_at.is_none_or(|at| now >= at + QUERY_INTERVAL);
        if self.is_settled() || !self.current.contains(self.me) || !is_due {
            return Vec::new();
        }
        self.queried_at = Some(now);
        let query = QuotaGrantersQuery { round: self.round };
        self.missing().into_iter().map(|node| (node, query.clone())).collect()
    }

    pub(crate) fn handle_query(&self, now: Duration, query: &QuotaGrantersQuery) -> QuotaGrantersReply {
        let granted_by_it = now.saturating_sub(self.dealt_by_it_since);
        QuotaGrantersReply {
            round: query.round,
            granters: self.current.fingerprint(),
            membership_in_use_ms: u32::try_from(granted_by_it.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Says whether shares may have changed.
    pub(crate) fn handle_reply(&mut self, now: Duration, from: NodeId, reply: &QuotaGrantersReply) -> bool {
        if reply.round != self.round || reply.granters != self.current.fingerprint() {
            return false;
        }
        self.agreeing.insert(from);
        let since = now.saturating_sub(Duration::from_millis(reply.membership_in_use_ms.into()));
        self.all_dealt_by_it_since = self.all_dealt_by_it_since.max(since);
        self.maybe_settle()
    }

    fn begin_round(&mut self) {
        self.round += 1;
        self.agreeing.clear();
        self.all_dealt_by_it_since = self.dealt_by_it_since;
        self.queried_at = None;
    }

    fn keep_earlier(&mut self, granters: Rc<Granters>) {
        self.earlier_nodes.extend(granters.nodes());
        if self.earlier.contains(&granters) {
            return;
        }
        if self.earlier.len() >= MAX_EARLIER {
            self.earlier = vec![Rc::default()];
        }
        self.earlier.push(granters);
    }

    /// Members that may deal by an earlier membership, as far as is known here.
    fn missing(&self) -> Vec<NodeId> {
        let GranterMembership { members, leaving, .. } = &self.membership;
        let concerned = self.current.nodes().iter().chain(&self.earlier_nodes).chain(leaving);
        let concerned: BTreeSet<NodeId> = concerned.copied().filter(|node| members.contains(node)).collect();
        concerned.into_iter().filter(|node| *node != self.me && !self.agreeing.contains(node)).collect()
    }

    fn maybe_settle(&mut self) -> bool {
        if self.is_settled() || !self.current.contains(self.me) || !self.missing().is_empty() {
            return false;
        }
        self.earlier.clear();
        self.earlier_nodes.clear();
        true
    }
}
