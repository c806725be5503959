//! Instance starts. Each start has its own nonce, under which it is ordered until its outcome is known, so that one
//! start never creates two instances. If a worker has no room, another is tried at once. An unanswered order is sent
//! again; after several attempts the provider's list decides.

use crate::function_owner::FunctionOwner;
use crate::instance::{Instance, InstanceEvent, PendingStart, Phase};
use crate::owner_types::OwnerOutput;
use crate::placement::Placement;
use events::event;
use instance_provider::{ProviderOrder, StartOrder, StartReply};
use std::time::Duration;

/// Pause in a function's starts after no worker had room.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(1000);
/// Pause after too many calls to the provider, and after no worker had room for a function whose requests wait without
/// any instance.
const LIMITED_PAUSE: Duration = Duration::from_millis(250);
/// Pause in a function's starts after the provider refused one.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// Base of the exponential backoff after an unanswered order.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_START_ATTEMPTS: u32 = 6;
/// Maximum number of workers on which one start is ordered.
const MAX_WORKERS_TRIED: u32 = 4;
/// Fraction of the average start time after which probing a new instance is worthwhile.
const FIRST_PROBE_AT_BOOT_FRACTION: f64 = 0.45;
/// How long a new instance is probed: this multiple of the average start time, and the extension below.
const PROBED_BOOT_TIMES: u32 = 6;
const PROBE_EXTENSION: Duration = Duration::from_secs(2);

/// Returns how long a new instance is probed.
pub(crate) fn probe_limit(boot: Duration) -> Duration {
    boot * PROBED_BOOT_TIMES + PROBE_EXTENSION
}

impl FunctionOwner {
    /// Orders a new instance. Returns false if no worker may take it now.
    pub(crate) fn start(&mut self, name: &str) -> bool {
        let placed = self.place(name);
        let worker = match placed {
            Placement::On(worker) => worker,
            Placement::Wait => return false,
            Placement::Full => {
                self.record_no_capacity(name);
                return false;
            }
        };
        let number = self.next_number();
        let nonce = format!("{:x}-{:x}-{number:x}", self.me, self.incarnation & 0xffff_ffff);
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return false };
        scheduler.instances.insert(nonce.clone(), Instance::pending(now));
        self.order_start(name, &nonce, worker);
        true
    }

    fn place(&self, name: &str) -> Placement {
        let Some(scheduler) = self.schedulers.get(name) else { return Placement::Wait };
        let counts = |instance: &&Instance| matches!(instance.phase(), Phase::Ready | Phase::Starting);
        let place = |instance: &Instance| {
            let zone = self.workers.zone_of(&instance.worker).unwrap_or(&instance.zone);
            (instance.worker.clone(), zone.to_owned())
        };
        let others: Vec<(String, String)> = scheduler.instances.values().filter(counts).map(place).collect();
        let zone = self.membership.member(self.me).map_or("", |line| line.zone.as_str());
        self.workers.select(self.now, name, scheduler.function.memory_mb, zone, &others)
    }

    fn order_start(&mut self, name: &str, nonce: &str, worker: Option<String>) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let memory_mb = scheduler.function.memory_mb;
        let Some(instance) = scheduler.instances.get_mut(nonce) else { return };
        let Some(pending) = &mut instance.pending else { return };
        pending.requested = true;
        instance.worker = worker.clone().unwrap_or_default();
        if let Some(worker) = &worker {
            self.workers.record_order(now, worker, memory_mb);
        }
        event!(start_ordered, "{name} as {nonce} on {}", instance.worker);
        let (nonce, service, fence) = (nonce.to_owned(), name.to_owned(), self.membership.number);
        self.outs.push(OwnerOutput::ProviderOrder(ProviderOrder::Start(StartOrder {
            nonce,
            service,
            worker,
            memory_mb,
            fence,
        })));
    }

    /// Sends orders again whose retry time has come, and drops pending starts that are no longer wanted.
    pub(crate) fn pending_pass(&mut self) {
        let now = self.now;
        let mut due: Vec<(String, String)> = Vec::new();
        for (name, scheduler) in self.schedulers.iter_mut().filter(|(_, scheduler)| !scheduler.instances.is_empty()) {
            let waits = |instance: &Instance| instance.pending.as_ref().is_some_and(|pending| !pending.requested);
            scheduler.instances.retain(|_, instance| !waits(instance) || instance.phase() == Phase::Starting);
            if scheduler.leaving.is_some() || scheduler.adopting.is_some() {
                continue;
            }
            let retry_at =
                |instance: &Instance| instance.pending.as_ref().is_some_and(|p| !p.requested && now >= p.retry_at);
            let nonces = scheduler.instances.iter().filter(|(_, instance)| retry_at(instance)).map(|(nonce, _)| nonce);
            due.extend(nonces.map(|nonce| (name.clone(), nonce.clone())));
        }
        for (name, nonce) in due {
            if self.starts_left < 1.0 {
                return;
            }
            let Some(instance) = self.schedulers.get(&name).and_then(|scheduler| scheduler.instances.get(&nonce))
            else {
                continue;
            };
            let same_worker = Some(instance.worker.clone()).filter(|worker| !worker.is_empty());
            let placed = same_worker.map_or_else(|| self.place(&name), |worker| Placement::On(Some(worker)));
            if let Placement::On(worker) = placed {
                self.starts_left -= 1.0;
                self.order_start(&name, &nonce, worker);
            }
        }
    }

    /// Handles the provider's reply to the order of a start.
    pub(crate) fn handle_start_reply(&mut self, nonce: &str, reply: StartReply) {
        let now = self.now;
        let owning = self.schedulers.iter().find(|(_, scheduler)| scheduler.instances.contains_key(nonce));
        let Some(name) = owning.map(|(name, _)| name.clone()) else { return };
        let Some(scheduler) = self.schedulers.get_mut(&name) else { return };
        let Some(instance) = scheduler.instances.get_mut(nonce) else { return };
        let is_wanted = instance.phase() == Phase::Starting;
        let Some(pending) = &mut instance.pending else { return };
        pending.requested = false;
        match reply {
            StartReply::Accepted { id, address } => self.handle_accepted_start(&name, nonce, id, address),
            _ if !is_wanted => drop(scheduler.instances.remove(nonce)),
            StartReply::Unanswered => {
                pending.resends += 1;
                pending.retry_at = now + START_RETRY_INTERVAL * 2u32.pow(pending.resends.min(4));
                event!(platform_call_failed, "start {nonce} unanswered");
                if pending.resends >= MAX_START_ATTEMPTS {
                    scheduler.instances.remove(nonce);
                }
            }
            StartReply::RateLimited => {
                event!(platform_call_failed, "start {nonce}: too many calls");
                pending.retry_at = now + LIMITED_PAUSE;
            }
            StartReply::Refused => {
                event!(platform_call_failed, "start {nonce} refused");
                scheduler.instances.remove(nonce);
                scheduler.no_starts_until = now + REFUSED_PAUSE;
            }
            StartReply::InsufficientMemory => {
                event!(platform_call_failed, "start {nonce}: no room on {}", instance.worker);
                pending.workers_tried += 1;
                let workers_tried = pending.workers_tried;
                let worker = std::mem::take(&mut instance.worker);
                self.workers.record_refusal(now, &worker, scheduler.function.memory_mb);
                match self.place(&name) {
                    Placement::On(next @ Some(_)) if workers_tried < MAX_WORKERS_TRIED && !worker.is_empty() => {
                        self.order_start(&name, nonce, next)
                    }
                    _ => {
                        if let Some(scheduler) = self.schedulers.get_mut(&name) {
                            scheduler.instances.remove(nonce);
                        }
                        self.record_no_capacity(&name);
                    }
                }
            }
        }
    }

    /// Replaces the nonce of a start by the provider's instance id. An instance already known from the list under this
    /// id is the same one.
    fn handle_accepted_start(&mut self, name: &str, nonce: &str, id: String, address: String) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let Some(mut instance) = scheduler.instances.remove(nonce) else { return };
        instance.pending = None;
        if self.stopped.contains_key(&id) {
            return;
        }
        if let Some(known) = scheduler.instances.get_mut(&id) {
            known.worker = instance.worker;
            return;
        }
        instance.address = address.clone();
        if self.leaving_instances.contains_key(&id) {
            instance.apply(InstanceEvent::Drain);
        }
        if instance.phase() == Phase::Starting {
            let boot = scheduler.boot_time();
            let after = (instance.ordered_at + boot.mul_f64(FIRST_PROBE_AT_BOOT_FRACTION)).saturating_sub(now);
            self.outs.push(OwnerOutput::Probe { id: id.clone(), address, after, limit: probe_limit(boot) });
        }
        scheduler.instances.insert(id, instance);
    }

    /// Pauses a function's starts because no worker has room. If callers wait, other owners are asked to preempt an
    /// instance.
    fn record_no_capacity(&mut self, name: &str) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let starts_from_zero = scheduler.instances.is_empty() && !scheduler.queued.is_empty();
        scheduler.no_starts_until = now + if starts_from_zero { LIMITED_PAUSE } else { NO_CAPACITY_PAUSE };
        self.request_preemption(name);
    }
}

impl PendingStart {
    /// Returns a pending start, which may be one handed over by another owner whose order is still in flight.
    pub(crate) fn handed_over(now: Duration) -> PendingStart {
        PendingStart { requested: false, resends: 0, workers_tried: 0, retry_at: now }
    }
}
