//! What an owner knows of its functions, kept by the router that would be the owner next: twice a second a
//! owner sends it each table in use. After a crash the next owner begins from the table it kept; if the
//! machine that was lost comes back by itself and is the owner again, the table is handed back to it. A
//! table under an older membership than the scheduler was taken by is refused: its sender was fenced out.

use crate::function_owner::FunctionOwner;
use crate::instance::{Instance, InstanceEvent, PendingStart, Phase};
use crate::owner_types::{OwnerOutput, Place, StoreOperation};
use crate::sent_tasks::SentTasks;
use crate::starting::probe_limit;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{ForwardMessage, InstanceSlots, NodeId, OwnershipTable, Text};

const REPLICATION_INTERVAL: Duration = Duration::from_millis(500);
const STANDBY_COPY_TTL: Duration = Duration::from_secs(6);
const HEARTBEAT: Duration = Duration::from_millis(100);
const FOREIGN: Duration = Duration::from_millis(600);
const MAX_STARTED_NAMES: usize = 256;
const MAX_STANDBY_COPIES: usize = 20_000;

pub struct StandbyCopy {
    pub at: Duration,
    pub from: NodeId,
    pub incarnation: u64,
    pub table: OwnershipTable,
}

impl FunctionOwner {
    pub(crate) fn table_of(&mut self, name: &str, is_standby_copy: bool) -> Option<OwnershipTable> {
        let now = self.now;
        let scheduler = self.schedulers.get_mut(name)?;
        let (requests, retries) = scheduler.budget.reported(now);
        let known = |instance: &Instance| matches!(instance.phase(), Phase::Ready | Phase::Starting);
        let slots: Vec<InstanceSlots> = scheduler
            .instances
            .iter()
            .filter(|(_, instance)| known(instance))
            .map(|(id, instance)| InstanceSlots {
                instance: id.as_str().into(),
                address: instance.address.as_str().into(),
                ready: (instance.phase() == Phase::Ready) as u8,
                busy: instance.busy,
            })
            .collect();
        let sent_tasks = scheduler.sent_tasks.reported(MAX_STARTED_NAMES);
        let whole = sent_tasks.is_some();
        let started: Vec<Text> = sent_tasks.into_iter().flatten().map(Text::from).collect();
        Some(OwnershipTable {
            function: name.into(),
            membership: self.membership.number,
            is_standby_copy: is_standby_copy as u8,
            slots: slots.into(),
            requests: requests as u32,
            retries: retries as u32,
            rejections: scheduler.unproven.reported(now) as u32,
            started: started.into(),
            is_started_complete: whole as u8,
        })
    }

    /// Heartbeats to the fronts whose tasks are here, and to those that count on heartbeats, while this owner may
    /// serve, and tables to those who keep them.
    pub(crate) fn standby_pass(&mut self) {
        let now = self.now;
        if self.may_serve && now >= self.heartbeat_sent + HEARTBEAT {
            self.heartbeat_sent = now;
            let older = self.membership.members.iter().filter(|line| line.hashing < 2).map(|line| line.id);
            let waiting = self.tasks.values().filter(|task| task.caller).map(|task| task.id.from);
            let fronts: BTreeSet<NodeId> = waiting.chain(older).collect();
            let others = fronts.into_iter().filter(|id| *id != self.me);
            self.outs.extend(others.map(|to| OwnerOutput::Forward { to, message: ForwardMessage::Heartbeat }));
        }
        if now < self.replicated_at + REPLICATION_INTERVAL {
            return;
        }
        self.replicated_at = now;
        self.standby_copies.retain(|_, copy| now < copy.at + STANDBY_COPY_TTL);
        let in_use = |scheduler: &mut crate::function_scheduler::FunctionScheduler| {
            scheduler.leaving.is_none() && (!scheduler.instances.is_empty() || scheduler.budget.counts(now) != (0, 0))
        };
        let names: Vec<String> = self
            .schedulers
            .iter_mut()
            .filter_map(|(name, scheduler)| in_use(scheduler).then(|| name.clone()))
            .collect();
        for name in names {
            let Some(to) = self.membership.owner_after(&name, self.me).filter(|to| *to != self.me) else { continue };
            if let Some(table) = self.table_of(&name, true) {
                self.outs.push(OwnerOutput::Forward { to, message: ForwardMessage::OwnershipTable { table } });
            }
        }
    }

    pub(crate) fn on_table(&mut self, from: NodeId, table: OwnershipTable) {
        if table.is_standby_copy == 0 {
            return self.take_handover(table);
        }
        let Some(incarnation) = self.membership.member(from).map(|line| line.incarnation) else { return };
        if self.standby_copies.len() < MAX_STANDBY_COPIES || self.standby_copies.contains_key(table.function.as_str()) {
            let name = table.function.as_str().to_owned();
            self.standby_copies.insert(name, StandbyCopy { at: self.now, from, incarnation, table });
        }
    }

    /// The owner a table was kept for was lost, and this is the owner now.
    pub(crate) fn take_standby_copy(&mut self, name: &str) {
        let now = self.now;
        if let Some(copy) = self.standby_copies.remove(name).filter(|copy| now < copy.at + STANDBY_COPY_TTL) {
            // The owner may have gone on sending after it: what it names as begun is not all.
            let table = OwnershipTable { is_started_complete: 0, ..copy.table };
            self.take_table(table, Some(copy.at), (copy.at + FOREIGN * 4).min(now + FOREIGN));
        }
    }

    /// A machine that was lost is back under a new incarnation, knowing nothing: it is handed what
    /// was kept for it.
    pub(crate) fn hand_back(&mut self) {
        let now = self.now;
        let back = |copy: &StandbyCopy| {
            let line = self.membership.member(copy.from);
            line.is_some_and(|line| line.incarnation != copy.incarnation && line.leaving == 0)
                && self.membership.owner(copy.table.function.as_str()) == Some(copy.from)
        };
        let names: Vec<String> =
            self.standby_copies.iter().filter(|(_, copy)| back(copy)).map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some(copy) = self.standby_copies.remove(&name).filter(|copy| now < copy.at + STANDBY_COPY_TTL) else {
                continue;
            };
            let mut table = OwnershipTable {
                is_standby_copy: 0,
                membership: self.membership.number,
                is_started_complete: 0,
                ..copy.table
            };
            let earlier = self.history.earlier_homes(now, &name);
            let allowances = &self.timing.allowances;
            allowances.raise_copied_counts(earlier, &mut table.requests, &mut table.retries, &mut table.rejections);
            self.outs.push(OwnerOutput::Forward { to: copy.from, message: ForwardMessage::OwnershipTable { table } });
        }
    }

    pub(crate) fn take_handover(&mut self, table: OwnershipTable) {
        let name = table.function.as_str();
        let mine = self.is_home(name) && table.membership <= self.membership.number;
        let fits = self
            .schedulers
            .get(name)
            .is_some_and(|scheduler| scheduler.leaving.is_none() && table.membership >= scheduler.taken);
        if mine && fits {
            let until = self.now + FOREIGN;
            self.take_table(table, None, until);
        }
    }

    /// A standby copy is as old as its `copied`: the owner it was kept for has spent more since.
    fn take_table(&mut self, table: OwnershipTable, copied: Option<Duration>, foreign_until: Duration) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(table.function.as_str()) else { return };
        if scheduler.adopting.take().is_some() {
            let at = copied.unwrap_or(now);
            scheduler.budget.set_earlier_owners(self.history.earlier_homes(now, table.function.as_str()));
            scheduler.budget.adopt_counts(now, at, table.requests, table.retries, copied.is_none());
            scheduler.unproven.adopt_count(now, at, table.rejections);
            scheduler.sent_tasks =
                SentTasks::from_table(table.is_started_complete != 0, table.started.iter().map(|id| id.as_str()));
        } else {
            scheduler.budget.add_reported(now, table.retries.saturating_sub(scheduler.reported.0));
            scheduler.unproven.add_reported(now, table.rejections.saturating_sub(scheduler.reported.1));
            scheduler.sent_tasks.learn_more(table.is_started_complete != 0, table.started.iter().map(|id| id.as_str()));
        }
        scheduler.reported = (scheduler.reported.0.max(table.retries), scheduler.reported.1.max(table.rejections));
        for slot in table.slots.into_vec() {
            let id = slot.instance.as_str();
            if self.stopped.contains_key(id) || self.leaving.contains_key(id) {
                continue;
            }
            let address = slot.address.as_str();
            let boot = scheduler.boot();
            let fresh = !scheduler.instances.contains_key(id);
            let instance = scheduler.instances.entry(id.to_owned()).or_insert_with(|| Instance::new(now, address));
            if fresh && slot.ready == 0 && !address.is_empty() {
                let (id, address, after) = (id.to_owned(), address.to_owned(), Duration::ZERO);
                self.outs.push(OwnerOutput::Probe { id, address, after, limit: probe_limit(boot) });
            } else if fresh && slot.ready == 0 {
                instance.pending = Some(PendingStart::handed(now));
            }
            if instance.address.is_empty() {
                instance.address = address.to_owned();
            }
            if slot.ready != 0 {
                instance.apply(InstanceEvent::Ready);
            }
            instance.foreign_requests = slot.busy;
            instance.foreign_until = foreign_until;
        }
    }

    /// This router's hold had lapsed: other owners have taken over. What was never dispatched goes back
    /// to its front, which has moved on if it could, so that nothing old is sent after a new beginning.
    /// Stored tasks may have been run by the owner between and are read anew from the chain.
    /// Should this be owner again, it is as one that comes anew: it waits for the table of the owner between.
    pub(crate) fn lapsed(&mut self) {
        let now = self.now;
        for scheduler in self.schedulers.values_mut() {
            scheduler.begin_anew(now);
        }
        self.store_requests.retain(|_, request_id| request_id.kind != StoreOperation::Deferred);
        self.doubt_stored();
        let undone: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.caller && task.stored.is_none())
            .filter(|(_, task)| !matches!(task.place, Place::Running { .. }))
            .map(|(number, _)| *number)
            .collect();
        undone.into_iter().for_each(|number| self.send_back(number));
        self.drop_deferred(|_, _| true);
    }
}
