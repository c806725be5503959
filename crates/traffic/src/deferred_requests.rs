//! Execution of accepted deferred requests: an owner reads the pending requests of its functions back from the
//! registries' store, after it became the owner or restarted and at intervals, and runs them to completion.

use crate::function_owner::FunctionOwner;
use crate::owner_types::{OwnedRequest, OwnerOutput, RequestState, StoreOperation, StoreRequest, TaskId};
use bindings::Class;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{ConfigurationItem, StoredRequest};

/// Maximum number of reads of the store in flight.
const READS_AT_ONCE: usize = 4;
/// Number of items from which on a list may be only a part of what is pending.
const FULL_PAGE_ITEMS: usize = 500;

/// Returns the name under which the item's request is stored.
fn task_id(item: &ConfigurationItem) -> &str {
    item.key.as_str().rsplit('/').next().unwrap_or_default()
}

impl FunctionOwner {
    /// Reads the pending requests of functions whose last read was long enough ago.
    pub(crate) fn deferred_pass(&mut self) {
        let now = self.now;
        let Some(routes) = self.routes.clone() else { return };
        if !self.registries_reachable || !self.may_serve {
            return;
        }
        let reading =
            self.store_requests.values().filter(|request| request.kind == StoreOperation::ReadDeferred).count();
        let due_functions: Vec<String> = self
            .schedulers
            .iter()
            .filter(|(_, scheduler)| scheduler.leaving.is_none() && scheduler.adopting.is_none())
            .filter(|(_, scheduler)| {
                scheduler.deferred_read_at.is_none_or(|at| now >= at + self.settings.deferred_read_interval)
            })
            .filter(|(name, _)| routes.has_deferred_binding(name))
            .map(|(name, _)| name.clone())
            .take(READS_AT_ONCE.saturating_sub(reading))
            .collect();
        for name in due_functions {
            if let Some(scheduler) = self.schedulers.get_mut(&name) {
                scheduler.deferred_read_at = Some(now);
            }
            let request_id = self.next_number();
            let record = StoreRequest {
                kind: StoreOperation::ReadDeferred,
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

    /// Assumes that another owner may have sent the stored requests. Queued ones are dropped and read back from the
    /// store; those being stored count as sent.
    pub(crate) fn assume_stored_sent(&mut self) {
        let queued = |task: &OwnedRequest| task.stored_id.is_some() && task.state == RequestState::Queued;
        let numbers: Vec<u64> = self.tasks.iter().filter(|(_, task)| queued(task)).map(|(number, _)| *number).collect();
        for number in numbers {
            self.accept(number);
            self.forget(number);
        }
        let storing = self.tasks.values_mut().filter(|task| task.state == RequestState::Storing);
        storing.for_each(|task| task.dispatches = task.dispatches.max(1));
    }

    /// Updates the set of sent requests from the pending ones. Without an earlier owner's table, every request pending
    /// at the first read may have been sent already; requests stored later were not sent by another owner.
    fn update_sent_tasks(&mut self, name: &str, items: &[ConfigurationItem]) {
        if items.len() >= FULL_PAGE_ITEMS {
            return;
        }
        let pending: BTreeSet<String> = items.iter().map(|item| task_id(item).to_owned()).collect();
        let sent = self.tasks.values().filter(|task| task.function == name && task.dispatches > 0);
        let sent = sent.filter_map(|task| task.stored_id.clone());
        let finishing = self.unconfirmed_finishes(name).map(|id| id.as_str().to_owned());
        let live: BTreeSet<String> = sent.chain(finishing).collect();
        if let Some(scheduler) = self.schedulers.get_mut(name) {
            scheduler.sent_tasks.reconcile(pending, live);
        }
    }

    /// Queues the pending requests of the list that this owner does not hold yet, while the queue has room.
    pub(crate) fn handle_deferred_list(&mut self, request_id: u64, items: Vec<ConfigurationItem>) {
        let Some(record) = self.store_requests.remove(&request_id) else { return };
        let name = record.function;
        if !self.is_owner(&name) || !self.schedulers.contains_key(&name) {
            return;
        }
        self.update_sent_tasks(&name, &items);
        for item in items {
            let id = task_id(&item).to_owned();
            let is_known = self.tasks.values().any(|task| task.stored_id.as_deref() == Some(id.as_str()));
            let has_room = self
                .schedulers
                .get(&name)
                .is_some_and(|scheduler| scheduler.queued.len() < self.settings.max_queue_length / 2);
            let Some(stored_request) = wire::from_bytes::<StoredRequest>(item.value.as_slice()) else { continue };
            if is_known || !has_room || self.finished.contains_key(&id) {
                continue;
            }
            let number = self.next_number();
            let may_be_sent = self.schedulers.get(&name).is_some_and(|scheduler| scheduler.sent_tasks.may_contain(&id));
            let dispatches = u32::from(may_be_sent);
            let task = OwnedRequest {
                id: TaskId { from: 0, task: number },
                function: name.clone(),
                binding: stored_request.binding.as_str().into(),
                class: Class::Deferred,
                arrived: self.now,
                deadline: Duration::MAX,
                aim: None,
                not_before: self.now,
                state: RequestState::Queued,
                scope: String::new(),
                digest: Vec::new(),
                head: stored_request.head.into_vec(),
                body: stored_request.body.into_bytes(),
                _reservation: None,
                claim_request_id: 0,
                stored_id: Some(id),
                respond_async: false,
                is_caller_waiting: false,
                dispatches,
                attempts: u32::MAX,
                granted: u32::MAX,
                failure: None,
                last_instance: String::new(),
                may_have_run: true,
                rank: crate::wait_queue::LOWEST_PRIORITY,
                has_shortened_deadline: false,
            };
            self.tasks.insert(number, task);
            self.enqueue(number);
        }
    }
}
