//! Handover of functions between owners. A new owner opens a scheduler and waits for the earlier owner's table; after a
//! crash without a standby copy it waits for the provider's list and a pause instead. An owner that loses a function
//! sends its table to the next owner, returns requests that were never dispatched and finishes those that were.

use crate::function_owner::FunctionOwner;
use crate::function_scheduler::FunctionScheduler;
use crate::owner_types::{OwnedRequest, OwnerOutput, RequestState, StoreOperation};
use bindings::RouteTable;
use events::event;
use std::rc::Rc;
use std::time::Duration;
use wire::ForwardMessage;

/// Interval at which a leaving owner sends its table.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(200);
/// How long requests sent by a crashed owner may still occupy instances: half of it before the adoption ends, half
/// after.
const FOREIGN_TIME_AFTER_CRASH: Duration = Duration::from_millis(400);

impl FunctionOwner {
    /// Opens and closes schedulers so that they match the functions of the route table that this router owns.
    pub(crate) fn align_schedulers(&mut self) {
        let Some(routes) = self.routes.clone() else { return };
        if self.membership.number == 0 {
            return;
        }
        let now = self.now;
        let mut restarted = Vec::new();
        for function in routes.functions() {
            let is_mine = self.is_owner(&function.name);
            match self.schedulers.get_mut(&function.name) {
                Some(scheduler) => {
                    scheduler.function = function.clone();
                    if is_mine && scheduler.leaving.is_some() {
                        (scheduler.leaving, scheduler.acquired_membership) = (None, self.membership.number);
                        scheduler.restart_adoption(now);
                        let earlier = self.history.earlier_owners_of(now, &function.name);
                        scheduler.budget.set_earlier_owners(earlier);
                        restarted.push(function.name.clone());
                    }
                }
                None if is_mine => {
                    event!(function_owner_changed, "{}", function.name);
                    let mut scheduler = FunctionScheduler::new(
                        now,
                        function.clone(),
                        self.membership.number,
                        &self.settings.allowances,
                    );
                    scheduler.budget.set_earlier_owners(self.history.earlier_owners_of(now, &function.name));
                    self.schedulers.insert(function.name.clone(), scheduler);
                    self.adopt_standby_copy(&function.name);
                    restarted.push(function.name.clone());
                }
                None => {}
            }
        }
        // Lists of pending requests that were requested before another router was the owner are outdated.
        self.store_requests.retain(|_, request| {
            request.kind != StoreOperation::ReadDeferred || !restarted.contains(&request.function)
        });
        let names: Vec<String> = self.schedulers.keys().cloned().collect();
        for name in names {
            let owner = self.membership.owner(&name);
            let next = owner.filter(|owner| *owner != self.me);
            let is_bound = routes.function(&name).is_some();
            let Some(scheduler) = self.schedulers.get_mut(&name) else { continue };
            scheduler.is_owned = owner == Some(self.me);
            match next {
                Some(next) if scheduler.leaving.is_none_or(|(known, _)| known != next) => {
                    scheduler.leaving = Some((next, now));
                    let queued: Vec<u64> = scheduler.queued.drain(..).collect();
                    queued.into_iter().for_each(|number| self.send_back(number));
                    self.send_handover(&name);
                }
                None if !is_bound => {
                    let queued: Vec<u64> = scheduler.queued.iter().copied().collect();
                    queued.into_iter().for_each(|number| self.send_back(number));
                }
                _ => {}
            }
        }
        self.apply_tuned_parameters();
        self.drop_moved_deferred();
    }

    /// Ends the adoption of functions that the previous route table did not have: they had no owner, so there is no
    /// table to wait for.
    pub(crate) fn skip_adoption_of_new_functions(&mut self, before: Option<Rc<RouteTable>>) {
        let Some(before) = before else { return };
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.adopting == Some((self.now, false)) && before.function(name).is_none() {
                scheduler.adopting = None;
            }
        }
    }

    fn drop_moved_deferred(&mut self) {
        self.drop_queued_deferred(|owner, function| !owner.is_owner(function));
    }

    /// Drops the queued stored requests that `selects` returns true for. The current owner finds them in the store.
    pub(crate) fn drop_queued_deferred(&mut self, selects: impl Fn(&FunctionOwner, &str) -> bool) {
        let queued = |task: &OwnedRequest| task.stored_id.is_some() && task.state == RequestState::Queued;
        let dropped: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| queued(task) && selects(self, &task.function))
            .map(|(number, _)| *number)
            .collect();
        for number in dropped {
            self.accept(number);
            self.forget(number);
        }
    }

    /// Sends the table of a function to its next owner.
    fn send_handover(&mut self, name: &str) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(name) else { return };
        let Some((next, _)) = scheduler.leaving else { return };
        scheduler.leaving = Some((next, now));
        if let Some(table) = self.ownership_table(name, false) {
            self.outs.push(OwnerOutput::Forward { to: next, message: ForwardMessage::OwnershipTable { table } });
        }
    }

    /// Ends adoptions that have waited long enough, and closes schedulers without requests left to finish.
    pub(crate) fn handover_pass(&mut self) {
        let now = self.now;
        for (name, scheduler) in &mut self.schedulers {
            if scheduler.adopting.is_some() && !self.may_serve {
                scheduler.adopting = Some((now, false));
                continue;
            }
            if let Some((since, listed)) = scheduler.adopting
                && ((listed && now > since + FOREIGN_TIME_AFTER_CRASH / 2)
                    || now > since + self.settings.adoption_timeout)
            {
                scheduler.adopting = None;
                scheduler.rejection_limit.begin_caution(now);
                scheduler.budget.extend_caution(now);
                scheduler.budget.set_earlier_owners(self.history.earlier_owners_of(now, name));
                for instance in scheduler.instances.values_mut() {
                    instance.concurrency_limit = (scheduler.function.instance_limit / 2).max(1);
                    instance.limit_changed_at = now;
                    instance.foreign_requests = 1;
                    instance.foreign_until = now + FOREIGN_TIME_AFTER_CRASH / 2;
                }
            }
        }
        let due: Vec<String> = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| scheduler.leaving.is_some_and(|(_, at)| now >= at + HANDOVER_INTERVAL))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_handover(&name);
            let is_finished = self
                .schedulers
                .get(&name)
                .is_some_and(|scheduler| scheduler.in_flight == 0 && scheduler.queued.is_empty());
            if is_finished {
                self.schedulers.remove(&name);
            }
        }
    }
}
