//! Main loop of the traffic thread. It owns the front and the function owner, feeds them from its inbox and executes
//! their outputs. A request whose owner is this router itself does not leave this loop.

use crate::caller_limits::CallerLimits;
use crate::declared_views::DeclaredViews;
use crate::front::Front;
use crate::front_types::{FrontInput, Reply};
use crate::function_owner::FunctionOwner;
use crate::memory_plan::MemoryPlan;
use crate::memory_watch::MemoryWatch;
use crate::owner_types::OwnerInput;
use crate::serving_lease::ServingLease;
use crate::stop_stage::StopStage;
use crate::traffic_message::TrafficMessage;
use dispatch::{DispatchReport, DispatcherMessage};
use events::event;
use http_server::ShortageReporter;
use instance_provider::{ProviderOrder, ProviderReport};
use kernel::{Inbox, InboxSender};
use links::{LinkEvent, LinkOrder};
use memory::Reservation;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{ForwardMessage, LeaseMessage, Message, NodeId};

const TICK: Duration = Duration::from_millis(20);
/// Tick interval while nothing waits here; messages are still handled as they arrive.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between two updates of the status page.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Set in the ids of the store reads for status queries, to tell them from the owner's reads.
const STATUS_QUERY_BIT: u64 = 1 << 62;

/// State of the traffic thread.
pub struct DataPlane {
    pub me: NodeId,
    pub started_at: Instant,
    pub lease: ServingLease,
    pub front: Front,
    pub owner: FunctionOwner,
    pub memory: MemoryPlan,
    pub memory_watch: MemoryWatch,
    /// Tells how many connections of callers gave way.
    pub shortages: ShortageReporter,
    pub links: InboxSender<LinkOrder>,
    pub dispatcher: InboxSender<DispatcherMessage>,
    pub platform: InboxSender<ProviderOrder>,
    pub view: watch::Sender<String>,
    /// Limits from the settings, and the sender of the limits in force.
    pub caller_limits: (CallerLimits, watch::Sender<CallerLimits>),
    /// `None` if no token is configured, so that nobody may read the views.
    pub declared_views: Option<DeclaredViews>,
    pub epoch: u64,
    /// Registry at the tail of the chain, which answers reads and proposals.
    pub tail: Option<NodeId>,
    pub registries: Vec<NodeId>,
    pub open_calls: BTreeMap<u64, OpenCall>,
    pub status_queries: BTreeMap<u64, (oneshot::Sender<Reply>, Duration)>,
    pub last_request_id: u64,
    /// Stage of a planned stop, set by the control thread.
    pub stop_stage: watch::Receiver<StopStage>,
    /// Latest stage that the data plane has entered.
    pub entered_stage: StopStage,
    /// Whether the listener for callers is closed and their connections have ended.
    pub has_closed_callers: bool,
    pub outcome_counts: BTreeMap<&'static str, u64>,
}

/// A call of a caller that was not answered yet.
pub struct OpenCall {
    pub reply: oneshot::Sender<Reply>,
    /// Memory of the request.
    pub _reservation: Reservation,
}

/// Input for one of the two state machines.
pub(crate) enum Input {
    Front(FrontInput),
    FunctionOwner(OwnerInput),
}

impl Input {
    pub(crate) fn forwarded(from: NodeId, message: ForwardMessage) -> Input {
        match message.is_for_owner() {
            true => Input::FunctionOwner(OwnerInput::Forward { from, message }),
            false => Input::Front(FrontInput::Message { from, message }),
        }
    }
}

impl DataPlane {
    /// Runs until a planned stop has closed the listener for callers and no request is open, neither of this router's
    /// callers nor of others.
    pub async fn run(mut self, mut inbox: Inbox<TrafficMessage>) {
        let tick = tokio::time::sleep(TICK);
        tokio::pin!(tick);
        let mut is_idle = false;
        let mut published_at = Instant::now();
        loop {
            tokio::select! {
                biased;
                () = &mut tick => {
                    self.maybe_enter_stop_stage();
                    self.process(Input::Front(FrontInput::Tick));
                    self.process(Input::FunctionOwner(OwnerInput::Tick));
                    let now = self.started_at.elapsed();
                    self.status_queries.retain(|_, (reply, due)| now < *due && !reply.is_closed());
                    is_idle = !self.is_stopping() && !self.front.has_waiting_requests() && !self.owner.has_waiting_work();
                    tick.as_mut().reset(tokio::time::Instant::now() + if is_idle { IDLE_TICK } else { TICK });
                }
                message = inbox.next() => match message {
                    Some(message) => {
                        self.handle_message(message);
                        if is_idle && (self.front.has_waiting_requests() || self.owner.has_waiting_work()) {
                            is_idle = false;
                            tick.as_mut().reset(tokio::time::Instant::now() + TICK);
                        }
                    }
                    None => return,
                },
            }
            if self.has_closed_callers && self.is_drained() {
                event!(requests_drained);
                return;
            }
            if published_at.elapsed() >= STATUS_INTERVAL {
                published_at = Instant::now();
                let mut status = self.owner.status();
                status["front"] = self.front.request_count().into();
                status["quota"] = self.front.quota_status(self.started_at.elapsed());
                status["front_refusals"] = self.front.refusals.into();
                status["outcomes"] = serde_json::json!(self.outcome_counts);
                status["inbox"] = inbox.depth().into();
                status["memory"] = self.memory.status();
                status["shed_connections"] = self.shortages.shed_connections().into();
                self.memory_watch.log_changes(&self.memory, self.shortages.shed_connections());
                self.view.send_replace(status.to_string());
                if let Some(declared_views) = &mut self.declared_views {
                    declared_views.update(&self.owner);
                }
            }
        }
    }

    fn handle_message(&mut self, message: TrafficMessage) {
        match message {
            TrafficMessage::Task { call, reply, reservation } => {
                self.last_request_id += 1;
                self.open_calls.insert(self.last_request_id, OpenCall { reply, _reservation: reservation });
                self.process(Input::Front(FrontInput::Task { request_id: self.last_request_id, call }));
            }
            TrafficMessage::TaskStatus { id, reply } => {
                self.last_request_id += 1;
                let due = self.started_at.elapsed() + Duration::from_secs(4);
                self.status_queries.insert(self.last_request_id, (reply, due));
                let request_id = self.last_request_id | STATUS_QUERY_BIT;
                let message = LeaseMessage::Read { request_id, prefix: format!("d/{id}").into(), from: "".into() };
                self.send_to_tail(message);
            }
            TrafficMessage::Link(LinkEvent::Up { id, .. }) => {
                self.process(Input::Front(FrontInput::Link { id, up: true }))
            }
            TrafficMessage::Link(LinkEvent::Down { id }) => {
                self.process(Input::Front(FrontInput::Link { id, up: false }))
            }
            TrafficMessage::Link(LinkEvent::Frame { from, message, .. }) => match message {
                Message::Forward(message) => self.process(Input::forwarded(from, message)),
                Message::Plan(message) => self.process(Input::FunctionOwner(OwnerInput::Plan { message })),
                Message::Lease(LeaseMessage::ReadReply { request_id, items, .. })
                    if request_id & STATUS_QUERY_BIT != 0 =>
                {
                    let first = items.as_slice().first().map(|item| item.value.as_slice().to_vec());
                    self.answer_status_query(request_id & !STATUS_QUERY_BIT, first);
                }
                Message::Lease(message) => self.process(Input::FunctionOwner(OwnerInput::StoreReply { message })),
                _ => {}
            },
            TrafficMessage::Dispatcher(DispatchReport::Dispatched { number, outcome }) => {
                self.process(Input::FunctionOwner(OwnerInput::Dispatched { number, outcome }))
            }
            TrafficMessage::Dispatcher(DispatchReport::Probed { id, ready }) => {
                self.process(Input::FunctionOwner(OwnerInput::Probed { id, ready }))
            }
            TrafficMessage::Platform(report) => {
                let listed_at = match &report {
                    ProviderReport::Listed { requested_at, .. } | ProviderReport::Workers { requested_at, .. } => {
                        requested_at.saturating_duration_since(self.started_at)
                    }
                    _ => Duration::ZERO,
                };
                self.process(Input::FunctionOwner(OwnerInput::ProviderReport { report, listed_at }));
            }
            TrafficMessage::RouteTable(routes) => {
                self.epoch = routes.epoch;
                let routes = Rc::new(*routes);
                if let Some(declared_views) = &mut self.declared_views {
                    declared_views.set_routes(routes.clone());
                }
                let (own, limits) = &self.caller_limits;
                limits.send_replace(own.within(routes.bounds()));
                self.process(Input::FunctionOwner(OwnerInput::RouteTable { routes: routes.clone() }));
                self.process(Input::Front(FrontInput::RouteTable { routes }));
            }
            TrafficMessage::Epoch(epoch) => self.epoch = epoch,
            TrafficMessage::Membership(membership) => {
                let membership = Rc::new(*membership);
                self.process(Input::FunctionOwner(OwnerInput::Membership { membership: membership.clone() }));
                self.process(Input::Front(FrontInput::Membership { membership }));
            }
            TrafficMessage::Registries { tail, reachable, registries } => {
                self.tail = tail;
                self.registries = registries;
                self.process(Input::FunctionOwner(OwnerInput::RegistriesReachable { reachable }));
            }
            TrafficMessage::MembershipLost => {
                self.process(Input::FunctionOwner(OwnerInput::MembershipLost));
                self.process(Input::Front(FrontInput::MembershipLost));
            }
            TrafficMessage::CallersClosed => {
                event!(callers_closed, "{} requests open at the owner", self.owner.depths().0);
                self.has_closed_callers = true;
            }
        }
    }
}
