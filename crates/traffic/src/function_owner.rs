//! An owner as one state machine: a table of task records and a scheduler for each function it is the owner
//! to. Inputs change records; passes over the table decide what is dispatched, given up, started
//! and stopped. Nothing is dispatched without a valid pass and the owner's own place in the membership.

use crate::allowances::Allowances;
use crate::earlier_owners::MembershipHistory;
use crate::function_scheduler::FunctionScheduler;
use crate::inventory::Inventory;
use crate::keyed_operations::KeyedOperations;
use crate::owner_counters::OwnerCounters;
use crate::owner_types::{OwnedRequest, OwnerInput, OwnerOutput, OwnerTiming, StoreRequest, TaskId};
use crate::placement::Workers;
use crate::standby::StandbyCopy;
use bindings::RouteTable;
use leases::{Membership, first_request_number};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, OwnershipTable, TunedParameters};

pub struct FunctionOwner {
    pub(crate) me: NodeId,
    pub(crate) incarnation: u64,
    pub(crate) timing: OwnerTiming,
    pub(crate) now: Duration,
    pub(crate) may_serve: bool,
    pub(crate) core_near: bool,
    pub(crate) routes: Option<Rc<RouteTable>>,
    pub(crate) membership: Rc<Membership>,
    pub(crate) history: MembershipHistory,
    pub(crate) tasks: BTreeMap<u64, OwnedRequest>,
    pub(crate) seen: BTreeMap<TaskId, Duration>,
    pub(crate) schedulers: BTreeMap<String, FunctionScheduler>,
    pub(crate) store_requests: BTreeMap<u64, StoreRequest>,
    pub(crate) keyed: KeyedOperations,
    pub(crate) plan_requests: BTreeMap<u64, String>,
    pub(crate) running: BTreeMap<u64, (u64, String, String, Duration, u32)>,
    pub(crate) stopped: BTreeMap<String, Duration>,
    pub(crate) unbound: BTreeMap<String, Duration>,
    pub(crate) finished: BTreeMap<String, Duration>,
    pub(crate) next: u64,
    pub(crate) starts_left: f64,
    pub(crate) refilled: Duration,
    pub(crate) scaled: Duration,
    pub(crate) sampled: Duration,
    pub(crate) last_preemption_at: Duration,
    pub(crate) tuned: (u64, Vec<TunedParameters>),
    pub(crate) heartbeat_sent: Duration,
    pub(crate) replicated_at: Duration,
    pub(crate) standby_copies: BTreeMap<String, StandbyCopy>,
    pub(crate) no_growth: Duration,
    pub(crate) listed: BTreeMap<String, u32>,
    pub(crate) leaving: BTreeMap<String, Duration>,
    pub(crate) workers: Workers,
    pub(crate) inventory: Inventory,
    pub(crate) outs: Vec<OwnerOutput>,
    pub(crate) counters: OwnerCounters,
}

impl FunctionOwner {
    pub fn new(me: NodeId, incarnation: u64, timing: OwnerTiming) -> Self {
        let workers = Workers::new(timing.zone_losses > 0);
        let window = Allowances::lengthened_window(timing.allowances.retry_window);
        FunctionOwner {
            me,
            incarnation,
            timing,
            now: Duration::ZERO,
            may_serve: false,
            core_near: false,
            routes: None,
            membership: Rc::default(),
            history: MembershipHistory::new(window),
            tasks: BTreeMap::new(),
            seen: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            store_requests: BTreeMap::new(),
            keyed: KeyedOperations::default(),
            plan_requests: BTreeMap::new(),
            running: BTreeMap::new(),
            stopped: BTreeMap::new(),
            unbound: BTreeMap::new(),
            finished: BTreeMap::new(),
            next: first_request_number(incarnation),
            starts_left: 4.0,
            refilled: Duration::ZERO,
            scaled: Duration::ZERO,
            sampled: Duration::ZERO,
            last_preemption_at: Duration::ZERO,
            tuned: (0, Vec::new()),
            heartbeat_sent: Duration::ZERO,
            replicated_at: Duration::ZERO,
            standby_copies: BTreeMap::new(),
            no_growth: Duration::ZERO,
            listed: BTreeMap::new(),
            leaving: BTreeMap::new(),
            workers,
            inventory: Inventory::default(),
            outs: Vec::new(),
            counters: OwnerCounters::default(),
        }
    }

    pub fn step(&mut self, now: Duration, may_serve: bool, input: OwnerInput) -> Vec<OwnerOutput> {
        self.now = now;
        self.may_serve = may_serve;
        match input {
            OwnerInput::Forward {
                from,
                message:
                    message @ (ForwardMessage::ForwardUncounted { .. }
                    | ForwardMessage::Forward { .. }
                    | ForwardMessage::ForwardForConsumer { .. }),
            } => {
                if let Some((request, consumer)) = message.into_forward_request() {
                    self.admit(from, request, consumer.as_str());
                }
            }
            OwnerInput::Forward { from, message: ForwardMessage::AttemptGrant { task, attempts } } => {
                self.handle_attempt_grant(from, task, attempts);
            }
            OwnerInput::Forward { from, message: ForwardMessage::HeartbeatRequest } => {
                if may_serve {
                    self.outs.push(OwnerOutput::Forward { to: from, message: ForwardMessage::Heartbeat });
                }
            }
            OwnerInput::Forward {
                message: ForwardMessage::Handover { function, membership, slots, requests, retries },
                ..
            } => {
                let table =
                    OwnershipTable { function, membership, slots, requests, retries, ..OwnershipTable::default() };
                self.take_handover(table)
            }
            OwnerInput::Forward { message: ForwardMessage::Preempt { function, .. }, .. } => {
                self.handle_preemption(function.as_str())
            }
            OwnerInput::Forward { from, message: ForwardMessage::Inventory { inventory } } => {
                self.inventory_received(from, inventory)
            }
            OwnerInput::Forward { from, message: ForwardMessage::InventoryRequest } => self.inventory_requested(from),
            OwnerInput::Forward { from, message: ForwardMessage::OwnershipTable { table } } => {
                self.on_table(from, table)
            }
            OwnerInput::Forward { .. } => {}
            OwnerInput::Dispatched { number, outcome } => self.handle_dispatch_outcome(number, outcome),
            OwnerInput::StoreOperation { message } => self.handle_store_reply(message),
            OwnerInput::Platform { report, listed_at } => self.platform(report, listed_at),
            OwnerInput::Probed { id, ready } => self.probed(&id, ready),
            OwnerInput::Plan { message } => self.handle_plan_reply(message),
            OwnerInput::RouteTable { routes } => {
                let before = self.routes.replace(routes);
                self.align_schedulers();
                self.open_new(before);
            }
            OwnerInput::Membership { membership } => {
                self.history.add(now, membership.clone());
                self.membership = membership;
                self.is_inventory_reader();
                self.align_schedulers();
                self.hand_back();
            }
            OwnerInput::Lapsed => self.lapsed(),
            OwnerInput::Core { near } => self.core_near = near,
            OwnerInput::Tick => self.tick(),
        }
        self.dispatch_pass();
        std::mem::take(&mut self.outs)
    }

    pub fn depths(&self) -> (usize, usize, usize) {
        (self.tasks.len(), self.running.len(), self.store_requests.len())
    }

    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(|task| !task.caller) && self.running.is_empty() && self.store_requests.is_empty()
    }

    /// Whether some task waits here for anything but the answer of the instance it was sent to.
    pub fn waits(&self) -> bool {
        self.tasks.len() > self.running.len() || !self.store_requests.is_empty()
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn is_home(&self, function: &str) -> bool {
        self.membership.owner(function) == Some(self.me)
    }
}
