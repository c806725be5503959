//! Preemption when the workers' memory is full. An owner with waiting callers asks all owners to free memory, and
//! each stops at most one idle instance per interval: instances of functions with several first, then those of the
//! tenant with most instances on the platform's list, longest idle first. If the asking function has no instance and
//! none is idle, the largest function of the largest tenant drains a busy one. A function's last instance is stopped
//! only for a function that has none. A preempted function starts no instance for a while, which is shorter if
//! callers wait for it.

use crate::function_owner::FunctionOwner;
use crate::instance::{InstanceEvent, Phase};
use crate::owner_types::OwnerOutput;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::ForwardMessage;

/// Minimum time between two preemptions by one owner.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(250);
/// How long a preempted function without queued requests starts no instance.
const PREEMPTION_COOLDOWN: Duration = Duration::from_secs(10);
/// How long functions that have instances do not grow after a function that has none asked for memory.
const GROWTH_PAUSE: Duration = Duration::from_millis(800);
/// How long a preempted function with queued requests starts no instance, so that it does not take the memory back at
/// once. With an empty queue it is the shorter `GROWTH_PAUSE`.
const RESTART_PAUSE: Duration = Duration::from_secs(3);
/// Minimum idle time of an instance before it may be preempted.
const MIN_IDLE_TIME: Duration = Duration::from_millis(250);

impl FunctionOwner {
    /// Asks all owners to free memory for a function with queued requests.
    pub(crate) fn request_preemption(&mut self, name: &str) {
        let Some(scheduler) = self.schedulers.get(name) else { return };
        if scheduler.queued.is_empty() {
            return;
        }
        let memory_mb = scheduler.function.memory_mb;
        for to in self.membership.owners() {
            let message = ForwardMessage::Preempt { function: name.into(), memory_mb };
            self.outs.push(OwnerOutput::Forward { to, message });
        }
    }

    /// Returns the number of instances of each tenant, by the platform's latest list.
    fn instances_per_tenant(&self) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for (name, count) in &self.listed_counts {
            *counts.entry(tenant_of(name)).or_default() += count;
        }
        counts
    }

    fn has_listed_instances(&self, function: &str) -> bool {
        self.listed_counts.get(function).is_some_and(|count| *count > 0)
    }

    /// Returns an instance, busy or not, of the largest function of the tenant with most instances. Requires that this
    /// router owns that function, that the asking function has no instance, and that its tenant has fewer instances.
    fn find_busy_instance(&self, asking: &str) -> Option<(String, String)> {
        let counts = self.instances_per_tenant();
        let (largest_tenant, largest_count) = counts.iter().max_by_key(|(tenant, count)| (**count, **tenant))?;
        let asking_count = counts.get(tenant_of(asking)).copied().unwrap_or_default();
        if self.has_listed_instances(asking) || asking_count + 1 >= *largest_count {
            return None;
        }
        let functions = self.listed_counts.iter().filter(|(name, _)| tenant_of(name) == *largest_tenant);
        let (name, _) = functions.max_by_key(|(name, count)| (**count, *name))?;
        let scheduler = self
            .schedulers
            .get(name)
            .filter(|scheduler| scheduler.leaving.is_none() && scheduler.count(Phase::Ready) > 1)?;
        let ready = scheduler.instances.iter().filter(|(_, instance)| instance.phase() == Phase::Ready);
        ready.min_by_key(|(_, instance)| instance.busy).map(|(id, _)| (name.clone(), id.clone()))
    }

    /// Handles another owner's request for memory: drains an instance if one may be preempted.
    pub(crate) fn handle_preemption(&mut self, asking: &str) {
        let now = self.now;
        if !self.has_listed_instances(asking) {
            self.no_growth_until = now + GROWTH_PAUSE;
        }
        if now < self.last_preemption_at + PREEMPTION_INTERVAL {
            return;
        }
        let (instances_per_tenant, has_own) = (self.instances_per_tenant(), self.has_listed_instances(asking));
        let idle = self.schedulers.iter().filter(|(name, scheduler)| {
            let is_above_minimum =
                scheduler.count(Phase::Ready) > scheduler.function.fixed.unwrap_or(scheduler.function.min);
            let is_last = scheduler.count(Phase::Ready) < 2;
            name.as_str() != asking
                && scheduler.queued.is_empty()
                && scheduler.leaving.is_none()
                && is_above_minimum
                && !(has_own && is_last)
        });
        let selected = idle
            .flat_map(|(name, scheduler)| {
                scheduler.instances.iter().map(move |(id, instance)| (name, scheduler, id, instance))
            })
            .filter(|(_, _, _, instance)| instance.phase() == Phase::Ready && instance.busy == 0)
            .filter(|(_, _, _, instance)| now > instance.last_used_at + MIN_IDLE_TIME)
            .min_by_key(|(_, scheduler, id, instance)| {
                let share = instances_per_tenant.get(scheduler.function.tenant.as_str()).copied().unwrap_or_default();
                (scheduler.count(Phase::Ready) < 2, std::cmp::Reverse(share), instance.last_used_at, (*id).clone())
            })
            .map(|(name, _, id, _)| (name.clone(), id.clone()));
        let Some((name, id)) = selected.or_else(|| self.find_busy_instance(asking)) else { return };
        self.last_preemption_at = now;
        if let Some(scheduler) = self.schedulers.get_mut(&name) {
            scheduler.preempted_until = now + PREEMPTION_COOLDOWN;
            scheduler.no_starts_until = now + if scheduler.queued.is_empty() { GROWTH_PAUSE } else { RESTART_PAUSE };
            if let Some(instance) = scheduler.instances.get_mut(&id) {
                instance.apply(InstanceEvent::Drain);
            }
        }
    }
}

fn tenant_of(function: &str) -> &str {
    function.split('/').next().unwrap_or_default()
}
