//! The provider's list and its workers, read by one owner for all: the first in turn by the membership, or
//! the next should nothing be heard from it. What it read goes to the other owners as changes, with the
//! time since it was asked for; who missed some asks for the whole. An owner that waits for a list asked
//! for after its own beginning reads one itself, since no other's clock can tell that for sure.

use crate::function_owner::FunctionOwner;
use crate::inventory_records::{change_of, changed, from_record, from_worker_record, gone, worker_record};
use crate::owner_types::OwnerOutput;
use instance_provider::{InstanceLine, InstanceState, Listing, ProviderOrder, WorkerLine};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::{ForwardMessage, InventoryChange, NodeId};

/// How long after the list was due the next in turn waits before it reads in the other's place.
const STAND_IN: Duration = Duration::from_secs(1);
const OWN_PAUSE: Duration = Duration::from_millis(500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
const WORKERS_SOON: Duration = Duration::from_millis(1900);
const WORKERS_SELDOM: Duration = Duration::from_secs(6);
const CHANGES_LAST: Duration = Duration::from_secs(4);

#[derive(Default)]
pub(crate) struct Inventory {
    instances: BTreeMap<String, InstanceLine>,
    workers: BTreeMap<String, WorkerLine>,
    /// Who read what is known here, and under which number.
    source: Option<(NodeId, u64)>,
    turn: Vec<NodeId>,
    heard: Duration,
    asked: Duration,
    workers_asked: Duration,
    ordered: Option<Duration>,
    workers_ordered: Option<Duration>,
    /// When this owner last ordered a list for functions that it adopts.
    adoption_ordered: Option<Duration>,
    for_all: bool,
    changed: Duration,
    missed: Option<Duration>,
}

impl Inventory {
    /// How many owners there are, this one and others.
    pub(crate) fn owners(&self) -> usize {
        self.turn.len()
    }
}

impl FunctionOwner {
    /// The owners in the order in which they read for all, under a new membership.
    pub(crate) fn is_inventory_reader(&mut self) {
        let turn = self.membership.in_order_of_preference("inventory");
        let (now, inventory) = (self.now, &mut self.inventory);
        if !inventory.turn.contains(&self.me) {
            inventory.heard = now;
        }
        let first = turn.first().copied().filter(|first| *first != self.me && turn.contains(&self.me));
        if let (None, Some(to)) = (inventory.source, first) {
            self.outs.push(OwnerOutput::Forward { to, message: ForwardMessage::InventoryRequest });
        }
        inventory.turn = turn;
    }

    pub(crate) fn inventory_pass(&mut self) {
        let now = self.now;
        let Some(place) = self.inventory.turn.iter().position(|id| *id == self.me) else { return };
        let every = self.timing.list_every;
        let silent = now >= self.inventory.heard + every + STAND_IN * place as u32;
        let for_all = place == 0 || silent;
        let pause = |ordered: Option<Duration>, pause: Duration| ordered.is_none_or(|at| now >= at + pause);
        let asked = self.inventory.ordered.unwrap_or_default();
        let waits = self
            .schedulers
            .values()
            .any(|scheduler| scheduler.adopting.is_some_and(|(since, told)| !told && asked <= since));
        // The list counts only if it is asked for under the lease: it is ordered as soon as that is there.
        let own = waits && self.may_serve && pause(self.inventory.adoption_ordered, OWN_PAUSE);
        if own {
            self.inventory.adoption_ordered = Some(now);
        }
        if own || for_all && pause(self.inventory.ordered, every) {
            self.inventory.ordered = Some(now);
            self.inventory.for_all = for_all;
            self.outs.push(OwnerOutput::Supply(ProviderOrder::List));
        }
        let calm = now > self.inventory.changed + CHANGES_LAST;
        let every = if calm { WORKERS_SELDOM } else { WORKERS_SOON };
        let unknown = !self.workers.are_known() && pause(self.inventory.workers_ordered, OWN_PAUSE);
        if unknown || for_all && pause(self.inventory.workers_ordered, every) {
            self.inventory.workers_ordered = Some(now);
            self.outs.push(OwnerOutput::Supply(ProviderOrder::Workers));
        }
    }

    /// This owner's own look at the list.
    pub(crate) fn read(&mut self, listing: Listing, asked: Duration) {
        let list: BTreeMap<String, InstanceLine> =
            listing.instances.into_iter().map(|line| (line.id.clone(), line)).collect();
        self.listed(&list, asked, true);
        if !self.inventory.for_all {
            return;
        }
        let number = self.number();
        let inventory = &mut self.inventory;
        let since = inventory.source.filter(|(from, _)| *from == self.me).map_or(0, |(_, number)| number);
        let change = InventoryChange { number, since, ..change_of(&inventory.instances, &list) };
        if !change.instances.as_slice().is_empty() || !change.removed_instances.as_slice().is_empty() {
            inventory.changed = self.now;
        }
        inventory.instances = list;
        (inventory.asked, inventory.heard) = (asked, self.now);
        inventory.source = Some((self.me, number));
        let change = if since == 0 { self.complete_inventory(number) } else { change };
        self.tell_homes(change);
    }

    pub(crate) fn workers_read(&mut self, lines: Vec<WorkerLine>, asked: Duration) {
        let workers: BTreeMap<String, WorkerLine> =
            lines.iter().map(|line| (line.name.clone(), line.clone())).collect();
        self.workers_listed(lines, asked);
        let number = self.number();
        let inventory = &mut self.inventory;
        let differs = changed(&inventory.workers, &workers).map(worker_record).collect::<Vec<_>>();
        let workers_gone = gone(&inventory.workers, &workers);
        (inventory.workers, inventory.workers_asked) = (workers, asked);
        // Before the first list is read there is nobody to tell a difference from: it goes out with that.
        let Some((from, since)) = inventory.source else { return };
        if from == self.me {
            inventory.source = Some((from, number));
            let workers_read = 1;
            let (workers, workers_gone) = (differs.into(), workers_gone.into());
            self.tell_homes(InventoryChange {
                number,
                since,
                workers_read,
                workers,
                removed_workers: workers_gone,
                ..InventoryChange::default()
            });
        }
    }

    fn tell_homes(&mut self, change: InventoryChange) {
        let inventory = self.with_ages(change);
        let others = self.inventory.turn.iter().filter(|id| **id != self.me);
        let message = |to: &NodeId| {
            let message = ForwardMessage::Inventory { inventory: inventory.clone() };
            OwnerOutput::Forward { to: *to, message }
        };
        self.outs.extend(others.map(message));
    }

    /// Another owner misses what went before, or has just begun.
    pub(crate) fn inventory_requested(&mut self, to: NodeId) {
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
        let age = |asked: Duration| self.now.saturating_sub(asked).as_millis() as u32;
        let (age_ms, workers_age_ms) = (age(self.inventory.asked), age(self.inventory.workers_asked));
        InventoryChange { age_ms, workers_age_ms, ..change }
    }

    /// What another owner read. Whatever it shows as leaving counts at once, whoever read it.
    pub(crate) fn inventory_received(&mut self, from: NodeId, change: InventoryChange) {
        let now = self.now;
        let lines: Vec<InstanceLine> = change.instances.iter().map(from_record).collect();
        let leaving = lines.iter().filter(|line| line.state == InstanceState::Leaving);
        let leaving: BTreeMap<String, InstanceLine> = leaving.map(|line| (line.id.clone(), line.clone())).collect();
        self.drain_leaving(&leaving);
        let place = |id: NodeId| self.inventory.turn.iter().position(|known| *known == id).unwrap_or(usize::MAX);
        if let Some((known, _)) = self.inventory.source
            && place(known) < place(from)
            && now < self.inventory.heard + self.timing.list_every + STAND_IN
        {
            return;
        }
        if change.since != 0 && self.inventory.source != Some((from, change.since)) {
            if self.inventory.missed.is_none_or(|at| now >= at + REQUEST_INTERVAL) {
                self.inventory.missed = Some(now);
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
        (inventory.source, inventory.heard) = (Some((from, change.number)), now);
        let ago = |age: u32| now.saturating_sub(Duration::from_millis(age.into()));
        inventory.asked = ago(change.age_ms);
        change.removed_workers.iter().for_each(|name| drop(inventory.workers.remove(name.as_str())));
        inventory.workers.extend(change.workers.iter().map(from_worker_record).map(|line| (line.name.clone(), line)));
        let list = std::mem::take(&mut inventory.instances);
        let workers = (change.workers_read != 0).then(|| inventory.workers.values().cloned().collect());
        self.listed(&list, ago(change.age_ms), false);
        self.inventory.instances = list;
        if let Some(lines) = workers {
            self.inventory.workers_asked = ago(change.workers_age_ms);
            self.workers_listed(lines, ago(change.workers_age_ms));
        }
    }

    fn drain_leaving(&mut self, lines: &BTreeMap<String, InstanceLine>) {
        let functions: BTreeSet<&str> = lines.values().map(|line| line.service.as_str()).collect();
        self.leaving.extend(lines.keys().map(|id| (id.clone(), self.now)));
        for name in functions {
            let Some(scheduler) = self.schedulers.get_mut(name) else { continue };
            let known = scheduler.instances.iter_mut().filter(|(id, _)| lines.contains_key(*id));
            known.for_each(|(_, instance)| instance.apply(crate::instance::InstanceEvent::Drain));
        }
    }
}
