//! What instances made of the tasks sent to them: answers go back, what has surely not run may go to
//! another instance, and what may have run is tried again only where it may run more than once.

use crate::desk::Desk;
use crate::home::Home;
use crate::home_types::HomeOutput;
use crate::instance::InstanceEvent;
use bindings::Class;
use dispatch::Verdict;
use events::event;
use std::time::Duration;
use wire::{Outcome, StoredAnswer};

const BACKOFF: Duration = Duration::from_millis(500);
const BACKOFF_MOST: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(300);

impl Home {
    pub(crate) fn dispatched(&mut self, order: u64, verdict: Verdict) {
        let now = self.now;
        let Some((number, name, instance_id, begun, level)) = self.running.remove(&order) else { return };
        self.note(&name, &instance_id, order, (begun, level), &verdict);
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let class = task.class;
        task.avoid = instance_id;
        match (verdict, class) {
            (Verdict::NotSent | Verdict::Crowded, _) => {
                task.dispatches -= 1;
                task.not_before = now;
                if task.is_first()
                    && let Some(desk) = self.desks.get_mut(&name)
                {
                    desk.budget.not_sent();
                    task.stored.iter().for_each(|id| desk.sent_tasks.remove(id));
                }
                let leaves = self.desks.get(&name).is_none_or(|desk| desk.leaving.is_some()) || !self.is_home(&name);
                if leaves { self.send_back(number) } else { self.hold(number) }
            }
            (Verdict::NotRun { .. }, Class::Ordinary | Class::Single | Class::Once) => {
                if !self.try_again(number, false) {
                    let wait = |desk: &Desk| desk.expected_wait(now, desk.held.len());
                    let wait = self.desks.get(&name).map_or(Duration::ZERO, wait);
                    self.give_up(number, wait);
                }
            }
            (Verdict::Whole { status, head, body, .. }, Class::Once) => {
                let answer = stored(status, &head, &body);
                self.settle(number, &answer);
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
            }
            (Verdict::InDoubt { .. }, Class::Once) => {
                let answer = StoredAnswer { outcome: Outcome::Unknown, ..stored(504, &[], &[]) };
                self.settle(number, &answer);
                self.answer_own(number, Outcome::Unknown, 504, Duration::ZERO);
            }
            (Verdict::Whole { status, head, body, turned_away }, Class::Ordinary | Class::Single) => {
                let failed = status >= 500 && status != 504;
                let again = class == Class::Ordinary && (turned_away || failed) && self.try_again(number, !turned_away);
                if !again {
                    self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                }
            }
            (Verdict::InDoubt { late, .. }, Class::Ordinary | Class::Single) => {
                if class == Class::Single || !self.try_again(number, true) {
                    let status = if late { 504 } else { 502 };
                    self.answer_own(number, Outcome::Unknown, status, Duration::ZERO);
                }
            }
            (Verdict::Whole { status, head, body, turned_away }, Class::Deferred) if status < 500 && !turned_away => {
                self.finish(number, &stored(status, &head, &body));
                if let Some(id) = self.tasks.get(&number).and_then(|task| task.stored.clone()) {
                    self.finished.insert(id, now);
                }
                self.answer(number, Outcome::Answered, status, Duration::ZERO, head, body);
                self.forget(number);
            }
            (_, Class::Deferred) => {
                let wait = BACKOFF * 2u32.pow(task.dispatches.min(7));
                task.not_before = now + wait.min(BACKOFF_MOST);
                self.hold(number);
            }
        }
    }

    /// What the desk learns of its instance from a verdict.
    fn note(&mut self, name: &str, instance_id: &str, order: u64, (begun, level): (Duration, u32), verdict: &Verdict) {
        let now = self.now;
        let Some(desk) = self.desks.get_mut(name) else { return };
        let turned_away =
            matches!(verdict, Verdict::Whole { turned_away: true, .. } | Verdict::NotRun { wrong_instance: false });
        desk.in_flight = desk.in_flight.saturating_sub(1);
        desk.risk.ended(now, order, begun, turned_away);
        if let Some(instance) = desk.instances.get_mut(instance_id) {
            instance.busy = instance.busy.saturating_sub(1);
            instance.used = now;
            match verdict {
                Verdict::Whole { .. } if !turned_away => instance.proven = instance.proven.max(level),
                Verdict::NotSent | Verdict::Crowded => instance.paused_until = now + PAUSE,
                Verdict::InDoubt { late: true, .. } => {
                    instance.foreign = if now < instance.foreign_until { instance.foreign + 1 } else { 1 };
                    instance.foreign_until = now + Duration::from_secs(2);
                }
                _ => {}
            }
        }
        match verdict {
            _ if turned_away => {
                event!(turned_away, "{instance_id}");
                desk.turned_away(now, instance_id);
                desk.budget.turned_away(now);
                desk.seen.turned += 1;
            }
            Verdict::Whole { .. } => desk.took(now.saturating_sub(begun)),
            Verdict::NotRun { .. } => event!(instance_doubted, "{instance_id}: another answers at its address"),
            Verdict::InDoubt { told, .. } => event!(instance_doubted, "{instance_id}: {told}"),
            Verdict::NotSent | Verdict::Crowded => {}
        }
        let replaced = *verdict == Verdict::NotRun { wrong_instance: true };
        if replaced || *verdict == Verdict::NotSent {
            self.outs.push(HomeOutput::Forget { id: instance_id.to_owned() });
            if replaced { self.replaced(name, instance_id) } else { self.lose(name, instance_id) }
        }
    }

    /// Holds a task for another instance, while its time, its attempts and the budget last.
    fn try_again(&mut self, number: u64, may_have_run: bool) -> bool {
        let now = self.now;
        let margin = self.timing.margin;
        let Some(task) = self.tasks.get_mut(&number) else { return false };
        let Some(desk) = self.desks.get_mut(&task.function) else { return false };
        task.reached |= may_have_run;
        let late = now + margin + desk.least_time() > task.due;
        if late || task.dispatches >= task.attempts || !desk.budget.may_second(now) {
            return false;
        }
        task.not_before = now;
        self.hold(number);
        true
    }

    /// Another instance answers at its address: that one takes connections, so there is no more to look.
    fn replaced(&mut self, name: &str, instance_id: &str) {
        if let Some(instance) = self.desks.get_mut(name).and_then(|desk| desk.instances.get_mut(instance_id)) {
            instance.take(InstanceEvent::Lost);
            instance.lost = Some(self.now);
        }
    }
}

fn stored(status: u16, head: &[u8], body: &[u8]) -> StoredAnswer {
    StoredAnswer { outcome: Outcome::Answered, status, head: head.to_vec().into(), body: body.to_vec().into() }
}
