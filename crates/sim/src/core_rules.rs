//! Rules on the registries as a whole: how many synced copies there are of what is committed, whether a
//! majority of voters would be left after as many more losses as are declared, how soon after the last
//! trouble the core can bear them again and has everyone back, and that none acknowledges alone.

use crate::rules::Rules;
use crate::world::{NodeRef, World};
use rand::RngExt;
use std::time::Duration;
use wire::{NodeId, View};

/// After this long without trouble a registry counts as well again: with three of them, and with more.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
const CATCH_UP_TIME_OF_MANY: Duration = Duration::from_secs(6);
/// After this long without trouble everyone is back in the chain.
const REJOIN_BOUND: Duration = Duration::from_secs(20);
/// What was on the way when a cut began may still be answered.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(1500);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// No rule on the whole core before it has been founded and joined by all.
const FIRST_CHECK: Duration = Duration::from_secs(13);

/// The copies of what is committed, and how many there must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreCopies {
    pub entry: u64,
    pub synced: usize,
    pub losses: usize,
    /// Disks lost that no one has replaced in the chain yet.
    pub lost: usize,
}

/// What the rules on the core remember between steps.
#[derive(Default)]
pub struct CoreRuleState {
    last_check: Duration,
    committed: u64,
    view: u64,
    lost: usize,
    /// Since when no registry hears from any other, by registry.
    isolated_since: Vec<Option<Duration>>,
}

impl Rules {
    /// One disk more holds each committed entry than may be lost, less those that are lost already.
    pub fn check_synced_copies(&mut self, now: Duration, copies: CoreCopies) {
        let wanted = (copies.losses + 1).saturating_sub(copies.lost).max(1);
        if copies.synced < wanted {
            let CoreCopies { entry, synced, .. } = copies;
            self.report_violation(
                now,
                format!("entry {entry} is committed with {synced} synced copies, {wanted} are to be"),
            );
        }
    }

    /// After as many more losses as are declared a majority of the voters is left, and one copy at least.
    pub fn check_loss_tolerance(
        &mut self,
        now: Duration,
        voters: usize,
        running: usize,
        chained: usize,
        losses: usize,
    ) {
        let left = running.saturating_sub(losses);
        if left * 2 <= voters {
            self.report_violation(
                now,
                format!("{running} of {voters} voters run: {losses} more losses leave no majority"),
            );
        }
        if chained <= losses {
            self.report_violation(now, format!("{chained} in the chain: {losses} more losses may leave no copy"));
        }
    }

    /// Voters whose disks are there, less those that may be lost now, are a majority for good.
    pub fn check_disk_majority(&mut self, now: Duration, voters: usize, disks: usize, more: usize) {
        if disks.saturating_sub(more) * 2 <= voters {
            self.report_violation(
                now,
                format!("{disks} of {voters} voters have their disks, and {more} more may be lost now"),
            );
        }
    }

    pub fn check_all_in_chain(&mut self, now: Duration, calm_since: Duration, absent: usize) {
        if absent > 0 && now > calm_since + REJOIN_BOUND {
            let calm = (now - calm_since).as_secs();
            self.report_violation(now, format!("{absent} registries are not in the chain after {calm} s of calm"));
        }
    }

    /// An acknowledgement by a registry that has heard from no other since that moment.
    pub fn check_isolated_acknowledgement(&mut self, now: Duration, isolated_since: Option<Duration>) {
        if let Some(since) = isolated_since.filter(|since| now > *since + IN_FLIGHT_TIME) {
            self.report_violation(
                now,
                format!("a change was acknowledged by one cut off for {} ms", (now - since).as_millis()),
            );
        }
    }
}

impl World {
    pub(crate) fn live_registries(&self) -> Vec<usize> {
        (0..self.registries.len()).filter(|n| !self.registries[*n].retired).collect()
    }

    pub(crate) fn any_registry(&mut self) -> usize {
        let live = self.live_registries();
        live[self.rng.random_range(0..live.len())]
    }

    /// Where a registry asks while it knows no view: its seeds, and whom they told of.
    pub(crate) fn seeds_of(&self, n: usize) -> Vec<String> {
        let node = &self.registries[n];
        let seeds = if node.seeds.is_empty() { &self.seeds } else { &node.seeds };
        seeds.iter().chain(&node.learned_addresses).cloned().collect()
    }

    pub(crate) fn catch_up_time(&self) -> Duration {
        if self.plan.losses > 1 { CATCH_UP_TIME_OF_MANY } else { CATCH_UP_TIME }
    }

    /// How many more disks may be lost now: the losses declared, less those who are lost or not yet over it.
    pub(crate) fn remaining_disk_losses(&self) -> usize {
        let unhealthy = |n: &usize| !self.is_healthy(*n);
        let lost = self.live_registries().iter().filter(|n| unhealthy(n)).count();
        self.plan.losses.saturating_sub(lost)
    }

    pub(crate) fn is_healthy(&self, n: usize) -> bool {
        let node = &self.registries[n];
        node.core.is_some() && !self.is_disturbed(n) && self.now > node.last_disturbed + self.catch_up_time()
    }

    fn is_disturbed(&self, n: usize) -> bool {
        let (node, now, node_ref) = (&self.registries[n], self.now, NodeRef::Registry(n));
        let held = node.frozen_until > now || node.stalled_until > now || node.slow_disk_until > now || node.full;
        let registry = |node_ref: &NodeRef| matches!(node_ref, NodeRef::Registry(_));
        let touches = |(a, b): &(NodeRef, NodeRef)| (*a == node_ref || *b == node_ref) && registry(a) && registry(b);
        let net = &self.net;
        let mut disturbed = net.cuts.iter().chain(net.slow_links.keys()).chain(net.lossy_links.keys());
        held || node.core.is_none() || self.is_slow(node_ref) || disturbed.any(touches)
    }

    pub(crate) fn change_acknowledged_by(&mut self, n: usize) {
        // As it is now: another may have come since the last look.
        self.update_disturbances();
        let isolated = self.core_rule_state.isolated_since.get(n).copied().flatten();
        self.rules.check_isolated_acknowledgement(self.now, isolated);
        self.fire_trigger(crate::triggered_faults::Trigger::ChangeAcknowledged, n);
    }

    /// After each step: copies, when anything was committed, agreed on or lost; the rest ten times a second.
    pub fn check_core(&mut self) {
        if self.now >= self.core_rule_state.last_check + CHECK_INTERVAL {
            self.core_rule_state.last_check = self.now;
            self.update_disturbances();
            self.check_calm_core();
        }
        let cores = self.registries.iter().filter_map(|node| node.core.as_ref());
        let newest = |(committed, view): (u64, u64), core: &control::Core| {
            let member = core.replica();
            (committed.max(member.positions().committed), view.max(member.view().number))
        };
        let (committed, view) = cores.fold((0, 0), newest);
        let lost = self.registries.iter().filter(|node| node.is_disk_lost && !node.retired).count();
        let known = &mut self.core_rule_state;
        if (known.committed, known.view, known.lost) == (committed, view, lost) && committed > 0 {
            return;
        }
        (known.committed, known.view, known.lost) = (known.committed.max(committed), view, lost);
        let entry = known.committed;
        self.check_copies(entry);
    }

    fn check_copies(&mut self, entry: u64) {
        let Some(op) = self.rules.committed_op(entry) else { return };
        let holds = |disk: &chain::StoredReplica| {
            let same = |line: &wire::LogEntry| (line.op.origin, line.op.number) == op;
            let known = disk.entries.binary_search_by_key(&entry, |line| line.seq);
            // What was copied whole, or trimmed, has no entry to look at.
            disk.last >= entry && known.map_or(true, |at| same(&disk.entries[at]))
        };
        let live = self.registries.iter().filter(|node| !node.retired || node.core.is_some());
        let synced = live.filter(|node| holds(&node.disk)).count();
        if let Some(view) = self.newest_view() {
            for node in &mut self.registries {
                node.is_disk_lost &= !(view.chain.iter().any(|id| *id == node.id) && view.learner != node.id);
            }
        }
        let lost = self.registries.iter().filter(|node| node.is_disk_lost).count();
        let losses = self.plan.losses;
        self.rules.check_synced_copies(self.now, CoreCopies { entry, synced, losses, lost });
    }

    fn newest_view(&self) -> Option<View> {
        let known = self.registries.iter().map(|node| match &node.core {
            Some(core) => core.replica().view(),
            None => &node.disk.meta.view,
        });
        known.max_by_key(|view| view.number).filter(|view| view.number > 0).cloned()
    }

    /// Who is in trouble now, and who hears from no other.
    pub(crate) fn update_disturbances(&mut self) {
        let live = self.live_registries();
        for n in live.iter().copied().filter(|n| self.is_disturbed(*n)).collect::<Vec<_>>() {
            self.registries[n].last_disturbed = self.now;
        }
        let now = self.now;
        let hears = |n: usize| {
            let from = |other: &usize| *other != n && self.registries[*other].core.is_some();
            let way = |other: usize| (NodeRef::Registry(other), NodeRef::Registry(n));
            live.iter().filter(|other| from(other)).any(|other| !self.net.cuts.contains(&way(*other)))
        };
        let isolated: Vec<bool> = (0..self.registries.len()).map(|n| !hears(n)).collect();
        let since = &mut self.core_rule_state.isolated_since;
        since.resize(isolated.len(), None);
        for (since, isolated) in since.iter_mut().zip(isolated) {
            *since = isolated.then(|| since.unwrap_or(now));
        }
    }

    /// Whatever is down or cut off now: the voters whose disks are there make a majority even after as many
    /// more disks are lost as may be.
    fn check_disks_of_voters(&mut self) {
        let Some(view) = self.newest_view() else { return };
        let kept = self.registries.iter().filter(|node| !node.retired || node.core.is_some());
        let kept: Vec<NodeId> = kept.map(|node| node.disk.meta.node.id).collect();
        let disks = view.voters.iter().filter(|node| kept.contains(&node.id)).count();
        let (all, more) = (view.voters.as_slice().len(), self.remaining_disk_losses());
        self.rules.check_disk_majority(self.now, all, disks, more);
    }

    fn check_calm_core(&mut self) {
        let live = self.live_registries();
        let leaving = |node: &crate::registry_node::RegistryNode| node.retired && node.core.is_some();
        if self.now < FIRST_CHECK {
            return;
        }
        self.check_disks_of_voters();
        if self.registries.iter().any(leaving) || !live.iter().all(|n| self.is_healthy(*n)) {
            return;
        }
        let Some(view) = self.newest_view() else { return };
        let running: Vec<NodeId> = live.iter().map(|n| self.registries[*n].id).collect();
        let voters = view.voters.iter().filter(|node| running.contains(&node.id)).count();
        let chained = view.chain.iter().filter(|id| running.contains(id)).count();
        let calm_since = self.registries.iter().map(|node| node.last_disturbed.max(node.retired_at)).max();
        let absent = running.len() - chained;
        let all = view.voters.as_slice().len();
        self.rules.check_loss_tolerance(self.now, all, voters, chained, self.plan.losses);
        self.rules.check_all_in_chain(self.now, calm_since.unwrap_or_default(), absent);
    }
}
