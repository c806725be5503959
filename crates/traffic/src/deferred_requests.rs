//! Keeping the deferred promise: pending tasks of the functions homed here are read back from the
//! chain's store, after an owner has moved or restarted and now and then besides, and run to the end.

use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnedRequest, OwnerOutput, Place, StoreOperation, StoreRequest, TaskId};
use bindings::Class;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{ConfigurationItem, StoredRequest};

const READS_AT_ONCE: usize = 4;
const FULL_PAGE_ITEMS: usize = 500;

fn task_id(item: &ConfigurationItem) -> &str {
    item.key.as_str().rsplit('/').next().unwrap_or_default()
}

impl FunctionOwner {
    pub(crate) fn deferred_pass(&mut self) {
        let now = self.now;
        let Some(routes) = self.routes.clone() else { return };
        if !self.core_near || !self.may_serve {
            return;
        }
        let reading =
            self.store_requests.values().filter(|request_id| request_id.kind == StoreOperation::Deferred).count();
        let due: Vec<String> = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| scheduler.leaving.is_none() && scheduler.adopting.is_none())
            .filter(|(_, scheduler)| scheduler.read_at.is_none_or(|at| now >= at + self.timing.deferred_read))
            .filter(|(name, _)| routes.has_deferred_binding(name))
            .map(|(name, _)| name.clone())
            .take(READS_AT_ONCE.saturating_sub(reading))
            .collect();
        for name in due {
            if let Some(scheduler) = self.schedulers.get_mut(&name) {
                scheduler.read_at = Some(now);
            }
            let request_id = self.number();
            let record = StoreRequest {
                kind: StoreOperation::Deferred,
                task: 0,
                function: name.clone(),
                body: Vec::new(),
                sent: now,
                due: now + Duration::from_secs(3),
            };
            self.store_requests.insert(request_id, record);
            self.outs.push(OwnerOutput::Read { request_id, prefix: format!("p/{name}/") });
        }
    }

    /// Another owner may have sent what is stored. What was held here is let go of, and read back as the
    /// store tells of it; what is just being stored counts as sent.
    pub(crate) fn doubt_stored(&mut self) {
        let queued = |task: &OwnedRequest| task.stored.is_some() && task.place == Place::Queued;
        let numbers: Vec<u64> = self.tasks.iter().filter(|(_, task)| queued(task)).map(|(number, _)| *number).collect();
        for number in numbers {
            self.accept(number);
            self.forget(number);
        }
        let storing = self.tasks.values_mut().filter(|task| task.place == Place::Storing);
        storing.for_each(|task| task.dispatches = task.dispatches.max(1));
    }

    /// Without a table of the owner before, whatever is pending at the first look may have been sent
    /// already; what is stored from then on was not sent by anybody else.
    fn learn_sent(&mut self, name: &str, items: &[ConfigurationItem]) {
        if items.len() >= FULL_PAGE_ITEMS {
            return;
        }
        let pending: BTreeSet<String> = items.iter().map(|item| task_id(item).to_owned()).collect();
        let sent = self.tasks.values().filter(|task| task.function == name && task.dispatches > 0);
        let sent = sent.filter_map(|task| task.stored.clone());
        let finishing = self.being_finished(name).map(|id| id.as_str().to_owned());
        let live: BTreeSet<String> = sent.chain(finishing).collect();
        if let Some(scheduler) = self.schedulers.get_mut(name) {
            scheduler.sent_tasks.learn(pending, live);
        }
    }

    pub(crate) fn take_deferred(&mut self, request_id: u64, items: Vec<ConfigurationItem>) {
        let Some(record) = self.store_requests.remove(&request_id) else { return };
        let name = record.function;
        if !self.is_home(&name) || !self.schedulers.contains_key(&name) {
            return;
        }
        self.learn_sent(&name, &items);
        for item in items {
            let id = task_id(&item).to_owned();
            let known = self.tasks.values().any(|task| task.stored.as_deref() == Some(id.as_str()));
            let capacity = self
                .schedulers
                .get(&name)
                .is_some_and(|scheduler| scheduler.queued.len() < self.timing.function_inbox / 2);
            let Some(kept) = wire::from_bytes::<StoredRequest>(item.value.as_slice()) else { continue };
            if known || !capacity || self.finished.contains_key(&id) {
                continue;
            }
            let number = self.number();
            let sent = self.schedulers.get(&name).is_some_and(|scheduler| scheduler.sent_tasks.may_contain(&id));
            let dispatches = u32::from(sent);
            let task = OwnedRequest {
                id: TaskId { from: 0, task: number },
                function: name.clone(),
                binding: kept.binding.as_str().into(),
                class: Class::Deferred,
                arrived: self.now,
                due: Duration::MAX,
                aim: None,
                not_before: self.now,
                place: Place::Queued,
                scope: String::new(),
                digest: Vec::new(),
                head: kept.head.into_vec(),
                body: kept.body.into_vec(),
                claim: 0,
                stored: Some(id),
                respond_async: false,
                caller: false,
                dispatches,
                attempts: u32::MAX,
                granted: u32::MAX,
                failure: None,
                avoid: String::new(),
                reached: true,
                rank: crate::wait_queue::LOWEST_PRIORITY,
                inherits: false,
            };
            self.tasks.insert(number, task);
            self.enqueue(number);
        }
    }
}
