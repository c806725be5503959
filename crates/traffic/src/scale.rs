//! Matching instances to the plan: each scheduler's player says a count, starts go out under this
//! router's share of the platform's allowance with waking functions first, and stops drain before
//! they are ordered. Samples for the forecast are taken on the way.

use crate::function_owner::FunctionOwner;
use crate::instance::{InstanceEvent, Phase};
use crate::owner_types::OwnerOutput;
use events::event;
use instance_provider::ProviderOrder;
use scaler::FunctionState;
use std::time::Duration;
use wire::{DemandSample, PlanMessage};

const SCALE_INTERVAL: Duration = Duration::from_millis(100);
const BURST: f64 = 8.0;
const MAX_PLAN_REQUESTS_PER_PASS: usize = 8;
const OBSERVATION_TTL: Duration = Duration::from_secs(90);
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// One that refused a connection and is still listed so long after is stopped.
const LOST_INSTANCE_TTL: Duration = Duration::from_secs(4);

impl FunctionOwner {
    pub(crate) fn tick(&mut self) {
        self.handover_pass();
        self.standby_pass();
        self.expire_grants();
        self.expire_pass();
        self.store_pass();
        self.deferred_pass();
        self.inventory_pass();
        if self.now < self.scaled + SCALE_INTERVAL {
            return;
        }
        let lasted = self.now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.now;
        self.scaled = self.now;
        let owners = self.inventory.owners().max(1) as f64;
        self.starts_left = (self.starts_left + lasted * self.timing.starts_per_second / owners).min(BURST);
        let overlay = self.timing.overlay;
        let now = self.now;
        self.stopped.retain(|_, at| now < *at + overlay);
        self.leaving.retain(|_, at| now < *at + overlay);
        self.seen.retain(|_, at| now < *at + OBSERVATION_TTL);
        self.finished.retain(|_, at| now < *at + overlay * 2);
        if self.may_serve {
            self.scale_pass();
        }
        self.sample_pass();
    }

    fn scale_pass(&mut self) {
        let now = self.now;
        self.pending_pass();
        let mut wanting: Vec<(bool, f64, u32, String)> = Vec::new();
        let mut asks_left = MAX_PLAN_REQUESTS_PER_PASS;
        for name in self.by_need() {
            let request_id = self.number();
            let bound = self.routes.as_ref().is_some_and(|routes| routes.function(&name).is_some());
            let Some(scheduler) = self.schedulers.get_mut(&name) else { continue };
            if scheduler.leaving.is_some() || scheduler.adopting.is_some() {
                continue;
            }
            scheduler.grow_back(now);
            scheduler.load.update(now, scheduler.arrivals);
            scheduler.usual.update(scheduler.mean_time);
            let (ready, starting) = (scheduler.count(Phase::Ready), scheduler.count(Phase::Starting));
            let queued =
                scheduler.queued.iter().filter(|n| self.tasks.get(n).is_some_and(|t| now >= t.not_before)).count()
                    as u32;
            let situation = FunctionState {
                running: ready,
                starting,
                queued,
                in_flight: scheduler.in_flight,
                capacity: scheduler.capacity(),
                min: scheduler.function.min,
                max: scheduler.function.max,
                fixed: scheduler.function.fixed,
                may_request_plan: asks_left > 0,
                live_demand: scheduler.instances_for_load(now),
            };
            let before = scheduler.player.fallbacks;
            let decision = scheduler.player.step(now, request_id, situation, &self.timing.player);
            if scheduler.player.fallbacks > before {
                event!(plan_fallback, "{name}");
            }
            let is_idle = queued == 0 && scheduler.in_flight == 0 && scheduler.function.fixed.is_none();
            let sleeps = is_idle && !scheduler.is_kept_idle(now, self.timing.start_gb_seconds);
            let desired = if sleeps { decision.desired.min(scheduler.function.min) } else { decision.desired };
            scheduler.desired = if bound { desired } else { 0 };
            asks_left -= usize::from(decision.requests_plan);
            if decision.requests_plan && bound {
                let message = PlanMessage::Request {
                    request_id,
                    function: name.as_str().into(),
                    current: ready + starting,
                    queued: if ready == 0 { queued } else { 0 },
                    waiting: if ready == 0 { 0 } else { queued },
                };
                self.plan_requests.insert(request_id, name.clone());
                self.outs.push(OwnerOutput::PlanRequest { message });
            }
            let count = ready + starting;
            let kept = scheduler.peak.update(now, scheduler.desired, scheduler.function.boot_time);
            let willing = now >= scheduler.refused_until && (queued > 0 || now >= scheduler.backs_off);
            let may_grow = count == 0 || now >= self.no_growth;
            if scheduler.desired > count && willing && may_grow {
                let waking = queued > 0 && count == 0;
                let more = if now < self.no_growth { 1 } else { scheduler.desired - count };
                wanting.push((waking, scheduler.function.player_weight, more, name));
            } else if kept < count {
                self.drain(&name, count - kept);
            }
        }
        self.stop_drained();
        wanting.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3)));
        for (_, _, count, name) in wanting {
            for _ in 0..count {
                if self.starts_left < 1.0 {
                    return;
                }
                if !self.start(&name) {
                    break;
                }
                self.starts_left -= 1.0;
            }
        }
        let oldest = self.next.saturating_sub(100_000);
        self.plan_requests.retain(|request_id, _| *request_id > oldest);
    }

    /// Functions that are awake, those whose callers wait first.
    fn by_need(&self) -> Vec<String> {
        let awake = self.schedulers.iter().filter(|(_, scheduler)| scheduler.is_awake());
        let (waited, others): (Vec<_>, Vec<_>) = awake.partition(|(_, scheduler)| !scheduler.queued.is_empty());
        waited.into_iter().chain(others).map(|(name, _)| name.clone()).collect()
    }

    /// Takes the least busy out of use, those still starting first where nobody waits for them.
    fn drain(&mut self, name: &str, count: u32) {
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let mut list: Vec<(u32, bool, String)> = scheduler
            .instances
            .iter()
            .filter(|(_, instance)| matches!(instance.phase(), Phase::Ready | Phase::Starting))
            .map(|(id, instance)| (instance.busy, instance.phase() == Phase::Ready, id.clone()))
            .collect();
        list.sort();
        for (_, _, id) in list.into_iter().take(count as usize) {
            if let Some(instance) = scheduler.instances.get_mut(&id) {
                instance.apply(InstanceEvent::Drain);
            }
        }
    }

    /// Stops what has drained and what was lost and is still listed; one that ended needs no call.
    fn stop_drained(&mut self) {
        let now = self.now;
        let fence = self.membership.number;
        for scheduler in self.schedulers.values_mut() {
            for (id, instance) in scheduler.instances.iter_mut().filter(|(_, instance)| instance.pending.is_none()) {
                let ended = match instance.phase() {
                    Phase::Draining => true,
                    Phase::Gone => instance.lost_at.is_some_and(|at| now > at + LOST_INSTANCE_TTL),
                    Phase::Starting | Phase::Ready => false,
                };
                let quiet = instance.busy == 0 && (instance.foreign_requests == 0 || now >= instance.foreign_until);
                if ended && quiet && (instance.stop_ordered_at.is_none() || now >= instance.retry_stop_at) {
                    instance.stop_ordered_at = Some(now);
                    instance.retry_stop_at = now + STOP_RETRY_INTERVAL;
                    self.stopped.insert(id.clone(), now);
                    event!(stop_ordered, "{id}");
                    self.outs.push(OwnerOutput::Supply(ProviderOrder::Stop { id: id.clone(), fence }));
                }
            }
        }
    }

    fn sample_pass(&mut self) {
        let now = self.now;
        self.close_empty_queues();
        for scheduler in self.schedulers.values_mut().filter(|scheduler| scheduler.is_awake()) {
            let queued = scheduler.queued.len() as f64;
            scheduler.looks += 1;
            let slots = f64::from(scheduler.count(Phase::Ready) * scheduler.function.instance_limit);
            scheduler.seen.usage_sum += f64::from(scheduler.in_flight) / slots.max(1.0);
            if scheduler.count(Phase::Ready) == 0 {
                scheduler.queued_sum += queued;
            } else {
                scheduler.waiting_sum += queued;
            }
        }
        if now < self.sampled + self.timing.sample {
            return;
        }
        let lasted = now.saturating_sub(self.sampled).as_secs_f64();
        self.sampled = now;
        let mut lines = Vec::new();
        let mut measures = Vec::new();
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.leaving.is_some() || (!scheduler.is_awake() && scheduler.sampled_zero) {
                continue;
            }
            scheduler.sampled_zero = !scheduler.is_awake();
            let looks = f64::from(scheduler.looks.max(1));
            lines.push(DemandSample {
                function: name.as_str().into(),
                rate_milli: (f64::from(scheduler.arrivals) * 1000.0 / lasted) as u64,
                response_micro: (scheduler.answer_time.as_micros() / u128::from(scheduler.answered.max(1))) as u64,
                waiting_milli: (scheduler.waiting_sum * 1000.0 / looks) as u64,
                queued_milli: (scheduler.queued_sum * 1000.0 / looks) as u64,
            });
            measures.extend(scheduler.take_measurement(name, looks));
            (scheduler.arrivals, scheduler.answered, scheduler.looks) = (0, 0, 0);
            (scheduler.answer_time, scheduler.waiting_sum, scheduler.queued_sum) = (Duration::ZERO, 0.0, 0.0);
        }
        if !lines.is_empty() {
            self.outs.push(OwnerOutput::Samples { lines });
        }
        if !measures.is_empty() {
            self.outs.push(OwnerOutput::Measures { lines: measures });
        }
    }

    pub(crate) fn handle_plan_reply(&mut self, message: PlanMessage) {
        if let PlanMessage::Tuned { fence, parameters: lines } = message {
            return self.receive_tuned_parameters(fence, lines.into_vec());
        }
        let PlanMessage::Reply { request_id, fence, step_ms, desired, .. } = message else { return };
        let Some(name) = self.plan_requests.remove(&request_id) else { return };
        let now = self.now;
        if let Some(scheduler) = self.schedulers.get_mut(&name) {
            let step = Duration::from_millis(step_ms.into());
            if scheduler.player.accept_plan(now, request_id, fence, desired.into_vec(), step) {
                event!(plan_received, "{name}: {:?}", scheduler.player.plan());
            }
        }
    }
}
