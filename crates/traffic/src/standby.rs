//! Standby copies of an owner's tables. Twice a second an owner sends the table of each active function to the router
//! that would be its next owner. After a crash the next owner starts from its copy; if the lost router returns and is
//! the owner again, the copy is sent back to it. A table under an older membership than the one by which the scheduler
//! was acquired is refused, because its sender has been fenced off.

use crate::function_owner::FunctionOwner;
use crate::instance::{Instance, InstanceEvent, PendingStart, Phase};
use crate::owner_types::{OwnerOutput, RequestState, StoreOperation};
use crate::sent_tasks::SentTasks;
use crate::starting::probe_limit;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::{ForwardMessage, InstanceSlots, NodeId, OwnershipTable, Text};

/// Interval at which tables are sent to their standby.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(500);
/// How long a standby copy is used after it was received.
const STANDBY_COPY_TTL: Duration = Duration::from_secs(6);
/// Interval between heartbeats to fronts.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How long requests of another owner count as running at an instance after its table was received.
const FOREIGN_TIME: Duration = Duration::from_millis(600);
/// Maximum number of sent requests that a table lists.
const MAX_REPORTED_SENT_TASKS: usize = 256;
/// Maximum number of standby copies kept.
const MAX_STANDBY_COPIES: usize = 20_000;

/// Table kept for another owner.
pub struct StandbyCopy {
    pub at: Duration,
    pub from: NodeId,
    pub incarnation: u64,
    pub table: OwnershipTable,
}

impl FunctionOwner {
    /// Returns the table of a function for another owner, as a standby copy or for a handover.
    pub(crate) fn ownership_table(&mut self, name: &str, is_standby_copy: bool) -> Option<OwnershipTable> {
        let now = self.now;
        let scheduler = self.schedulers.get_mut(name)?;
        let (requests, retries) = scheduler.budget.reported(now);
        let is_alive = |instance: &Instance| matches!(instance.phase(), Phase::Ready | Phase::Starting);
        let slots: Vec<InstanceSlots> = scheduler
            .instances
            .iter()
            .filter(|(_, instance)| is_alive(instance))
            .map(|(id, instance)| InstanceSlots {
                instance: id.as_str().into(),
                address: instance.address.as_str().into(),
                ready: (instance.phase() == Phase::Ready) as u8,
                busy: instance.busy,
            })
            .collect();
        let sent_tasks = scheduler.sent_tasks.ids_up_to(MAX_REPORTED_SENT_TASKS);
        let is_complete = sent_tasks.is_some();
        let started: Vec<Text> = sent_tasks.into_iter().flatten().map(Text::from).collect();
        Some(OwnershipTable {
            function: name.into(),
            membership: self.membership.number,
            is_standby_copy: is_standby_copy as u8,
            slots: slots.into(),
            requests: requests as u32,
            retries: retries as u32,
            rejections: scheduler.rejection_limit.reported(now) as u32,
            started: started.into(),
            is_started_complete: is_complete as u8,
        })
    }

    /// Sends heartbeats, while this owner may serve, to the fronts whose requests it has and to older ones that rely on
    /// heartbeats; and sends tables to their standbys.
    pub(crate) fn standby_pass(&mut self) {
        let now = self.now;
        if self.may_serve && now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL {
            self.heartbeat_sent_at = now;
            let older_members = self.membership.members.iter().filter(|line| line.hashing < 2).map(|line| line.id);
            let waiting = self.tasks.values().filter(|task| task.is_caller_waiting).map(|task| task.id.from);
            let fronts: BTreeSet<NodeId> = waiting.chain(older_members).collect();
            let others = fronts.into_iter().filter(|id| *id != self.me);
            self.outs.extend(others.map(|to| OwnerOutput::Forward { to, message: ForwardMessage::Heartbeat }));
        }
        if now < self.replicated_at + REPLICATION_INTERVAL {
            return;
        }
        self.replicated_at = now;
        self.standby_copies.retain(|_, copy| now < copy.at + STANDBY_COPY_TTL);
        let is_in_use = |scheduler: &mut crate::function_scheduler::FunctionScheduler| {
            scheduler.leaving.is_none() && (!scheduler.instances.is_empty() || scheduler.budget.counts(now) != (0, 0))
        };
        let names: Vec<String> = self
            .schedulers
            .iter_mut()
            .filter_map(|(name, scheduler)| is_in_use(scheduler).then(|| name.clone()))
            .collect();
        for name in names {
            let Some(to) = self.membership.owner_after(&name, self.me).filter(|to| *to != self.me) else { continue };
            if let Some(table) = self.ownership_table(&name, true) {
                self.outs.push(OwnerOutput::Forward { to, message: ForwardMessage::OwnershipTable { table } });
            }
        }
    }

    /// Handles a table from another owner: a standby copy or a handover.
    pub(crate) fn handle_table(&mut self, from: NodeId, table: OwnershipTable) {
        if table.is_standby_copy == 0 {
            return self.handle_handover(table);
        }
        let Some(incarnation) = self.membership.member(from).map(|line| line.incarnation) else { return };
        if self.standby_copies.len() < MAX_STANDBY_COPIES || self.standby_copies.contains_key(table.function.as_str()) {
            let name = table.function.as_str().to_owned();
            self.standby_copies.insert(name, StandbyCopy { at: self.now, from, incarnation, table });
        }
    }

    /// Starts from the standby copy of a function whose owner was lost, now that this router is the owner.
    pub(crate) fn adopt_standby_copy(&mut self, name: &str) {
        let now = self.now;
        if let Some(copy) = self.standby_copies.remove(name).filter(|copy| now < copy.at + STANDBY_COPY_TTL) {
            // The owner may have sent more requests after the copy, so the copy's list of sent ones is not complete.
            let table = OwnershipTable { is_started_complete: 0, ..copy.table };
            self.adopt_table(table, Some(copy.at), (copy.at + FOREIGN_TIME * 4).min(now + FOREIGN_TIME));
        }
    }

    /// Sends standby copies back to their owners that were lost and are back under a new incarnation, without any
    /// state.
    pub(crate) fn return_standby_copies(&mut self) {
        let now = self.now;
        let has_returned = |copy: &StandbyCopy| {
            let line = self.membership.member(copy.from);
            line.is_some_and(|line| line.incarnation != copy.incarnation && line.leaving == 0)
                && self.membership.owner(copy.table.function.as_str()) == Some(copy.from)
        };
        let names: Vec<String> =
            self.standby_copies.iter().filter(|(_, copy)| has_returned(copy)).map(|(name, _)| name.clone()).collect();
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
            let earlier = self.history.earlier_owners_of(now, &name);
            let allowances = &self.settings.allowances;
            allowances.raise_copied_counts(earlier, &mut table.requests, &mut table.retries, &mut table.rejections);
            self.outs.push(OwnerOutput::Forward { to: copy.from, message: ForwardMessage::OwnershipTable { table } });
        }
    }

    /// Adopts a table handed over by an earlier owner, unless it is from an outdated membership.
    pub(crate) fn handle_handover(&mut self, table: OwnershipTable) {
        let name = table.function.as_str();
        let mine = self.is_owner(name) && table.membership <= self.membership.number;
        let fits = self
            .schedulers
            .get(name)
            .is_some_and(|scheduler| scheduler.leaving.is_none() && table.membership >= scheduler.acquired_membership);
        if mine && fits {
            let until = self.now + FOREIGN_TIME;
            self.adopt_table(table, None, until);
        }
    }

    /// Adopts a table. A standby copy was received at `copied`; its owner may have used more retries since.
    fn adopt_table(&mut self, table: OwnershipTable, copied: Option<Duration>, foreign_until: Duration) {
        let now = self.now;
        let Some(scheduler) = self.schedulers.get_mut(table.function.as_str()) else { return };
        if scheduler.adopting.take().is_some() {
            let at = copied.unwrap_or(now);
            scheduler.budget.set_earlier_owners(self.history.earlier_owners_of(now, table.function.as_str()));
            scheduler.budget.adopt_counts(now, at, table.requests, table.retries, copied.is_none());
            scheduler.rejection_limit.adopt_count(now, at, table.rejections);
            scheduler.sent_tasks =
                SentTasks::from_table(table.is_started_complete != 0, table.started.iter().map(|id| id.as_str()));
        } else {
            scheduler.budget.add_reported(now, table.retries.saturating_sub(scheduler.reported_counts.0));
            scheduler.rejection_limit.add_reported(now, table.rejections.saturating_sub(scheduler.reported_counts.1));
            scheduler
                .sent_tasks
                .add_from_table(table.is_started_complete != 0, table.started.iter().map(|id| id.as_str()));
        }
        scheduler.reported_counts =
            (scheduler.reported_counts.0.max(table.retries), scheduler.reported_counts.1.max(table.rejections));
        for slot in table.slots.into_vec() {
            let id = slot.instance.as_str();
            if self.stopped.contains_key(id) || self.leaving_instances.contains_key(id) {
                continue;
            }
            let address = slot.address.as_str();
            let boot = scheduler.boot_time();
            let is_new = !scheduler.instances.contains_key(id);
            let instance = scheduler.instances.entry(id.to_owned()).or_insert_with(|| Instance::new(now, address));
            if is_new && slot.ready == 0 && !address.is_empty() {
                let (id, address, after) = (id.to_owned(), address.to_owned(), Duration::ZERO);
                self.outs.push(OwnerOutput::Probe { id, address, after, limit: probe_limit(boot) });
            } else if is_new && slot.ready == 0 {
                instance.pending = Some(PendingStart::handed_over(now));
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

    /// Handles the loss of this router's membership after its lease ran out; other owners have taken over. Requests
    /// that were never dispatched return to their fronts, which may have forwarded them elsewhere, so that no old
    /// request is sent once the router serves again. Stored requests may have been run by the owner in between and are
    /// read from the store again. If this router becomes the owner again, it waits for the table of the owner in
    /// between, like a new owner.
    pub(crate) fn handle_membership_loss(&mut self) {
        let now = self.now;
        for scheduler in self.schedulers.values_mut() {
            scheduler.restart_adoption(now);
        }
        self.store_requests.retain(|_, request_id| request_id.kind != StoreOperation::ReadDeferred);
        self.assume_stored_sent();
        let undispatched: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.is_caller_waiting && task.stored_id.is_none())
            .filter(|(_, task)| !matches!(task.state, RequestState::Running { .. }))
            .map(|(number, _)| *number)
            .collect();
        undispatched.into_iter().for_each(|number| self.send_back(number));
        self.drop_queued_deferred(|_, _| true);
    }
}
