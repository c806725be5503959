//! Rules on returning chain members: without disturbances a running member catches up with all committed entries
//! within a bound, and every full member of the newest view holds all acknowledged changes.

use crate::faults::Repair;
use crate::world::{Event, NodeRef, World};
use chain::ChainReplica;
use control::{CoreInput, read_number};
use rand::RngExt;
use std::time::Duration;

/// Time from the end of the last disturbance until one more registry is a caught-up member. Several joining
/// registries are added one after another.
const JOIN_BOUND: Duration = Duration::from_secs(4);
/// Number of registries that found a cluster; the others join.
const FOUNDERS: usize = 3;
/// Time until all members know that an entry is committed: a frame takes up to 0.4 s here, and others queue behind it.
const COMMIT_SPREAD_TIME: Duration = Duration::from_millis(1500);

/// The committed position as known a short time ago, and statistics of the catch-up check.
#[derive(Default)]
pub struct CatchUpState {
    sampled_at: Duration,
    committed_earlier: u64,
    committed_newest: u64,
    /// Number of the newest view ever adopted by a registry, whether or not it is running now.
    newest_view: u64,
    roles_checked_at: Duration,
    /// Number of checks made after the time bound had passed.
    pub judged_checks: u64,
    pub longest_wait: Duration,
}

impl World {
    /// Frees a full disk while the process keeps running.
    pub(crate) fn free_disk(&mut self, n: usize) {
        if let Some(until) = self.frozen_until(NodeRef::Registry(n)) {
            return self.schedule_at(until, Event::Repair { repair: Repair::FreeDisk(n) });
        }
        let landed = self.rng.random_ratio(1, 3);
        let node = &mut self.registries[n];
        node.full = false;
        if !std::mem::take(&mut node.refused_write) || node.core.is_none() {
            return;
        }
        if let Some((_, batch)) = node.pending.take()
            && landed
        {
            node.disk.apply(&batch);
        }
        let stored = Box::new(node.disk.clone());
        self.log(|| format!("the disk of registry {n} has room again"));
        self.feed_registry(n, CoreInput::DiskRecovered { stored });
    }

    fn members_up(&self) -> impl Iterator<Item = (usize, &ChainReplica)> {
        let cores = self.registries.iter().enumerate().filter(|(_, node)| !node.retired);
        cores.filter_map(|(n, node)| node.core.as_ref().map(|core| (n, core.replica())))
    }

    /// Checks that running members catch up in time after the last disturbance.
    pub fn check_caught_up(&mut self) {
        let now = self.now;
        if now >= self.catch_up.sampled_at + COMMIT_SPREAD_TIME {
            self.catch_up.sampled_at = now;
            self.catch_up.committed_earlier = self.catch_up.committed_newest;
            self.catch_up.committed_newest =
                self.members_up().map(|(_, member)| member.positions().committed).max().unwrap_or_default();
        }
        let earlier = self.catch_up.committed_earlier;
        let behind = |member: &ChainReplica| !member.is_in_chain() || member.positions().committed < earlier;
        let all_running = self.members_up().count() == self.live_registries().len();
        let late = self.members_up().find(|(_, member)| behind(member)).map(|(n, member)| (n, member.positions()));
        // A planned stop isn't a disturbance, but takes a member out of the chain.
        let troubles = self.registries.iter().map(|node| node.last_disturbed);
        let disturbed = troubles.fold(self.last_disturbance.0, Duration::max);
        let calm = now.saturating_sub(disturbed);
        let joiners = (self.registries.len() - FOUNDERS).max(1) as u32;
        let bound = JOIN_BOUND * joiners;
        if !all_running || calm.is_zero() {
            return;
        }
        match late {
            Some((n, positions)) if calm > bound => {
                let message =
                    format!("registry {n} is not caught up {} ms after the last disturbance", calm.as_millis());
                self.rules.report_violation(now, format!("{message}: {positions:?}, {earlier} was committed"));
            }
            Some(_) => self.catch_up.longest_wait = self.catch_up.longest_wait.max(calm),
            None => self.catch_up.judged_checks += u64::from(calm > bound),
        }
    }

    /// Checks that the head, the tail and all other full members of the newest view hold every acknowledged change.
    pub fn check_roles(&mut self) {
        let now = self.now;
        if now < self.catch_up.roles_checked_at + Duration::from_millis(20) {
            return;
        }
        self.catch_up.roles_checked_at = now;
        let acknowledged = self.operators.acked.iter().map(|(revision, ..)| *revision).max().unwrap_or_default();
        let known = self.members_up().map(|(_, member)| member.view().number).max().unwrap_or_default();
        let newest = self.catch_up.newest_view.max(known);
        self.catch_up.newest_view = newest;
        let behind = self.members_up().find_map(|(n, member)| {
            let view = member.view();
            let has_role = view.number == newest && member.is_in_chain() && view.learner != member.node().id;
            let holds = read_number(member.state(), "c/latest-revision");
            (has_role && holds < acknowledged).then_some((n, holds, member.is_head(), member.is_current_tail()))
        });
        if let Some((n, holds, head, tail)) = behind {
            let role = if head {
                "head"
            } else if tail {
                "tail"
            } else {
                "member"
            };
            self.rules.report_violation(
                now,
                format!("registry {n} is {role} at revision {holds}, though {acknowledged} was acknowledged"),
            );
        }
    }
}
