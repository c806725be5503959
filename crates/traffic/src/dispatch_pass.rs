//! The pass over held tasks: those whose turn it is go to instances with room.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::instance::Phase;
use crate::owner_types::{OwnedRequest, OwnerOutput, Place};
use bindings::Class;
use dispatch::DispatchOrder;
use std::time::Duration;

impl FunctionOwner {
    pub(crate) fn dispatch_pass(&mut self) {
        if !self.may_serve {
            return;
        }
        let names: Vec<String> = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| !scheduler.queued.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if !self.is_home(&name) {
                continue;
            }
            let Some(scheduler) = self.schedulers.get(&name) else { continue };
            if scheduler.leaving.is_some() || scheduler.adopting.is_some() {
                continue;
            }
            while let Some((number, selected)) = self.next_to_send(&name) {
                self.dispatch(number, &name, selected);
            }
        }
    }

    /// The task that goes next and the instance it goes to: first those that can still be answered
    /// within their aim, since one that is late already loses nothing more until its time runs out; and calls of tasks
    /// that are running, which keep a slot meanwhile.
    fn next_to_send(&mut self, name: &str) -> Option<(u64, String)> {
        let now = self.now;
        let scheduler = self.schedulers.get_mut(name)?;
        let roomiest = scheduler.roomiest(now)?;
        let proven = scheduler.instances.get(&roomiest).is_some_and(|instance| instance.busy < instance.proven);
        if !scheduler.unproven.may_send(now, proven) {
            return None;
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
            let Some(selected) = other_than(scheduler, now, &task.avoid, roomiest.clone()) else { continue };
            if in_aim {
                return Some((*number, selected));
            }
            late = Some((*number, selected));
        }
        late
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
            instance: instance_id,
            address: instance.address.clone(),
            head: task.head.clone(),
            body: task.body.clone(),
            limit,
            connections: scheduler.function.connections,
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
