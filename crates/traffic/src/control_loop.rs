//! Main loop of the router's control thread, which feeds the follower with messages of registries and peers. After each
//! step of the follower, its serving lease is written before any of its outputs is sent, so that a staged epoch is never
//! acknowledged while the traffic thread still has a longer lease.

use crate::control_message::ControlMessage;
use crate::errors::RunError;
use crate::rejected_messages::log_rejected_message;
use crate::serving_lease::ServingLease;
use crate::stop_signals::StopSignals;
use crate::stop_stage::PlannedStop;
use crate::traffic_message::TrafficMessage;
use bindings::RouteTable;
use events::event;
use kernel::{Inbox, InboxSender};
use leases::{Follower, FollowerInput, FollowerOutput, ServingStatus};
use links::{LinkEvent, LinkOrder};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{LeaseMessage, Message, NodeId};

/// Minimum and maximum time between two ticks; in between, a tick comes when something is due.
const MIN_TICK: Duration = Duration::from_millis(10);
const MAX_TICK: Duration = Duration::from_millis(250);
/// Time that a new serving status must last before it is logged.
const STATUS_LOG_DELAY: Duration = Duration::from_millis(400);
/// Time after a proof for which the registries count as reachable.
const REACHABLE_FOR: Duration = Duration::from_millis(2500);

/// State of the control thread.
pub struct Control {
    pub started_at: Instant,
    pub follower: Follower,
    pub lease: ServingLease,
    pub links: InboxSender<LinkOrder>,
    pub traffic: InboxSender<TrafficMessage>,
    pub seeds: Vec<String>,
    pub registry_addresses: Vec<String>,
    pub registries: BTreeSet<NodeId>,
    pub published_reachability: (bool, Option<NodeId>),
    pub published_at: Instant,
    pub last_proof_at: Option<Instant>,
    pub serving_status: ServingStatus,
    pub logged_serving_status: ServingStatus,
    pub serving_status_since: Instant,
    pub view: watch::Sender<String>,
    pub grace: Duration,
    /// Revision of the route table that the traffic thread has.
    pub sent_revision: Option<u64>,
    /// Whether the route table includes the declared resources, for the views of them.
    pub has_declared_views: bool,
}

impl Control {
    /// Runs until a planned stop is complete, and returns the time by which the process must have ended. If the traffic
    /// thread ends without a message, it has failed.
    pub async fn run(
        mut self,
        mut inbox: Inbox<ControlMessage>,
        signals: StopSignals,
        mut traffic_end: oneshot::Receiver<()>,
    ) -> Result<Option<Instant>, RunError> {
        self.update_link_addresses();
        let mut last_tick = Instant::now();
        let mut planned_stop: Option<PlannedStop> = None;
        loop {
            tokio::select! {
                biased;
                _ = tokio::time::sleep_until(self.next_tick(last_tick, planned_stop.is_some()).into()) => {
                    last_tick = Instant::now();
                    self.step_follower(FollowerInput::Tick);
                    self.publish_reachability();
                    self.maybe_log_serving_status();
                }
                end = &mut traffic_end => return match end {
                    Ok(()) => Ok(planned_stop.map(|stop| stop.deadline())),
                    Err(_) => Err(RunError::ThreadEnded { name: "traffic" }),
                },
                message = inbox.next() => match message {
                    Some(ControlMessage::Link(event)) => self.handle_link_event(event),
                    Some(ControlMessage::Stop) if planned_stop.is_none() => {
                        event!(shutdown_started);
                        self.step_follower(FollowerInput::Leave);
                        planned_stop = Some(PlannedStop::new(Instant::now(), self.grace));
                    }
                    Some(ControlMessage::Stop) => {}
                    Some(ControlMessage::Seeds(seeds)) => self.handle_seeds(seeds),
                    None => return Ok(None),
                },
            }
            if let Some(stop) = &mut planned_stop {
                let now = Instant::now();
                signals.set_stage(stop.advance(now, self.is_handed_over()));
                if now >= stop.deadline() {
                    event!(stop_overdue);
                    return Ok(Some(stop.deadline()));
                }
            }
        }
    }

    fn next_tick(&self, last_tick: Instant, leaving: bool) -> Instant {
        let is_short = leaving || self.serving_status != self.logged_serving_status;
        let due = if is_short { last_tick + MIN_TICK * 2 } else { self.started_at + self.follower.due() };
        due.clamp(last_tick + MIN_TICK, last_tick + MAX_TICK)
    }

    fn handle_seeds(&mut self, seeds: Result<Vec<String>, String>) {
        match seeds {
            Ok(seeds) => {
                event!(settings_applied, "seeds {}", seeds.join(","));
                self.seeds = seeds;
                self.update_link_addresses();
            }
            Err(error) => event!(settings_rejected, "{error}"),
        }
    }

    fn is_handed_over(&self) -> bool {
        let me = self.follower.me();
        self.follower.membership().member(me).is_none_or(|line| line.leaving != 0)
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Frame { from, message: Message::Lease(message), .. } => {
                let is_from_peer = message.is_from_peer();
                if let LeaseMessage::PeerMembership { number, .. } = &message
                    && *number > self.follower.membership().number
                {
                    event!(membership_from_peer, "membership {number} from {from:016x}");
                }
                if is_from_peer {
                    return self.step_follower(FollowerInput::Peer { from, message });
                }
                self.registries.insert(from);
                if let LeaseMessage::Proof { .. } = &message {
                    self.last_proof_at = Some(Instant::now());
                }
                self.step_follower(FollowerInput::Registry { from, message });
            }
            LinkEvent::Up { id, address, .. } => {
                if self.seeds.contains(&address) || self.registry_addresses.contains(&address) {
                    self.registries.insert(id);
                }
            }
            LinkEvent::Down { id } => drop(self.registries.remove(&id)),
            LinkEvent::Frame { .. } => {}
        }
    }

    fn step_follower(&mut self, input: FollowerInput) {
        let now = self.started_at.elapsed();
        let outputs = self.follower.step(now, input);
        self.lease.set(self.follower.active_epoch(), self.follower.serves_until());
        for output in outputs {
            match output {
                FollowerOutput::ToRegistry { to: Some(to), message } => self.send_to_node(to, message),
                FollowerOutput::ToRegistry { to: None, message } => {
                    for to in self.registries.clone() {
                        self.send_to_node(to, message.clone());
                    }
                }
                FollowerOutput::ToPeer { to, message } => self.send_to_node(to, message),
                FollowerOutput::Activated { step, revision } => {
                    event!(epoch_activated, "step {step} revision {revision}");
                    if self.sent_revision == Some(revision) {
                        self.send_to_traffic(TrafficMessage::Epoch(step));
                    } else {
                        self.sent_revision = Some(revision);
                        let routes = RouteTable::build(step, revision, self.follower.resources());
                        let routes = if self.has_declared_views {
                            routes.with_declarations(self.follower.resources())
                        } else {
                            routes
                        };
                        self.send_to_traffic(TrafficMessage::RouteTable(Box::new(routes)));
                    }
                    self.publish_view();
                }
                FollowerOutput::MembershipUpdated { .. } => {
                    self.send_to_traffic(TrafficMessage::Membership(Box::new(self.follower.membership().clone())));
                    self.update_link_addresses();
                    self.publish_view();
                }
                FollowerOutput::RegistryAddresses { addresses } => {
                    if addresses != self.registry_addresses {
                        self.registry_addresses = addresses;
                        self.update_link_addresses();
                    }
                }
                FollowerOutput::RemovedFromMembers => self.send_to_traffic(TrafficMessage::MembershipLost),
                FollowerOutput::ServingStatus { serving_status } => {
                    self.serving_status = serving_status;
                    self.serving_status_since = Instant::now();
                    self.publish_view();
                }
            }
        }
    }

    /// Logs a new serving status once it has lasted a while; each newly activated epoch loses the lease for a moment.
    fn maybe_log_serving_status(&mut self) {
        if self.serving_status == self.logged_serving_status || self.serving_status_since.elapsed() < STATUS_LOG_DELAY {
            return;
        }
        self.logged_serving_status = self.serving_status;
        match self.serving_status {
            ServingStatus::Waiting => event!(serving_lease_lost),
            ServingStatus::ByCore => event!(serving_lease_renewed),
            ServingStatus::ByPeers => event!(lease_confirmed_by_peers),
        }
    }

    fn send_to_node(&self, to: NodeId, message: LeaseMessage) {
        if let Err(error) = self.links.send(LinkOrder::Send { to, message: Message::Lease(message) }) {
            log_rejected_message(&error, "links");
        }
    }

    fn send_to_traffic(&self, message: TrafficMessage) {
        if let Err(error) = self.traffic.send(message) {
            log_rejected_message(&error, "traffic");
        }
    }

    fn publish_reachability(&mut self) {
        let reachable = self.last_proof_at.is_some_and(|at| at.elapsed() < REACHABLE_FOR);
        let reachability = (reachable, self.follower.tail());
        if reachability != self.published_reachability || self.published_at.elapsed() > REACHABLE_FOR / 5 {
            self.published_reachability = reachability;
            self.published_at = Instant::now();
            let registries = self.registries.iter().copied().collect();
            self.send_to_traffic(TrafficMessage::Registries { tail: self.follower.tail(), reachable, registries });
            self.publish_view();
        }
    }

    /// Updates the addresses of the links. Registries stay connected; members are connected on demand.
    fn update_link_addresses(&self) {
        let addresses = self.seeds.iter().chain(&self.registry_addresses).cloned().collect();
        let members = self.follower.membership().members.iter();
        let members = members.map(|line| (line.id, line.address.as_str().to_owned())).collect();
        for order in [LinkOrder::KeepConnected { addresses }, LinkOrder::SetKnownPeers { members }] {
            if let Err(error) = self.links.send(order) {
                log_rejected_message(&error, "links");
            }
        }
    }
}
