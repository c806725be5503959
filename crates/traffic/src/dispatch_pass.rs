//! The pass over held tasks: those whose turn it is go to instances with room.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::instance::Phase;
use crate::owner_types::{OwnedRequest, OwnerOutput, Place};
use crate::queue_wait::QueueBlock;
use bindings::Class;
use dispatch::DispatchOrder;
use events::event;
use std::time::Duration;

/// The request that goes next, and where.
struct NextRequest {
    number: u64,
    instance: String,
}

impl FunctionOwner {
    pub(crate) fn dispatch_pass(&mut self) {
        if !self.may_serve {
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

    /// The task that goes next and the instance it goes to: first those that can still be answered
    /// within their aim, since one that is late already loses nothing more until its time runs out; and calls of tasks
    /// that are running, which keep a slot meanwhile.
    fn next_to_send(&mut self, name: &str) -> Result<NextRequest, QueueBlock> {
        let now = self.now;
        let scheduler = self.schedulers.get_mut(name).ok_or(QueueBlock::NoFreeSlot)?;
        if scheduler.queued.is_empty() {
            return Err(QueueBlock::NoFreeSlot);
        }
        let roomiest = scheduler.roomiest(now).ok_or(QueueBlock::NoFreeSlot)?;
        let proven = scheduler.instances.get(&roomiest).is_some_and(|instance| instance.busy < instance.proven);
        if !scheduler.unproven.may_send(now, proven) {
            return Err(QueueBlock::RejectionRisk);
        }
        let may_go = |task: &&OwnedRequest| task.place == Place::Queued && now >= task.not_before;
        let (tasks, expected) = (&self.tasks, scheduler.expected_time());
        let mut late = None;
        for number in &scheduler.queued {
            let Some(task) = tasks.get(number).filter(may_go) else { continue };
            let in_aim = task.inherits || task.aim.is_none_or(|aim| now + expected <= task.arrived + aim);
            if !in_aim && late.is_some() {
                continue;
            }
            let Some(instance) = other_than(scheduler, now, &task.avoid, roomiest.clone()) else { continue };
            let next = NextRequest { number: *number, instance };
            if in_aim {
                return Ok(next);
            }
            late = Some(next);
        }
        late.ok_or(QueueBlock::RetryDelay)
    }

    /// Accounts for what blocks a function's queue, if anything is left in it.
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

    /// Queues that emptied in another way than by sending are blocked no longer.
    pub(crate) fn close_empty_queues(&mut self) {
        let empty = self.schedulers.iter().filter(|(_, scheduler)| scheduler.queued.is_empty());
        let blocked = empty.filter(|(_, scheduler)| scheduler.queue_wait.is_blocked());
        let names: Vec<String> = blocked.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.observe_queue(name, QueueBlock::NoFreeSlot));
    }

    fn dispatch(&mut self, number: u64, name: &str, instance_id: String) {
        let now = self.now;
        let order = self.number();
        let still_bound = self.tasks.get(&number).is_some_and(|task| {
            let bound = self.routes.as_ref().and_then(|routes| routes.binding(&task.binding));
            bound.is_some_and(|bound| name.split_once('/').is_some_and(|(_, service)| bound.sends_to(service)))
        });
        let (Some(task), Some(scheduler)) = (self.tasks.get_mut(&number), self.schedulers.get_mut(name)) else {
            return;
        };
        if !still_bound {
            scheduler.queued.retain(|queued| *queued != number);
            return self.send_back(number);
        }
        if task.dispatches > 0 && !scheduler.budget.try_second(now) {
            task.not_before = now + Duration::from_millis(250);
            return;
        }
        let Some(instance) = scheduler.instances.get_mut(&instance_id) else { return };
        if task.is_first() {
            scheduler.budget.request(now);
        }
        instance.busy += 1;
        let level = instance.busy;
        scheduler.in_flight += 1;
        scheduler.unproven.sent(now, order, level <= instance.proven);
        scheduler.queued.retain(|queued| *queued != number);
        task.dispatches += 1;
        if let Some(id) = &task.stored {
            scheduler.sent_tasks.insert(id);
        }
        task.place = Place::Running { number: order };
        let limit = if task.caller && task.class != Class::Deferred {
            task.due.saturating_sub(now + self.timing.margin)
        } else {
            self.timing.deferred_limit
        };
        self.running.insert(order, (number, name.to_owned(), instance_id.clone(), now, level));
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

/// The roomiest instance but one; that one itself only where there is no other that is ready.
fn other_than(scheduler: &FunctionScheduler, now: Duration, avoid: &str, roomiest: String) -> Option<String> {
    if roomiest != avoid {
        return Some(roomiest);
    }
    let limit = scheduler.function.instance_limit;
    let others = scheduler.instances.iter().filter(|(id, instance)| *id != avoid && instance.phase() == Phase::Ready);
    let mut others = others.map(|(id, instance)| (instance.capacity(now, limit), id)).peekable();
    if others.peek().is_none() {
        return Some(roomiest);
    }
    others.filter(|(capacity, _)| *capacity > 0).max().map(|(_, id)| id.clone())
}
