//! Rules on the registries as a whole: how many synced copies of each committed entry exist, whether a majority
//! of voters would remain after the tolerated number of further losses, how soon after the last disturbance the
//! core tolerates losses again and all registries are back in the chain, and that no isolated registry
//! acknowledges a change.

use crate::rules::Rules;
use crate::world::World;
use std::time::Duration;
use wire::{NodeId, View};

/// Time without disturbance after which every registry must be back in the chain.
const REJOIN_BOUND: Duration = Duration::from_secs(20);
/// Time after the start of a cut in which frames already in flight may still lead to an acknowledgement.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(1500);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time of the first check of the whole core: by then it is founded and all registries have joined.
const FIRST_CHECK: Duration = Duration::from_secs(13);

/// Number of synced copies of a committed entry, and the figures that determine how many are required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreCopies {
    pub entry: u64,
    pub synced: usize,
    pub losses: usize,
    /// Lost disks whose registry is not yet back in the chain.
    pub lost: usize,
}

/// State that the rules on the core keep between steps.
#[derive(Default)]
pub struct CoreRuleState {
    last_check: Duration,
    committed: u64,
    view: u64,
    lost: usize,
    /// By registry: since when it has received nothing from any other registry, if it is isolated.
    pub(crate) isolated_since: Vec<Option<Duration>>,
}

impl Rules {
    /// Checks that each committed entry is synced on one disk more than may be lost, not counting the disks that
    /// are already lost.
    pub fn check_synced_copies(&mut self, now: Duration, copies: CoreCopies) {
        let wanted = (copies.losses + 1).saturating_sub(copies.lost).max(1);
        if copies.synced < wanted {
            let CoreCopies { entry, synced, .. } = copies;
            self.report_violation(
                now,
                format!("entry {entry} is committed with {synced} synced copies, {wanted} are required"),
            );
        }
    }

    /// Checks that after the tolerated number of further losses a majority of the voters and at least one copy remain.
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

    /// Checks that the voters with an intact disk remain a majority after the disk losses that may still happen.
    pub fn check_disk_majority(&mut self, now: Duration, voters: usize, disks: usize, more: usize) {
        if disks.saturating_sub(more) * 2 <= voters {
            self.report_violation(
                now,
                format!("{disks} of {voters} voters have their disks, and {more} more may be lost now"),
            );
        }
    }

    /// Checks that every registry has rejoined the chain once the time for it has passed without disturbance.
    pub fn check_all_in_chain(&mut self, now: Duration, calm_since: Duration, absent: usize) {
        if absent > 0 && now > calm_since + REJOIN_BOUND {
            let calm = (now - calm_since).as_secs();
            self.report_violation(
                now,
                format!("{absent} registries are not in the chain after {calm} s without disturbance"),
            );
        }
    }

    /// Checks an acknowledgement by a registry that has been isolated since the given time, if it is.
    pub fn check_isolated_acknowledgement(&mut self, now: Duration, isolated_since: Option<Duration>) {
        if let Some(since) = isolated_since.filter(|since| now > *since + IN_FLIGHT_TIME) {
            self.report_violation(
                now,
                format!(
                    "a change was acknowledged by a registry that has been isolated for {} ms",
                    (now - since).as_millis()
                ),
            );
        }
    }
}

impl World {
    pub(crate) fn change_acknowledged_by(&mut self, n: usize) {
        // Updated here because another registry may have started since the last check.
        self.update_disturbances();
        let isolated = self.core_rule_state.isolated_since.get(n).copied().flatten();
        self.rules.check_isolated_acknowledgement(self.now, isolated);
        self.fire_trigger(crate::triggered_faults::Trigger::ChangeAcknowledged, n);
    }

    /// Runs after each step. Checks the copies when an entry was committed, a view adopted or a disk lost; checks
    /// everything else ten times a second.
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
            // An entry that came with a full copy, or was trimmed, isn't in the log and can't be compared.
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

    /// Checks, whatever is down or cut off now, that the voters with an intact disk make a majority even after the
    /// disk losses that may still happen.
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
