//! Scaling of instances to the plan. Each scheduler's plan player gives the desired count. Starts are ordered within
//! this router's share of the provider's start rate, first for functions whose requests wait without any instance.
//! Instances drain before their stop is ordered. Demand samples for the forecast are also taken here.

use crate::function_owner::FunctionOwner;
use crate::instance::{InstanceEvent, Phase};
use crate::owner_types::OwnerOutput;
use events::event;
use instance_provider::ProviderOrder;
use scaler::FunctionState;
use std::time::Duration;
use wire::{DemandSample, PlanMessage};

/// Interval between scaling passes.
const SCALE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of starts that may be ordered at once.
const MAX_STARTS_LEFT: f64 = 8.0;
const MAX_PLAN_REQUESTS_PER_PASS: usize = 8;
/// How long a request's id is remembered, to recognize duplicates.
const SEEN_REQUEST_TTL: Duration = Duration::from_secs(90);
/// Delay before a stop is ordered again while the instance remains.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// How long after it refused a connection an instance that is still listed is stopped.
const LOST_INSTANCE_TTL: Duration = Duration::from_secs(4);

impl FunctionOwner {
    /// Runs the periodic passes; scaling and sampling run at their own intervals.
    pub(crate) fn tick(&mut self) {
        self.handover_pass();
        self.standby_pass();
        self.expire_grants();
        self.expire_pass();
        self.store_pass();
        self.deferred_pass();
        self.inventory_pass();
        if self.now < self.scaled_at + SCALE_INTERVAL {
            return;
        }
        let elapsed = self.now.saturating_sub(self.starts_refilled_at).as_secs_f64();
        self.starts_refilled_at = self.now;
        self.scaled_at = self.now;
        let owners = self.inventory.owners().max(1) as f64;
        self.starts_left = (self.starts_left + elapsed * self.settings.starts_per_second / owners).min(MAX_STARTS_LEFT);
        let ttl = self.settings.recent_order_ttl;
        let now = self.now;
        self.stopped.retain(|_, at| now < *at + ttl);
        self.leaving_instances.retain(|_, at| now < *at + ttl);
        self.seen_requests.retain(|_, at| now < *at + SEEN_REQUEST_TTL);
        self.finished.retain(|_, at| now < *at + ttl * 2);
        if self.may_serve {
            self.scale_pass();
        }
        self.sample_pass();
    }

    /// Determines each function's desired count, and orders starts and stops.
    fn scale_pass(&mut self) {
        let now = self.now;
        self.pending_pass();
        let mut growing: Vec<(bool, f64, u32, String)> = Vec::new();
        let mut plan_requests_left = MAX_PLAN_REQUESTS_PER_PASS;
        for name in self.functions_by_urgency() {
            let request_id = self.next_number();
            let bound = self.routes.as_ref().is_some_and(|routes| routes.function(&name).is_some());
            let Some(scheduler) = self.schedulers.get_mut(&name) else { continue };
            if scheduler.leaving.is_some() || scheduler.adopting.is_some() {
                continue;
            }
            scheduler.restore_limits(now);
            scheduler.load.update(now, scheduler.arrivals);
            scheduler.typical_answer_time.update(scheduler.smoothed_answer_time);
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
                may_request_plan: plan_requests_left > 0,
                live_demand: scheduler.instances_for_load(now),
            };
            let before = scheduler.player.fallbacks;
            let decision = scheduler.player.step(now, request_id, situation, &self.settings.player);
            if scheduler.player.fallbacks > before {
                event!(plan_fallback, "{name}");
            }
            let is_idle = queued == 0 && scheduler.in_flight == 0 && scheduler.function.fixed.is_none();
            let is_removable = is_idle && !scheduler.is_kept_idle(now, self.settings.start_gb_seconds);
            let desired = if is_removable { decision.desired.min(scheduler.function.min) } else { decision.desired };
            scheduler.desired = if bound { desired } else { 0 };
            plan_requests_left -= usize::from(decision.requests_plan);
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
            let kept_count = scheduler.peak.update(now, scheduler.desired, scheduler.function.boot_time);
            let may_start = now >= scheduler.no_starts_until && (queued > 0 || now >= scheduler.preempted_until);
            let may_grow = count == 0 || now >= self.no_growth_until;
            if scheduler.desired > count && may_start && may_grow {
                let starts_from_zero = queued > 0 && count == 0;
                let start_count = if now < self.no_growth_until { 1 } else { scheduler.desired - count };
                growing.push((starts_from_zero, scheduler.function.player_weight, start_count, name));
            } else if kept_count < count {
                self.drain(&name, count - kept_count);
            }
        }
        self.stop_drained();
        growing.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3)));
        for (_, _, count, name) in growing {
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
        let oldest = self.last_number.saturating_sub(100_000);
        self.plan_requests.retain(|request_id, _| *request_id > oldest);
    }

    /// Returns the active functions, those with queued requests first.
    fn functions_by_urgency(&self) -> Vec<String> {
        let awake = self.schedulers.iter().filter(|(_, scheduler)| scheduler.is_awake());
        let (waited, others): (Vec<_>, Vec<_>) = awake.partition(|(_, scheduler)| !scheduler.queued.is_empty());
        waited.into_iter().chain(others).map(|(name, _)| name.clone()).collect()
    }

    /// Drains the given number of instances: the least busy first, and among equals those still starting.
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

    /// Orders stops for instances that have drained, and for lost ones that are still listed. An instance that has
    /// ended needs no stop.
    fn stop_drained(&mut self) {
        let now = self.now;
        let fence = self.membership.number;
        for scheduler in self.schedulers.values_mut() {
            for (id, instance) in scheduler.instances.iter_mut().filter(|(_, instance)| instance.pending.is_none()) {
                let is_ended = match instance.phase() {
                    Phase::Draining => true,
                    Phase::Gone => instance.lost_at.is_some_and(|at| now > at + LOST_INSTANCE_TTL),
                    Phase::Starting | Phase::Ready => false,
                };
                let is_idle = instance.busy == 0 && (instance.foreign_requests == 0 || now >= instance.foreign_until);
                if is_ended && is_idle && (instance.stop_ordered_at.is_none() || now >= instance.retry_stop_at) {
                    instance.stop_ordered_at = Some(now);
                    instance.retry_stop_at = now + STOP_RETRY_INTERVAL;
                    self.stopped.insert(id.clone(), now);
                    event!(stop_ordered, "{id}");
                    self.outs.push(OwnerOutput::ProviderOrder(ProviderOrder::Stop { id: id.clone(), fence }));
                }
            }
        }
    }

    /// Measures each function, and sends demand samples and measurements at the sample interval.
    fn sample_pass(&mut self) {
        let now = self.now;
        self.close_empty_queues();
        for scheduler in self.schedulers.values_mut().filter(|scheduler| scheduler.is_awake()) {
            let queued = scheduler.queued.len() as f64;
            scheduler.observations += 1;
            let slots = f64::from(scheduler.count(Phase::Ready) * scheduler.function.instance_limit);
            scheduler.measurement.usage_sum += f64::from(scheduler.in_flight) / slots.max(1.0);
            if scheduler.count(Phase::Ready) == 0 {
                scheduler.queued_sum += queued;
            } else {
                scheduler.waiting_sum += queued;
            }
        }
        if now < self.sampled_at + self.settings.sample_interval {
            return;
        }
        let elapsed = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.sampled_at = now;
        let mut lines = Vec::new();
        let mut measures = Vec::new();
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.leaving.is_some() || (!scheduler.is_awake() && scheduler.sampled_zero) {
                continue;
            }
            scheduler.sampled_zero = !scheduler.is_awake();
            let observations = f64::from(scheduler.observations.max(1));
            lines.push(DemandSample {
                function: name.as_str().into(),
                rate_milli: (f64::from(scheduler.arrivals) * 1000.0 / elapsed) as u64,
                response_micro: (scheduler.answer_time.as_micros() / u128::from(scheduler.answered.max(1))) as u64,
                waiting_milli: (scheduler.waiting_sum * 1000.0 / observations) as u64,
                queued_milli: (scheduler.queued_sum * 1000.0 / observations) as u64,
            });
            measures.extend(scheduler.take_measurement(name, observations));
            (scheduler.arrivals, scheduler.answered, scheduler.observations) = (0, 0, 0);
            (scheduler.answer_time, scheduler.waiting_sum, scheduler.queued_sum) = (Duration::ZERO, 0.0, 0.0);
        }
        if !lines.is_empty() {
            self.outs.push(OwnerOutput::Samples { lines });
        }
        if !measures.is_empty() {
            self.outs.push(OwnerOutput::Measurements { lines: measures });
        }
    }

    /// Handles a plan or tuned parameters from the registries.
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
