//! The passes over the table: dispatching held tasks to instances with room, taking what the
//! instances answered, and giving up, with the truth, what is out of time.

use crate::dispatch::{DispatchOrder, Verdict};
use crate::home::Home;
use crate::home_types::{HomeOutput, Place};
use crate::instance::InstanceEvent;
use bindings::Class;
use events::event;
use std::time::Duration;
use wire::{Outcome, StoredAnswer};

const BACKOFF: Duration = Duration::from_millis(500);
const BACKOFF_MOST: Duration = Duration::from_secs(30);

impl Home {
    pub(crate) fn dispatch_pass(&mut self) {
        if !self.may_serve {
            return;
        }
        let now = self.now;
        let names: Vec<String> =
            self.desks.iter().filter(|(_, desk)| !desk.held.is_empty()).map(|(name, _)| name.clone()).collect();
        for name in names {
            if !self.is_home(&name) {
                continue;
            }
            let Some(desk) = self.desks.get(&name) else { continue };
            if desk.leaving.is_some() || desk.adopting.is_some() {
                continue;
            }
            for number in desk.held.iter().copied().collect::<Vec<u64>>() {
                let may_go = |task: &crate::home_types::HomeTask| task.place == Place::Held && now >= task.not_before;
                let ready = self.tasks.get(&number).is_some_and(may_go);
                let Some(desk) = self.desks.get_mut(&name) else { break };
                if !ready {
                    continue;
                }
                if !desk.risk.may_send(now) {
                    break;
                }
                let Some(selected_instance) = desk.roomiest(now) else { break };
                self.dispatch(number, &name, selected_instance);
            }
        }
    }

    fn dispatch(&mut self, number: u64, name: &str, instance_id: String) {
        let now = self.now;
        let order = self.number();
        let still_bound = self.tasks.get(&number).is_some_and(|task| {
            let bound = self.book.as_ref().and_then(|book| book.binding(&task.binding));
            bound.is_some_and(|bound| name.ends_with(&format!("/{}", bound.function)))
        });
        let (Some(task), Some(desk)) = (self.tasks.get_mut(&number), self.desks.get_mut(name)) else { return };
        if !still_bound {
            desk.held.retain(|held| *held != number);
            return self.send_back(number);
        }
        if task.dispatches > 0 && !desk.budget.try_second(now) {
            task.not_before = now + Duration::from_millis(250);
            return;
        }
        let Some(instance) = desk.instances.get_mut(&instance_id) else { return };
        if task.is_first() {
            desk.budget.request(now);
        }
        instance.busy += 1;
        desk.in_flight += 1;
        desk.risk.sent(now, order);
        desk.held.retain(|held| *held != number);
        task.dispatches += 1;
        task.place = Place::Running { number: order };
        let limit = if task.caller && task.class != Class::Deferred {
            task.due.saturating_sub(now + self.timing.margin)
        } else {
            self.timing.deferred_limit
        };
        self.running.insert(order, (number, name.to_owned(), instance_id, now));
        self.outs.push(HomeOutput::Dispatch(DispatchOrder {
            number: order,
            address: instance.address.clone(),
            head: task.head.clone(),
            body: task.body.clone(),
            limit,
        }));
    }

    pub(crate) fn dispatched(&mut self, order: u64, verdict: Verdict) {
        let now = self.now;
        let Some((number, name, instance_id, begun)) = self.running.remove(&order) else { return };
        if let Some(desk) = self.desks.get_mut(&name) {
            desk.in_flight = desk.in_flight.saturating_sub(1);
            desk.risk.ended(now, order, begun, matches!(verdict, Verdict::Whole { turned_away: true, .. }));
            if let Some(instance) = desk.instances.get_mut(&instance_id) {
                instance.busy = instance.busy.saturating_sub(1);
                instance.used = now;
                match &verdict {
                    Verdict::NotSent => instance.paused_until = now + Duration::from_millis(300),
                    Verdict::InDoubt { late: true, .. } => {
                        instance.foreign = if now < instance.foreign_until { instance.foreign + 1 } else { 1 };
                        instance.foreign_until = now + Duration::from_secs(2);
                    }
                    _ => {}
                }
            }
            match &verdict {
                Verdict::Whole { turned_away: true, .. } => {
                    event!(turned_away, "{instance_id}");
                    desk.turned_away(now, &instance_id);
                    desk.seen.turned += 1;
                }
                Verdict::Whole { .. } => {
                    desk.took(now.saturating_sub(begun));
                }
                Verdict::InDoubt { told, .. } => event!(instance_doubted, "{instance_id}: {told}"),
                Verdict::NotSent => {}
            }
        }
        let Some(class) = self.tasks.get(&number).map(|task| task.class) else { return };
        match (verdict, class) {
            (Verdict::NotSent, _) => {
                if let Some(task) = self.tasks.get_mut(&number) {
                    task.dispatches -= 1;
                    if task.is_first()
                        && let Some(desk) = self.desks.get_mut(&name)
                    {
                        desk.budget.not_sent();
                    }
                    task.not_before = now + Duration::from_millis(50);
                }
                self.hold(number);
                self.lose(&name, &instance_id);
            }
            (Verdict::Whole { status, head, body, .. }, Class::Once) => {
                let answer = StoredAnswer {
                    outcome: Outcome::Answered,
                    status,
                    head: head.clone().into(),
                    body: body.clone().into(),
                };
                self.settle(number, &answer);
                self.answer(number, Outcome::Answered, status, 0, head, body);
            }
            (Verdict::InDoubt { .. }, Class::Once) => {
                let (head, body) = (Vec::new().into(), Vec::new().into());
                let answer = StoredAnswer { outcome: Outcome::Unknown, status: 504, head, body };
                self.settle(number, &answer);
                self.answer_own(number, Outcome::Unknown, 504, 0);
            }
            (Verdict::Whole { status, head, body, turned_away }, Class::Ordinary) => {
                let again = turned_away && self.try_again(number);
                if !again {
                    self.answer(number, Outcome::Answered, status, 0, head, body);
                }
            }
            (Verdict::InDoubt { .. }, Class::Ordinary) => {
                if let Some(task) = self.tasks.get_mut(&number) {
                    task.reached = true;
                }
                if !self.try_again(number) {
                    self.answer_own(number, Outcome::Unknown, 502, 0);
                }
            }
            (Verdict::Whole { status, head, body, turned_away }, Class::Deferred) if status < 500 && !turned_away => {
                let kept = StoredAnswer {
                    outcome: Outcome::Answered,
                    status,
                    head: head.clone().into(),
                    body: body.clone().into(),
                };
                self.finish(number, &kept);
                if let Some(id) = self.tasks.get(&number).and_then(|task| task.stored.clone()) {
                    self.finished.insert(id, now);
                }
                self.answer(number, Outcome::Answered, status, 0, head, body);
                self.forget(number);
            }
            (_, Class::Deferred) => {
                if let Some(task) = self.tasks.get_mut(&number) {
                    let wait = BACKOFF * 2u32.pow(task.dispatches.min(7));
                    task.not_before = now + wait.min(BACKOFF_MOST);
                }
                self.hold(number);
            }
        }
    }

    /// Holds an ordinary task for another instance, while its time and the budget last.
    fn try_again(&mut self, number: u64) -> bool {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&number) else { return false };
        let Some(desk) = self.desks.get_mut(&task.function) else { return false };
        if now + Duration::from_millis(200) > task.due || !desk.budget.may_second(now) {
            return false;
        }
        task.not_before = now + Duration::from_millis(20);
        self.hold(number);
        true
    }

    fn lose(&mut self, name: &str, instance_id: &str) {
        if let Some(instance) = self.desks.get_mut(name).and_then(|desk| desk.instances.get_mut(instance_id)) {
            instance.take(InstanceEvent::Lost);
        }
    }
}
