//! Reconciles the provider's reports with this owner's own orders. The provider's list lags: an instance ordered lately
//! may be missing, and one stopped lately may still be listed. As soon as an instance is known to be leaving or gone,
//! nothing more is sent to it; an instance without an owner is stopped.

use crate::function_owner::FunctionOwner;
use crate::instance::{Instance, InstanceEvent, Phase};
use crate::owner_types::OwnerOutput;
use crate::starting::probe_limit;
use events::event;
use instance_provider::{InstanceLine, InstanceState, ProviderOrder, ProviderReport, StopReply, WorkerLine};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an instance of a function without a binding is kept before it is stopped.
const UNBOUND_INSTANCE_TTL: Duration = Duration::from_secs(15);
/// Delay before a stop is ordered again after the provider refused it for too many calls.
const RATE_LIMITED_PAUSE: Duration = Duration::from_millis(300);
/// Delay before a stop without a reply is ordered again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(800);
/// A start counts as lost with its worker only if a list without that worker was requested at least this long after the
/// order.
const MIN_CRASH_REPORT_AGE: Duration = Duration::from_millis(1500);
/// Delay before an instance that refused a connection is probed.
const REFUSED_PROBE_DELAY: Duration = Duration::from_millis(150);
/// How long such an instance is probed.
const REFUSED_PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

impl FunctionOwner {
    /// Handles a reply of the provider; `listed_at` is when a list was requested.
    pub(crate) fn handle_provider_report(&mut self, report: ProviderReport, listed_at: Duration) {
        match report {
            ProviderReport::Started { nonce, reply } => self.handle_start_reply(&nonce, reply),
            ProviderReport::Stopped { id, reply } => self.stop_reported(&id, reply),
            ProviderReport::Listed { listing, .. } => self.handle_listing(listing, listed_at),
            ProviderReport::Workers { lines, .. } => self.handle_worker_list(lines, listed_at),
            ProviderReport::ListError => event!(platform_call_failed, "list"),
            ProviderReport::WorkersError => event!(platform_call_failed, "workers"),
        }
    }

    /// Handles the result of a probe. If no connection was made within its time limit, the provider's list decides.
    pub(crate) fn handle_probe_result(&mut self, id: &str, ready: bool) {
        let now = self.now;
        if !ready || self.leaving_instances.contains_key(id) || self.stopped.contains_key(id) {
            return;
        }
        for scheduler in self.schedulers.values_mut() {
            let Some(instance) = scheduler.instances.get_mut(id) else { continue };
            match instance.phase() {
                Phase::Starting => {
                    scheduler.measurement.record_boot(now.saturating_sub(instance.ordered_at));
                    instance.apply(InstanceEvent::Ready);
                }
                Phase::Gone if instance.lost_at.take().is_some() => instance.apply(InstanceEvent::Reconnected),
                _ => {}
            }
        }
    }

    /// Marks an instance that refused a connection as lost: nothing more is sent to it unless it soon accepts one
    /// again.
    pub(crate) fn mark_lost(&mut self, name: &str, id: &str) {
        let Some(instance) = self.schedulers.get_mut(name).and_then(|scheduler| scheduler.instances.get_mut(id)) else {
            return;
        };
        if instance.phase() != Phase::Ready {
            return;
        }
        instance.apply(InstanceEvent::Lost);
        instance.lost_at = Some(self.now);
        let (id, address) = (id.to_owned(), instance.address.clone());
        self.outs.push(OwnerOutput::Probe { id, address, after: REFUSED_PROBE_DELAY, limit: REFUSED_PROBE_TIMEOUT });
    }

    fn stop_reported(&mut self, id: &str, reply: StopReply) {
        let now = self.now;
        for scheduler in self.schedulers.values_mut() {
            let Some(instance) = scheduler.instances.get_mut(id) else { continue };
            match reply {
                StopReply::Accepted | StopReply::Unknown if instance.busy == 0 => drop(scheduler.instances.remove(id)),
                StopReply::Accepted | StopReply::Unknown => {}
                StopReply::RateLimited => instance.retry_stop_at = now + RATE_LIMITED_PAUSE,
                StopReply::Unanswered => instance.retry_stop_at = now + UNANSWERED_PAUSE,
            }
        }
    }

    /// Applies a list of workers: instances starting on a worker that is no longer listed are dropped.
    pub(crate) fn apply_worker_list(&mut self, lines: Vec<WorkerLine>, requested_at: Duration) {
        self.workers.update(lines, requested_at);
        let workers = &self.workers;
        for scheduler in self.schedulers.values_mut().filter(|scheduler| !scheduler.instances.is_empty()) {
            scheduler.instances.retain(|_, instance| {
                let is_starting = instance.phase() == Phase::Starting && instance.pending.is_none();
                let is_list_recent = requested_at > instance.ordered_at + MIN_CRASH_REPORT_AGE;
                let is_worker_down = !instance.worker.is_empty() && !workers.knows(&instance.worker);
                !is_starting || !is_list_recent || !is_worker_down
            });
        }
    }

    /// Applies an instance list requested at the given time. That time is exact if `is_own`, that is, if this owner
    /// requested the list itself.
    pub(crate) fn apply_listing(
        &mut self,
        list: &BTreeMap<String, InstanceLine>,
        requested_at: Duration,
        is_own: bool,
    ) {
        let now = self.now;
        let mut by_function: BTreeMap<&str, Vec<&InstanceLine>> = BTreeMap::new();
        let leaving = list.values().filter(|line| line.state == InstanceState::Leaving);
        self.leaving_instances.extend(leaving.map(|line| (line.id.clone(), now)));
        for line in list.values() {
            by_function.entry(&line.service).or_default().push(line);
        }
        self.listed_counts = by_function.iter().map(|(name, lines)| ((*name).to_owned(), lines.len() as u32)).collect();
        let mut never_listed = Vec::new();
        for (name, scheduler) in &mut self.schedulers {
            let lines = by_function.remove(name.as_str()).unwrap_or_default();
            let list_timeout = self.settings.start_expiry.max(probe_limit(scheduler.boot_time()));
            let known: BTreeMap<&str, &InstanceLine> = lines.iter().map(|line| (line.id.as_str(), *line)).collect();
            for (id, instance) in scheduler.instances.iter_mut().filter(|(_, instance)| instance.pending.is_none()) {
                match known.get(id.as_str()) {
                    Some(line) => {
                        instance.update_from_line(line);
                        match line.state {
                            InstanceState::Running
                                if instance.stop_ordered_at.is_none() && !self.leaving_instances.contains_key(id) =>
                            {
                                instance.apply(InstanceEvent::Ready)
                            }
                            InstanceState::Leaving => instance.apply(InstanceEvent::Drain),
                            _ => {}
                        }
                    }
                    None if instance.listed => instance.apply(InstanceEvent::Lost),
                    None if requested_at > instance.ordered_at + list_timeout => {
                        instance.apply(InstanceEvent::Lost);
                        never_listed.push(id.clone());
                    }
                    None => {}
                }
            }
            let gone = |instance: &Instance| instance.phase() == Phase::Gone && instance.busy == 0;
            scheduler.instances.retain(|id, instance| !gone(instance) || known.contains_key(id.as_str()));
            if scheduler.leaving.is_none() {
                for line in &lines {
                    let is_ending =
                        self.stopped.contains_key(&line.id) || self.leaving_instances.contains_key(&line.id);
                    if !is_ending && !scheduler.instances.contains_key(&line.id) {
                        let mut instance = Instance::new(now, &line.address);
                        instance.update_from_line(line);
                        if line.state == InstanceState::Running {
                            instance.apply(InstanceEvent::Ready);
                        }
                        scheduler.instances.insert(line.id.clone(), instance);
                    }
                }
                if let Some((since, _)) = scheduler.adopting
                    && is_own
                    && requested_at > since
                {
                    scheduler.adopting = Some((since, true));
                }
            }
        }
        never_listed.into_iter().for_each(|id| self.stop(id, "which was never listed"));
        self.stop_orphans(by_function);
    }

    /// Orders the stop of an instance once.
    fn stop(&mut self, id: String, reason: &str) {
        if self.stopped.insert(id.clone(), self.now).is_none() {
            event!(stop_ordered, "{id}, {reason}");
            self.outs.push(OwnerOutput::ProviderOrder(ProviderOrder::Stop { id, fence: self.membership.number }));
        }
    }

    /// Stops instances of functions that have no binding any more, if this router would own the function by its name.
    fn stop_orphans(&mut self, left: BTreeMap<&str, Vec<&InstanceLine>>) {
        let now = self.now;
        let Some(routes) = self.routes.clone() else { return };
        let would_own = |name: &str| routes.function(name).is_none() && self.is_owner(name);
        let orphans: Vec<String> = left
            .into_iter()
            .filter(|(name, _)| would_own(name))
            .flat_map(|(_, lines)| lines)
            .map(|line| line.id.clone())
            .collect();
        self.unbound_since.retain(|id, _| orphans.contains(id));
        for id in orphans {
            let since = *self.unbound_since.entry(id.clone()).or_insert(now);
            if now > since + UNBOUND_INSTANCE_TTL {
                self.stop(id, "of a function without a binding");
            }
        }
    }
}

impl Instance {
    fn update_from_line(&mut self, line: &InstanceLine) {
        self.listed = true;
        if self.address.is_empty() {
            self.address = line.address.clone();
        }
        if !line.worker.is_empty() {
            self.worker = line.worker.clone();
        }
        self.zone = line.zone.clone();
    }
}
