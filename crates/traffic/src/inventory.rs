//! The provider's lists of instances and workers, read by one owner on behalf of all: the first in the reading order
//! that follows from the membership, or the next one if the first is silent. The reader sends the other owners changes,
//! with the time since it requested the list; an owner that missed a change requests the complete inventory. An owner
//! that needs a list requested after its adoption began reads one itself, since it cannot tell this from another
//! owner's clock.

use crate::function_owner::FunctionOwner;
use crate::inventory_records::{change_of, changed, from_instance_record, from_worker_record, removed, worker_record};
use crate::owner_types::OwnerOutput;
use instance_provider::{InstanceLine, InstanceState, Listing, ProviderOrder, WorkerLine};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{ForwardMessage, InventoryChange, NodeId};

/// How long after the list was due the next owner in the reading order waits before it reads the list instead.
const STAND_IN_DELAY: Duration = Duration::from_secs(1);
/// Minimum interval between lists that an owner reads for itself.
const OWN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between requests for the complete inventory.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which workers are read while instances changed lately.
const WORKERS_INTERVAL_AFTER_CHANGE: Duration = Duration::from_millis(1900);
/// Interval at which workers are read otherwise.
const WORKERS_INTERVAL: Duration = Duration::from_secs(6);
/// How long after a change of the instances workers are read at the shorter interval.
const RECENT_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Instances and workers that this owner knows from the provider's lists.
#[derive(Default)]
pub(crate) struct Inventory {
    instances: BTreeMap<String, InstanceLine>,
    workers: BTreeMap<String, WorkerLine>,
    /// Owner that read the known lists, and the number of its last change.
    source: Option<(NodeId, u64)>,
    reading_order: Vec<NodeId>,
    /// When an inventory was last read or received.
    heard_at: Duration,
    /// When the known instance list was requested.
    requested_at: Duration,
    workers_requested_at: Duration,
    list_ordered_at: Option<Duration>,
    workers_ordered_at: Option<Duration>,
    /// When this owner last ordered a list for functions that it is adopting.
    adoption_list_ordered_at: Option<Duration>,
    /// Whether the last list was ordered on behalf of all owners.
    reads_for_all: bool,
    changed_at: Duration,
    missed_at: Option<Duration>,
}

impl Inventory {
    /// Returns the number of owners, including this one.
    pub(crate) fn owners(&self) -> usize {
        self.reading_order.len()
    }
}

impl FunctionOwner {
    /// Updates the order in which owners read the lists, after a change of the membership.
    pub(crate) fn update_reading_order(&mut self) {
        let turn = self.membership.in_order_of_preference("inventory");
        let (now, inventory) = (self.now, &mut self.inventory);
        if !inventory.reading_order.contains(&self.me) {
            inventory.heard_at = now;
        }
        let first = turn.first().copied().filter(|first| *first != self.me && turn.contains(&self.me));
        if let (None, Some(to)) = (inventory.source, first) {
            self.outs.push(OwnerOutput::Forward { to, message: ForwardMessage::InventoryRequest });
        }
        inventory.reading_order = turn;
    }

    /// Orders the lists that this owner should read now.
    pub(crate) fn inventory_pass(&mut self) {
        let now = self.now;
        let Some(position) = self.inventory.reading_order.iter().position(|id| *id == self.me) else { return };
        let every = self.settings.list_interval;
        let is_reader_silent = now >= self.inventory.heard_at + every + STAND_IN_DELAY * position as u32;
        let reads_for_all = position == 0 || is_reader_silent;
        let is_due =
            |ordered_at: Option<Duration>, interval: Duration| ordered_at.is_none_or(|at| now >= at + interval);
        let requested_at = self.inventory.list_ordered_at.unwrap_or_default();
        let needs_list = self.schedulers.values().any(|scheduler| {
            scheduler.adopting.is_some_and(|(since, has_own_list)| !has_own_list && requested_at <= since)
        });
        // Only a list requested while the lease is valid counts, so it is ordered as soon as this owner may serve.
        let reads_for_itself =
            needs_list && self.may_serve && is_due(self.inventory.adoption_list_ordered_at, OWN_READ_INTERVAL);
        if reads_for_itself {
            self.inventory.adoption_list_ordered_at = Some(now);
        }
        if reads_for_itself || reads_for_all && is_due(self.inventory.list_ordered_at, every) {
            self.inventory.list_ordered_at = Some(now);
            self.inventory.reads_for_all = reads_for_all;
            self.outs.push(OwnerOutput::ProviderOrder(ProviderOrder::List));
        }
        let is_unchanged = now > self.inventory.changed_at + RECENT_CHANGE_TIME;
        let every = if is_unchanged { WORKERS_INTERVAL } else { WORKERS_INTERVAL_AFTER_CHANGE };
        let are_unknown = !self.workers.are_known() && is_due(self.inventory.workers_ordered_at, OWN_READ_INTERVAL);
        if are_unknown || reads_for_all && is_due(self.inventory.workers_ordered_at, every) {
            self.inventory.workers_ordered_at = Some(now);
            self.outs.push(OwnerOutput::ProviderOrder(ProviderOrder::Workers));
        }
    }

    /// Handles an instance list that this owner has read.
    pub(crate) fn handle_listing(&mut self, listing: Listing, requested_at: Duration) {
        let list: BTreeMap<String, InstanceLine> =
            listing.instances.into_iter().map(|line| (line.id.clone(), line)).collect();
        self.apply_listing(&list, requested_at, true);
        if !self.inventory.reads_for_all {
            return;
        }
        let number = self.next_number();
        let inventory = &mut self.inventory;
        let since = inventory.source.filter(|(from, _)| *from == self.me).map_or(0, |(_, number)| number);
        let change = InventoryChange { number, since, ..change_of(&inventory.instances, &list) };
        if !change.instances.as_slice().is_empty() || !change.removed_instances.as_slice().is_empty() {
            inventory.changed_at = self.now;
        }
        inventory.instances = list;
        (inventory.requested_at, inventory.heard_at) = (requested_at, self.now);
        inventory.source = Some((self.me, number));
        let change = if since == 0 { self.complete_inventory(number) } else { change };
        self.send_to_other_owners(change);
    }

    /// Handles a worker list that this owner has read.
    pub(crate) fn handle_worker_list(&mut self, lines: Vec<WorkerLine>, requested_at: Duration) {
        let workers: BTreeMap<String, WorkerLine> =
            lines.iter().map(|line| (line.name.clone(), line.clone())).collect();
        self.apply_worker_list(lines, requested_at);
        let number = self.next_number();
        let inventory = &mut self.inventory;
        let differs = changed(&inventory.workers, &workers).map(worker_record).collect::<Vec<_>>();
        let workers_gone = removed(&inventory.workers, &workers);
        (inventory.workers, inventory.workers_requested_at) = (workers, requested_at);
        // Before the first instance list there is no inventory that a change could refer to; the workers are sent with
        // it.
        let Some((from, since)) = inventory.source else { return };
        if from == self.me {
            inventory.source = Some((from, number));
            let workers_read = 1;
            let (workers, workers_gone) = (differs.into(), workers_gone.into());
            self.send_to_other_owners(InventoryChange {
                number,
                since,
                workers_read,
                workers,
                removed_workers: workers_gone,
                ..InventoryChange::default()
            });
        }
    }

    fn send_to_other_owners(&mut self, change: InventoryChange) {
        let inventory = self.with_ages(change);
        let others = self.inventory.reading_order.iter().filter(|id| **id != self.me);
        let message = |to: &NodeId| {
            let message = ForwardMessage::Inventory { inventory: inventory.clone() };
            OwnerOutput::Forward { to: *to, message }
        };
        self.outs.extend(others.map(message));
    }

    /// Sends the complete inventory to an owner that missed a change or has just started.
    pub(crate) fn handle_inventory_request(&mut self, to: NodeId) {
        if let Some((_, number)) = self.inventory.source.filter(|(from, _)| *from == self.me) {
            let inventory = self.with_ages(self.complete_inventory(number));
            self.outs.push(OwnerOutput::Forward { to, message: ForwardMessage::Inventory { inventory } });
        }
    }

    fn complete_inventory(&self, number: u64) -> InventoryChange {
        let workers: Vec<_> = self.inventory.workers.values().map(worker_record).collect();
        InventoryChange {
            number,
            workers_read: !workers.is_empty() as u8,
            workers: workers.into(),
            ..change_of(&BTreeMap::new(), &self.inventory.instances)
        }
    }

    fn with_ages(&self, change: InventoryChange) -> InventoryChange {
        let age = |requested_at: Duration| self.now.saturating_sub(requested_at).as_millis() as u32;
        let (age_ms, workers_age_ms) = (age(self.inventory.requested_at), age(self.inventory.workers_requested_at));
        InventoryChange { age_ms, workers_age_ms, ..change }
    }

    /// Handles the inventory that another owner has read. Instances shown as leaving are drained at once, whichever
    /// owner read them.
    pub(crate) fn handle_inventory(&mut self, from: NodeId, change: InventoryChange) {
        let now = self.now;
        let lines: Vec<InstanceLine> = change.instances.iter().map(from_instance_record).collect();
        let leaving = lines.iter().filter(|line| line.state == InstanceState::Leaving);
        let leaving: BTreeMap<String, InstanceLine> = leaving.map(|line| (line.id.clone(), line.clone())).collect();
        self.drain_leaving(&leaving);
        let position =
            |id: NodeId| self.inventory.reading_order.iter().position(|known| *known == id).unwrap_or(usize::MAX);
        if let Some((known, _)) = self.inventory.source
            && position(known) < position(from)
            && now < self.inventory.heard_at + self.settings.list_interval + STAND_IN_DELAY
        {
            return;
        }
        if change.since != 0 && self.inventory.source != Some((from, change.since)) {
            if self.inventory.missed_at.is_none_or(|at| now >= at + REQUEST_INTERVAL) {
                self.inventory.missed_at = Some(now);
                self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::InventoryRequest });
            }
            return;
        }
        let inventory = &mut self.inventory;
        if change.since == 0 {
            inventory.instances.clear();
            inventory.workers.clear();
        }
        change.removed_instances.iter().for_each(|id| drop(inventory.instances.remove(id.as_str())));
        inventory.instances.extend(lines.into_iter().map(|line| (line.id.clone(), line)));
        (inventory.source, inventory.heard_at) = (Some((from, change.number)), now);
        let ago = |age: u32| now.saturating_sub(Duration::from_millis(age.into()));
        inventory.requested_at = ago(change.age_ms);
        change.removed_workers.iter().for_each(|name| drop(inventory.workers.remove(name.as_str())));
        inventory.workers.extend(change.workers.iter().map(from_worker_record).map(|line| (line.name.clone(), line)));
        let list = std::mem::take(&mut inventory.instances);
        let workers = (change.workers_read != 0).then(|| inventory.workers.values().cloned().collect());
        self.apply_listing(&list, ago(change.age_ms), false);
        self.inventory.instances = list;
        if let Some(lines) = workers {
            self.inventory.workers_requested_at = ago(change.workers_age_ms);
            self.apply_worker_list(lines, ago(change.workers_age_ms));
        }
    }

    fn drain_leaving(&mut self, lines: &BTreeMap<String, InstanceLine>) {
        let functions: BTreeSet<&str> = lines.values().map(|line| line.service.as_str()).collect();
        self.leaving_instances.extend(lines.keys().map(|id| (id.clone(), self.now)));
        for name in functions {
            let Some(scheduler) = self.schedulers.get_mut(name) else { continue };
            let known = scheduler.instances.iter_mut().filter(|(id, _)| lines.contains_key(*id));
            known.for_each(|(_, instance)| instance.apply(crate::instance::InstanceEvent::Drain));
        }
    }
}
