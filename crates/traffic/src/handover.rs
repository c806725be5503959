//! Owners moving: a scheduler opened for a function gained, waiting for the old owner's table or, after
//! a crash without one kept here, for the platform's list and a pause; and a scheduler closing for a
//! function lost, which hands its table over, gives back what was never dispatched and finishes what was.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::owner_types::{OwnedRequest, OwnerOutput, Place, StoreOperation};
use bindings::RouteTable;
use events::event;
use std::rc::Rc;
use std::time::Duration;
use wire::ForwardMessage;

const REPEAT: Duration = Duration::from_millis(200);
const FOREIGN_ON_CRASH: Duration = Duration::from_millis(400);

impl FunctionOwner {
    /// Opens and closes schedulers so that they are those of the route table's functions homed here.
    pub(crate) fn align_schedulers(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        if self.membership.number == 0 {
            return;
        }
        let now = self.now;
        let mut begun_anew = Vec::new();
        for function in routes.functions() {
            let mine = self.is_home(&function.name);
            match self.schedulers.get_mut(&function.name) {
                Some(scheduler) => {
                    scheduler.function = function.clone();
                    if mine && scheduler.leaving.is_some() {
                        (scheduler.leaving, scheduler.taken) = (None, self.membership.number);
                        scheduler.begin_anew(now);
                        let earlier = self.history.earlier_homes(now, &function.name);
                        scheduler.budget.set_earlier_owners(earlier);
                        begun_anew.push(function.name.clone());
                    }
                }
                None if mine => {
                    event!(function_owner_changed, "{}", function.name);
                    let mut scheduler =
                        FunctionScheduler::new(now, function.clone(), self.membership.number, &self.timing.allowances);
                    scheduler.budget.set_earlier_owners(self.history.earlier_homes(now, &function.name));
                    self.schedulers.insert(function.name.clone(), scheduler);
                    self.take_standby_copy(&function.name);
                    begun_anew.push(function.name.clone());
                }
                None => {}
            }
        }
        // What the store listed before another owner was owner is outdated.
        self.store_requests.retain(|_, request_id| {
            request_id.kind != StoreOperation::Deferred || !begun_anew.contains(&request_id.function)
        });
        let names: Vec<String> = self.schedulers.keys().cloned().collect();
        for name in names {
            let owner = self.membership.owner(&name);
            let next = owner.filter(|owner| *owner != self.me);
            let bound = routes.function(&name).is_some();
            let Some(scheduler) = self.schedulers.get_mut(&name) else { continue };
            scheduler.is_owned = owner == Some(self.me);
            match next {
                Some(next) if scheduler.leaving.is_none_or(|(known, _)| known != next) => {
                    scheduler.leaving = Some((next, now));
                    let queued: Vec<u64> = scheduler.queued.drain(..).collect();
                    queued.into_iter().for_each(|number| self.send_back(number));
                    self.hand_over(&name);
                }
                None if !bound => {
                    let queued: Vec<u64> = scheduler.queued.iter().copied().collect();
                    queued.into_iter().for_each(|number| self.send_back(number));
                }
                _ => {}
            }
        }
        self.apply_tuned_parameters();
        self.drop_moved_deferred();
    }

    /// A function that the route table before did not have had no owner: nothing is to be waited for.
    pub(crate) fn open_new(&mut self, before: Option<Rc<RouteTable>>) {
        let Some(before) = before else { return };
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.adopting == Some((self.now, false)) && before.function(name).is_none() {
                scheduler.adopting = None;
            }
        }
    }

    fn drop_moved_deferred(&mut self) {
        self.drop_deferred(|owner, function| !owner.is_home(function));
    }

    /// Stored tasks held here and not being run: whoever is the owner finds them in the chain.
    pub(crate) fn drop_deferred(&mut self, which: impl Fn(&FunctionOwner, &str) -> bool) {
        let queued = |task: &OwnedRequest| task.stored.is_some() && task.place == Place::Queued;
        let dropped: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| queued(task) && which(self, &task.function))
            .map(|(number, _)| *number)
            .collect();
        for number in dropped {
            self.accept(number);
            self.forget(number);
        }
    }

    fn hand_over(&mut self, name: &str) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let Some((next, _)) = scheduler.leaving else { return };
        scheduler.leaving = Some((next, now));
        if let Some(table) = self.table_of(name, false) {
            self.outs.push(OwnerOutput::Forward { to: next, message: ForwardMessage::OwnershipTable { table } });
        }
    }

    /// Ends adoptions whose time has come, and closes schedulers that have nothing left to finish.
    pub(crate) fn handover_pass(&mut self) {
        let now = self.now;
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.adopting.is_some() && !self.may_serve {
                scheduler.adopting = Some((now, false));
                continue;
            }
            if let Some((since, listed)) = scheduler.adopting
                && ((listed && now > since + FOREIGN_ON_CRASH / 2) || now > since + self.timing.adopt)
            {
                scheduler.adopting = None;
                scheduler.unproven.begin_caution(now);
                scheduler.budget.extend_caution(now);
                scheduler.budget.set_earlier_owners(self.history.earlier_homes(now, name));
                for instance in scheduler.instances.values_mut() {
                    instance.concurrency_limit = (scheduler.function.instance_limit / 2).max(1);
                    instance.limit_changed_at = now;
                    instance.foreign_requests = 1;
                    instance.foreign_until = now + FOREIGN_ON_CRASH / 2;
                }
            }
        }
        let due: Vec<String> = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| scheduler.leaving.is_some_and(|(_, at)| now >= at + REPEAT))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.hand_over(&name);
            let done = self
                .schedulers
                .get(&name)
                .is_some_and(|scheduler| scheduler.in_flight == 0 && scheduler.queued.is_empty());
            if done {
                self.schedulers.remove(&name);
            }
        }
    }
}
