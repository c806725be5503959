//! The router's control thread: the follower, fed from registries and peers. Each step's pass is
//! written before anything it returns is sent, so a staged step is never acknowledged while the
//! traffic thread still holds a longer pass.

use crate::data_plane::TrafficMessage;
use crate::serving_lease::ServingLease;
use bindings::RouteTable;
use events::event;
use kernel::{Inbox, InboxSender};
use leases::{Follower, FollowerInput, FollowerOutput, ServingStatus};
use links::{LinkEvent, LinkOrder};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{LeaseMessage, Message, NodeId};

/// Ticks come when something is due, no closer together than the first and no further apart than the other.
const TICK: Duration = Duration::from_millis(10);
const TICK_IDLE: Duration = Duration::from_millis(250);
const LASTED: Duration = Duration::from_millis(400);
const NEAR: Duration = Duration::from_millis(2500);
const LAST_CALLS: Duration = Duration::from_millis(700);

pub enum ControlMessage {
    Link(LinkEvent),
    Seeds(Result<Vec<String>, String>),
    Stop,
}

pub struct Control {
    pub started_at: Instant,
    pub follower: Follower,
    pub pass: ServingLease,
    pub links: InboxSender<LinkOrder>,
    pub traffic: InboxSender<TrafficMessage>,
    pub seeds: Vec<String>,
    pub seats: Vec<String>,
    pub registries: BTreeSet<NodeId>,
    pub published: (bool, Option<NodeId>),
    pub published_at: Instant,
    pub heard: Option<Instant>,
    pub serving_status: ServingStatus,
    pub logged_serving_status: ServingStatus,
    pub stood_at: Instant,
    pub view: watch::Sender<String>,
    pub grace: Duration,
    /// The revision of the route table that traffic has.
    pub booked: Option<u64>,
    /// Whether somebody may read views of what was declared.
    pub viewed: bool,
}

impl Control {
    /// Runs until a planned stop is over, and returns the moment at which the process must have ended.
    pub async fn run(mut self, mut inbox: Inbox<ControlMessage>, stop: watch::Sender<bool>) -> Option<Instant> {
        self.dial();
        let mut ticked = Instant::now();
        let mut leaving: Option<(Instant, oneshot::Receiver<()>)> = None;
        loop {
            tokio::select! {
                biased;
                _ = tokio::time::sleep_until(self.wake(ticked, leaving.is_some()).into()) => {
                    ticked = Instant::now();
                    self.feed(FollowerInput::Tick);
                    self.tell_core();
                    self.maybe_log_serving_status();
                }
                message = inbox.next() => match message {
                    Some(ControlMessage::Link(event)) => self.link_event(event),
                    Some(ControlMessage::Stop) if leaving.is_none() => {
                        event!(shutdown_started);
                        self.feed(FollowerInput::Leave);
                        let (done, finished) = oneshot::channel();
                        let _ = self.traffic.send(TrafficMessage::Leave { done });
                        leaving = Some((Instant::now(), finished));
                    }
                    Some(ControlMessage::Stop) => {}
                    Some(ControlMessage::Seeds(seeds)) => self.follow_seeds(seeds),
                    None => return None,
                },
            }
            if let Some((since, finished)) = &mut leaving {
                let handed =
                    since.elapsed() > LAST_CALLS && (self.is_handed_over() || since.elapsed() > self.grace / 2);
                if handed && !*stop.borrow() {
                    let _ = stop.send(true);
                }
                let finished = *stop.borrow() && finished.try_recv().is_ok();
                if finished || since.elapsed() > self.grace {
                    return Some(*since + self.grace);
                }
            }
        }
    }

    fn wake(&self, ticked: Instant, leaving: bool) -> Instant {
        let soon = leaving || self.serving_status != self.logged_serving_status;
        let due = if soon { ticked + TICK * 2 } else { self.started_at + self.follower.due() };
        due.clamp(ticked + TICK, ticked + TICK_IDLE)
    }

    fn follow_seeds(&mut self, seeds: Result<Vec<String>, String>) {
        match seeds {
            Ok(seeds) => {
                event!(settings_applied, "seeds {}", seeds.join(","));
                self.seeds = seeds;
                self.dial();
            }
            Err(error) => event!(settings_rejected, "{error}"),
        }
    }

    fn is_handed_over(&self) -> bool {
        let me = self.follower.me();
        self.follower.membership().member(me).is_none_or(|line| line.leaving != 0)
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Frame { from, message: Message::Lease(message), .. } => {
                let peer = message.is_from_peer();
                if let LeaseMessage::PeerMembership { number, .. } = &message
                    && *number > self.follower.membership().number
                {
                    event!(membership_from_peer, "membership {number} from {from:016x}");
                }
                if peer {
                    return self.feed(FollowerInput::Peer { from, message });
                }
                self.registries.insert(from);
                if let LeaseMessage::Proof { .. } = &message {
                    self.heard = Some(Instant::now());
                }
                self.feed(FollowerInput::Registry { from, message });
            }
            LinkEvent::Up { id, address, .. } => {
                if self.seeds.contains(&address) || self.seats.contains(&address) {
                    self.registries.insert(id);
                }
            }
            LinkEvent::Down { id } => drop(self.registries.remove(&id)),
            LinkEvent::Frame { .. } => {}
        }
    }

    fn feed(&mut self, input: FollowerInput) {
        let now = self.started_at.elapsed();
        let outputs = self.follower.step(now, input);
        self.pass.set(self.follower.active_epoch(), self.follower.serves_until());
        for output in outputs {
            match output {
                FollowerOutput::ToRegistry { to: Some(to), message } => self.send(to, message),
                FollowerOutput::ToRegistry { to: None, message } => {
                    for to in self.registries.clone() {
                        self.send(to, message.clone());
                    }
                }
                FollowerOutput::ToPeer { to, message } => self.send(to, message),
                FollowerOutput::Activated { step, revision } => {
                    event!(epoch_activated, "step {step} revision {revision}");
                    if self.booked == Some(revision) {
                        self.tell(TrafficMessage::Step(step));
                    } else {
                        self.booked = Some(revision);
                        let routes = RouteTable::build(step, revision, self.follower.resources());
                        let routes =
                            if self.viewed { routes.with_declarations(self.follower.resources()) } else { routes };
                        self.tell(TrafficMessage::RouteTable(Box::new(routes)));
                    }
                    self.show();
                }
                FollowerOutput::MembershipUpdated { .. } => {
                    self.tell(TrafficMessage::Membership(Box::new(self.follower.membership().clone())));
                    self.dial();
                    self.show();
                }
                FollowerOutput::RegistryAddresses { addresses } => {
                    if addresses != self.seats {
                        self.seats = addresses;
                        self.dial();
                    }
                }
                FollowerOutput::RemovedFromMembers => self.tell(TrafficMessage::Lapsed),
                FollowerOutput::ServingStatus { serving_status } => {
                    self.serving_status = serving_status;
                    self.stood_at = Instant::now();
                    self.show();
                }
            }
        }
    }

    /// Tells of a standing once it has lasted; each step in force loses the proof for a moment.
    fn maybe_log_serving_status(&mut self) {
        if self.serving_status == self.logged_serving_status || self.stood_at.elapsed() < LASTED {
            return;
        }
        self.logged_serving_status = self.serving_status;
        match self.serving_status {
            ServingStatus::Waiting => event!(serving_lease_lost),
            ServingStatus::ByCore => event!(serving_lease_renewed),
            ServingStatus::ByPeers => event!(lease_confirmed_by_peers),
        }
    }

    fn send(&self, to: NodeId, message: LeaseMessage) {
        if self.links.send(LinkOrder::Send { to, message: Message::Lease(message) }).is_err() {
            event!(inbox_full, "links");
        }
    }

    fn tell(&self, message: TrafficMessage) {
        if self.traffic.send(message).is_err() {
            event!(inbox_full, "traffic");
        }
    }

    fn tell_core(&mut self) {
        let near = self.heard.is_some_and(|at| at.elapsed() < NEAR);
        let known = (near, self.follower.tail());
        if known != self.published || self.published_at.elapsed() > NEAR / 5 {
            self.published = known;
            self.published_at = Instant::now();
            let registries = self.registries.iter().copied().collect();
            self.tell(TrafficMessage::Core { tail: self.follower.tail(), near, registries });
            self.show();
        }
    }

    /// Registries are held, members are met when there is something for them.
    fn dial(&self) {
        let addresses = self.seeds.iter().chain(&self.seats).cloned().collect();
        let members = self.follower.membership().members.iter();
        let members = members.map(|line| (line.id, line.address.as_str().to_owned())).collect();
        for order in [LinkOrder::KeepConnected { addresses }, LinkOrder::SetKnownPeers { members }] {
            if self.links.send(order).is_err() {
                event!(inbox_full, "links");
            }
        }
    }
}
