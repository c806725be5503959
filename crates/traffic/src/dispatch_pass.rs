//! Dispatch pass: sends queued requests to instances with free slots.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::instance::Phase;
use crate::owner_types::{OwnedRequest, OwnerOutput, RequestState};
use crate::queue_wait::QueueBlock;
use bindings::Class;
use dispatch::DispatchOrder;
use events::event;
use std::time::Duration;

/// The next request to send and the instance that receives it.
struct NextRequest {
    number: u64,
    instance: String,
}

impl FunctionOwner {
    /// Sends requests from each queue until it is empty or blocked.
    pub(crate) fn dispatch_pass(&mut self) {
        if !self.may_serve || self.has_given_up {
            return;
        }
        let may_send = |scheduler: &FunctionScheduler| {
            scheduler.is_owned && scheduler.leaving.is_none() && scheduler.adopting.is_none()
        };
        let waiting = self.schedulers.iter().filter(|(_, scheduler)| !scheduler.queued.is_empty());
        let ready = waiting.filter(|(_, scheduler)| may_send(scheduler));
        let names: Vec<String> = ready.map(|(name, _)| name.clone()).collect();
        for name in names {
            loop {
                match self.next_to_send(&name) {
                    Ok(next) => self.dispatch(next.number, &name, next.instance),
                    Err(cause) => break self.observe_queue(&name, cause),
                }
            }
        }
    }

    /// Returns the next request and its instance, or why none can be sent. Requests that can still be answered within
    /// their latency aim go first, since a late one loses nothing more until its deadline. Nested calls of running
    /// requests go first as well, since the running request occupies a slot until its call is answered.
    fn next_to_send(&mut self, name: &str) -> Result<NextRequest, QueueBlock> {
        let now = self.now;
        let scheduler = self.schedulers.get_mut(name).ok_or(QueueBlock::NoFreeSlot)?;
        if scheduler.queued.is_empty() {
            return Err(QueueBlock::NoFreeSlot);
        }
        let most_free_instance = scheduler.most_free_instance(now).ok_or(QueueBlock::NoFreeSlot)?;
        let is_proven = scheduler
            .instances
            .get(&most_free_instance)
            .is_some_and(|instance| instance.busy < instance.proven_concurrency);
        if !scheduler.rejection_limit.may_send(now, is_proven) {
            return Err(QueueBlock::RejectionRisk);
        }
        let is_sendable = |task: &&OwnedRequest| task.state == RequestState::Queued && now >= task.not_before;
        let (tasks, expected) = (&self.tasks, scheduler.expected_answer_time());
        let mut first_late = None;
        for number in &scheduler.queued {
            let Some(task) = tasks.get(number).filter(is_sendable) else { continue };
            let meets_aim =
                task.has_shortened_deadline || task.aim.is_none_or(|aim| now + expected <= task.arrived + aim);
            if !meets_aim && first_late.is_some() {
                continue;
            }
            let Some(instance) = pick_other_instance(scheduler, now, &task.last_instance, most_free_instance.clone())
            else {
                continue;
            };
            let next = NextRequest { number: *number, instance };
            if meets_aim {
                return Ok(next);
            }
            first_late = Some(next);
        }
        first_late.ok_or(QueueBlock::RetryDelay)
    }

    /// Records what blocks a function's queue, unless the queue is empty.
    fn observe_queue(&mut self, name: &str, cause: QueueBlock) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let cause = (!scheduler.queued.is_empty()).then_some(cause);
        if let Some(before) = scheduler.queue_wait.observe(now, cause) {
            scheduler.blocked.add(before.cause, before.time);
            self.counters.blocked.add(before.cause, before.time);
        }
        if scheduler.queue_wait.should_warn(now) {
            let (queued, free) = (scheduler.queued.len(), scheduler.free_slots(now));
            event!(queue_held_beside_free_slots, "{name}: {queued} queued, {free} slots free");
        }
    }

    /// Records that queues which were emptied other than by sending are no longer blocked.
    pub(crate) fn close_empty_queues(&mut self) {
        let empty = self.schedulers.iter().filter(|(_, scheduler)| scheduler.queued.is_empty());
        let blocked = empty.filter(|(_, scheduler)| scheduler.queue_wait.is_blocked());
        let names: Vec<String> = blocked.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.observe_queue(name, QueueBlock::NoFreeSlot));
    }

    /// Sends one request to an instance, if its binding still leads to this function and its retry budget allows it.
    fn dispatch(&mut self, number: u64, name: &str, instance_id: String) {
        let now = self.now;
        let order = self.next_number();
        let is_still_bound = self.tasks.get(&number).is_some_and(|task| {
            let bound = self.routes.as_ref().and_then(|routes| routes.binding(&task.binding));
            bound.is_some_and(|bound| name.split_once('/').is_some_and(|(_, service)| bound.sends_to(service)))
        });
        let (Some(task), Some(scheduler)) = (self.tasks.get_mut(&number), self.schedulers.get_mut(name)) else {
            return;
        };
        if !is_still_bound {
            scheduler.queued.retain(|queued| *queued != number);
            return self.send_back(number);
        }
        if task.dispatches > 0 && !scheduler.budget.try_retry(now) {
            task.not_before = now + Duration::from_millis(250);
            return;
        }
        let Some(instance) = scheduler.instances.get_mut(&instance_id) else { return };
        if task.is_first_attempt() {
            scheduler.budget.record_request(now);
        }
        instance.busy += 1;
        let concurrency = instance.busy;
        scheduler.in_flight += 1;
        scheduler.rejection_limit.record_sent(now, order, concurrency <= instance.proven_concurrency);
        scheduler.queued.retain(|queued| *queued != number);
        task.dispatches += 1;
        if let Some(id) = &task.stored_id {
            scheduler.sent_tasks.insert(id);
        }
        task.state = RequestState::Running { number: order };
        let limit = if task.is_caller_waiting && task.class != Class::Deferred {
            task.deadline.saturating_sub(now + self.settings.deadline_margin)
        } else {
            self.settings.deferred_attempt_timeout
        };
        self.running.insert(order, (number, name.to_owned(), instance_id.clone(), now, concurrency));
        self.outs.push(OwnerOutput::Dispatch(DispatchOrder {
            number: order,
            instance_id,
            address: instance.address.clone(),
            head: task.head.clone(),
            body: task.body.clone(),
            time_left: limit,
            max_connections: scheduler.function.connections,
        }));
    }
}

/// Returns the instance with the most free slots other than `avoid`; `avoid` itself only if no other instance is
/// ready.
fn pick_other_instance(
    scheduler: &FunctionScheduler,
    now: Duration,
    avoid: &str,
    most_free_instance: String,
) -> Option<String> {
    if most_free_instance != avoid {
        return Some(most_free_instance);
    }
    let limit = scheduler.function.instance_limit;
    let others = scheduler.instances.iter().filter(|(id, instance)| *id != avoid && instance.phase() == Phase::Ready);
    let mut others = others.map(|(id, instance)| (instance.capacity(now, limit), id)).peekable();
    if others.peek().is_none() {
        return Some(most_free_instance);
    }
    others.filter(|(capacity, _)| *capacity > 0).max().map(|(_, id)| id.clone())
}
