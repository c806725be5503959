//! The owner of functions as one state machine: a table of request records, and a scheduler for each function that it
//! owns. Inputs change records; passes over the table decide which requests are dispatched or given up, and which
//! instances are started or stopped. Nothing is dispatched unless the router holds a valid lease and is a member.

use crate::allowances::Allowances;
use crate::earlier_owners::MembershipHistory;
use crate::function_scheduler::FunctionScheduler;
use crate::inventory::Inventory;
use crate::keyed_operations::KeyedOperations;
use crate::owner_counters::OwnerCounters;
use crate::owner_settings::OwnerSettings;
use crate::owner_types::{OwnedRequest, OwnerInput, OwnerOutput, StoreOperation, StoreRequest, TaskId};
use crate::placement::Workers;
use crate::standby::StandbyCopy;
use bindings::RouteTable;
use leases::{Membership, first_request_number};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use wire::{ForwardMessage, NodeId, OwnershipTable, TunedParameters};

/// Owner of the functions that the membership assigns to this router.
pub struct FunctionOwner {
    pub(crate) me: NodeId,
    pub(crate) incarnation: u64,
    pub(crate) settings: OwnerSettings,
    pub(crate) now: Duration,
    pub(crate) may_serve: bool,
    /// Whether this router has given up its requests near the end of a planned stop.
    pub(crate) has_given_up: bool,
    pub(crate) registries_reachable: bool,
    pub(crate) routes: Option<Rc<RouteTable>>,
    pub(crate) membership: Rc<Membership>,
    pub(crate) history: MembershipHistory,
    pub(crate) tasks: BTreeMap<u64, OwnedRequest>,
    pub(crate) seen_requests: BTreeMap<TaskId, Duration>,
    pub(crate) schedulers: BTreeMap<String, FunctionScheduler>,
    pub(crate) store_requests: BTreeMap<u64, StoreRequest>,
    pub(crate) keyed: KeyedOperations,
    pub(crate) plan_requests: BTreeMap<u64, String>,
    /// Dispatches in flight by dispatch number: request, function, instance, time of sending, and number of concurrent
    /// requests at the instance.
    pub(crate) running: BTreeMap<u64, (u64, String, String, Duration, u32)>,
    /// Instances whose stop was ordered, and when.
    pub(crate) stopped: BTreeMap<String, Duration>,
    /// Instances of functions without a binding, and when they were first seen.
    pub(crate) unbound_since: BTreeMap<String, Duration>,
    /// Stored requests that were answered lately, which the store may still list as pending.
    pub(crate) finished: BTreeMap<String, Duration>,
    pub(crate) last_number: u64,
    /// Instance starts that may be ordered now.
    pub(crate) starts_left: f64,
    pub(crate) starts_refilled_at: Duration,
    pub(crate) scaled_at: Duration,
    pub(crate) sampled_at: Duration,
    pub(crate) last_preemption_at: Duration,
    pub(crate) tuned: (u64, Vec<TunedParameters>),
    pub(crate) heartbeat_sent_at: Duration,
    pub(crate) replicated_at: Duration,
    pub(crate) standby_copies: BTreeMap<String, StandbyCopy>,
    pub(crate) no_growth_until: Duration,
    /// Number of listed instances per function, of all owners.
    pub(crate) listed_counts: BTreeMap<String, u32>,
    /// Instances reported as leaving, and when.
    pub(crate) leaving_instances: BTreeMap<String, Duration>,
    pub(crate) workers: Workers,
    pub(crate) inventory: Inventory,
    pub(crate) outs: Vec<OwnerOutput>,
    pub(crate) counters: OwnerCounters,
}

impl FunctionOwner {
    /// Returns an owner without functions.
    pub fn new(me: NodeId, incarnation: u64, settings: OwnerSettings) -> Self {
        let workers = Workers::new(settings.tolerated_zone_losses > 0);
        let window = Allowances::lengthened_window(settings.allowances.retry_window);
        FunctionOwner {
            me,
            incarnation,
            settings,
            now: Duration::ZERO,
            may_serve: false,
            has_given_up: false,
            registries_reachable: false,
            routes: None,
            membership: Rc::default(),
            history: MembershipHistory::new(window),
            tasks: BTreeMap::new(),
            seen_requests: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            store_requests: BTreeMap::new(),
            keyed: KeyedOperations::default(),
            plan_requests: BTreeMap::new(),
            running: BTreeMap::new(),
            stopped: BTreeMap::new(),
            unbound_since: BTreeMap::new(),
            finished: BTreeMap::new(),
            last_number: first_request_number(incarnation),
            starts_left: 4.0,
            starts_refilled_at: Duration::ZERO,
            scaled_at: Duration::ZERO,
            sampled_at: Duration::ZERO,
            last_preemption_at: Duration::ZERO,
            tuned: (0, Vec::new()),
            heartbeat_sent_at: Duration::ZERO,
            replicated_at: Duration::ZERO,
            standby_copies: BTreeMap::new(),
            no_growth_until: Duration::ZERO,
            listed_counts: BTreeMap::new(),
            leaving_instances: BTreeMap::new(),
            workers,
            inventory: Inventory::default(),
            outs: Vec::new(),
            counters: OwnerCounters::default(),
        }
    }

    /// Handles one input and returns the actions that follow. `may_serve` tells whether the lease is valid.
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
                self.handle_handover(table)
            }
            OwnerInput::Forward { message: ForwardMessage::Preempt { function, .. }, .. } => {
                self.handle_preemption(function.as_str())
            }
            OwnerInput::Forward { from, message: ForwardMessage::Inventory { inventory } } => {
                self.handle_inventory(from, inventory)
            }
            OwnerInput::Forward { from, message: ForwardMessage::InventoryRequest } => {
                self.handle_inventory_request(from)
            }
            OwnerInput::Forward { from, message: ForwardMessage::OwnershipTable { table } } => {
                self.handle_table(from, table)
            }
            OwnerInput::Forward { .. } => {}
            OwnerInput::Dispatched { number, outcome } => self.handle_dispatch_outcome(number, outcome),
            OwnerInput::StoreReply { message } => self.handle_store_reply(message),
            OwnerInput::ProviderReport { report, listed_at } => self.handle_provider_report(report, listed_at),
            OwnerInput::Probed { id, ready } => self.handle_probe_result(&id, ready),
            OwnerInput::Plan { message } => self.handle_plan_reply(message),
            OwnerInput::RouteTable { routes } => {
                let before = self.routes.replace(routes);
                self.align_schedulers();
                self.skip_adoption_of_new_functions(before);
            }
            OwnerInput::Membership { membership } => {
                self.history.add(now, membership.clone());
                self.membership = membership;
                self.update_reading_order();
                self.align_schedulers();
                self.return_standby_copies();
            }
            OwnerInput::MembershipLost => self.handle_membership_loss(),
            OwnerInput::RegistriesReachable { reachable } => self.registries_reachable = reachable,
            OwnerInput::GiveUp => self.give_up(),
            OwnerInput::Tick => self.tick(),
        }
        self.dispatch_pass();
        std::mem::take(&mut self.outs)
    }

    /// Returns the numbers of requests, of dispatches in flight and of open requests to the store.
    pub fn depths(&self) -> (usize, usize, usize) {
        (self.tasks.len(), self.running.len(), self.store_requests.len())
    }

    /// Returns whether no caller waits, nothing is in flight and the registries have confirmed every outcome.
    pub fn is_idle(&self) -> bool {
        self.tasks.values().all(|task| !task.is_caller_waiting)
            && self.running.is_empty()
            && self.store_requests.values().all(|request| request.kind == StoreOperation::ReadDeferred)
    }

    /// Returns whether any request waits for something other than the answer of its instance.
    pub fn has_waiting_work(&self) -> bool {
        self.tasks.len() > self.running.len() || !self.store_requests.is_empty()
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns whether the membership makes this router the owner of the function.
    pub(crate) fn is_owner(&self, function: &str) -> bool {
        self.membership.owner(function) == Some(self.me)
    }
}
