//! The traffic thread: one loop that owns the front and the owner, feeds them from its inbox and
//! carries out what they return. Tasks a router carries to itself go round here and nowhere else.

use crate::caller_limits::CallerLimits;
use crate::declared_views::DeclaredViews;
use crate::front::Front;
use crate::front_types::{Call, FrontInput, Reply};
use crate::function_owner::FunctionOwner;
use crate::owner_types::OwnerInput;
use crate::serving_lease::ServingLease;
use bindings::RouteTable;
use dispatch::{DispatchReport, DispatcherMessage};
use instance_provider::{ProviderOrder, ProviderReport};
use kernel::{Inbox, InboxSender};
use leases::Membership;
use links::{LinkEvent, LinkOrder};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{DeferredRecord, ForwardMessage, LeaseMessage, Message, NodeId, StoredAnswer};

const TICK: Duration = Duration::from_millis(20);
/// Between two looks while nothing waits here; what comes in is worked at once all the same.
const CALM_TICK: Duration = Duration::from_millis(100);
const SHOW: Duration = Duration::from_millis(500);
const STATUS_BIT: u64 = 1 << 62;

pub enum TrafficMessage {
    Task {
        call: Call,
        reply: oneshot::Sender<Reply>,
    },
    Status {
        id: String,
        reply: oneshot::Sender<Reply>,
    },
    Link(LinkEvent),
    Dispatcher(DispatchReport),
    Platform(ProviderReport),
    RouteTable(Box<RouteTable>),
    /// A later step under which the route table stays as it is.
    Step(u64),
    Membership(Box<Membership>),
    Core {
        tail: Option<NodeId>,
        near: bool,
        registries: Vec<NodeId>,
    },
    Lapsed,
    Leave {
        done: oneshot::Sender<()>,
    },
}

pub struct DataPlane {
    pub me: NodeId,
    pub started_at: Instant,
    pub pass: ServingLease,
    pub front: Front,
    pub owner: FunctionOwner,
    pub links: InboxSender<LinkOrder>,
    pub dispatcher: InboxSender<DispatcherMessage>,
    pub platform: InboxSender<ProviderOrder>,
    pub view: watch::Sender<String>,
    pub limits: (CallerLimits, watch::Sender<CallerLimits>),
    /// Kept where somebody may read it.
    pub shelving: Option<DeclaredViews>,
    pub step: u64,
    pub tail: Option<NodeId>,
    pub registries: Vec<NodeId>,
    pub replies: BTreeMap<u64, oneshot::Sender<Reply>>,
    pub statuses: BTreeMap<u64, (oneshot::Sender<Reply>, Duration)>,
    pub next: u64,
    pub done: Option<oneshot::Sender<()>>,
    pub counts: BTreeMap<&'static str, u64>,
}

pub(crate) enum Work {
    Front(FrontInput),
    FunctionOwner(OwnerInput),
}

impl Work {
    pub(crate) fn forwarded(from: NodeId, message: ForwardMessage) -> Work {
        match message.is_for_owner() {
            true => Work::FunctionOwner(OwnerInput::Forward { from, message }),
            false => Work::Front(FrontInput::Forwarded { from, message }),
        }
    }
}

impl DataPlane {
    pub async fn run(mut self, mut inbox: Inbox<TrafficMessage>) {
        let tick = tokio::time::sleep(TICK);
        tokio::pin!(tick);
        let mut calm = false;
        let mut shown = Instant::now();
        loop {
            tokio::select! {
                biased;
                () = &mut tick => {
                    self.work(Work::Front(FrontInput::Tick));
                    self.work(Work::FunctionOwner(OwnerInput::Tick));
                    let now = self.started_at.elapsed();
                    self.statuses.retain(|_, (reply, due)| now < *due && !reply.is_closed());
                    if self.done.is_some() && self.front.depth() == 0 && self.owner.is_idle()
                        && let Some(done) = self.done.take() {
                        let _ = done.send(());
                    }
                    calm = self.done.is_none() && !self.front.waits() && !self.owner.has_waiting_work();
                    tick.as_mut().reset(tokio::time::Instant::now() + if calm { CALM_TICK } else { TICK });
                }
                message = inbox.next() => match message {
                    Some(message) => {
                        self.take(message);
                        if calm && (self.front.waits() || self.owner.has_waiting_work()) {
                            calm = false;
                            tick.as_mut().reset(tokio::time::Instant::now() + TICK);
                        }
                    }
                    None => return,
                },
            }
            if shown.elapsed() >= SHOW {
                shown = Instant::now();
                let mut status = self.owner.status();
                status["front"] = self.front.depth().into();
                status["quota"] = self.front.quota_status(self.started_at.elapsed());
                status["front_refusals"] = self.front.refusals.into();
                status["outcomes"] = serde_json::json!(self.counts);
                status["inbox"] = inbox.depth().into();
                self.view.send_replace(status.to_string());
                if let Some(shelving) = &mut self.shelving {
                    shelving.show(&self.owner);
                }
            }
        }
    }

    fn take(&mut self, message: TrafficMessage) {
        match message {
            TrafficMessage::Task { call, reply } => {
                self.next += 1;
                self.replies.insert(self.next, reply);
                self.work(Work::Front(FrontInput::Task { request_id: self.next, call }));
            }
            TrafficMessage::Status { id, reply } => {
                self.next += 1;
                let due = self.started_at.elapsed() + Duration::from_secs(4);
                self.statuses.insert(self.next, (reply, due));
                let request_id = self.next | STATUS_BIT;
                let message = LeaseMessage::Read { request_id, prefix: format!("d/{id}").into(), from: "".into() };
                self.to_core(message);
            }
            TrafficMessage::Link(LinkEvent::Up { id, .. }) => self.work(Work::Front(FrontInput::Link { id, up: true })),
            TrafficMessage::Link(LinkEvent::Down { id }) => self.work(Work::Front(FrontInput::Link { id, up: false })),
            TrafficMessage::Link(LinkEvent::Frame { from, message, .. }) => match message {
                Message::Forward(message) => self.work(Work::forwarded(from, message)),
                Message::Plan(message) => self.work(Work::FunctionOwner(OwnerInput::Plan { message })),
                Message::Lease(LeaseMessage::ReadReply { request_id, items, .. }) if request_id & STATUS_BIT != 0 => {
                    let first = items.as_slice().first().map(|item| item.value.as_slice().to_vec());
                    self.tell_status(request_id & !STATUS_BIT, first);
                }
                Message::Lease(message) => self.work(Work::FunctionOwner(OwnerInput::StoreReply { message })),
                _ => {}
            },
            TrafficMessage::Dispatcher(DispatchReport::Dispatched { number, outcome }) => {
                self.work(Work::FunctionOwner(OwnerInput::Dispatched { number, outcome }))
            }
            TrafficMessage::Dispatcher(DispatchReport::Probed { id, ready }) => {
                self.work(Work::FunctionOwner(OwnerInput::Probed { id, ready }))
            }
            TrafficMessage::Platform(report) => {
                let listed_at = match &report {
                    ProviderReport::Listed { requested_at, .. } | ProviderReport::Workers { requested_at, .. } => {
                        requested_at.saturating_duration_since(self.started_at)
                    }
                    _ => Duration::ZERO,
                };
                self.work(Work::FunctionOwner(OwnerInput::ProviderReport { report, listed_at }));
            }
            TrafficMessage::RouteTable(routes) => {
                self.step = routes.epoch;
                let routes = Rc::new(*routes);
                if let Some(shelving) = &mut self.shelving {
                    shelving.routes(routes.clone());
                }
                let (own, limits) = &self.limits;
                limits.send_replace(own.within(routes.bounds()));
                self.work(Work::FunctionOwner(OwnerInput::RouteTable { routes: routes.clone() }));
                self.work(Work::Front(FrontInput::RouteTable { routes }));
            }
            TrafficMessage::Step(step) => self.step = step,
            TrafficMessage::Membership(membership) => {
                let membership = Rc::new(*membership);
                self.work(Work::FunctionOwner(OwnerInput::Membership { membership: membership.clone() }));
                self.work(Work::Front(FrontInput::Membership { membership }));
            }
            TrafficMessage::Core { tail, near, registries } => {
                self.tail = tail;
                self.registries = registries;
                self.work(Work::FunctionOwner(OwnerInput::RegistriesReachable { reachable: near }));
            }
            TrafficMessage::Lapsed => {
                self.work(Work::FunctionOwner(OwnerInput::MembershipLost));
                self.work(Work::Front(FrontInput::Lapsed));
            }
            TrafficMessage::Leave { done } => self.done = Some(done),
        }
    }

    fn tell_status(&mut self, request_id: u64, record: Option<Vec<u8>>) {
        let Some((reply, _)) = self.statuses.remove(&request_id) else { return };
        let told = match record.and_then(|raw| wire::from_bytes::<DeferredRecord>(&raw)) {
            None => Reply::own(404, None, "no such task"),
            Some(record) if record.is_answered == 0 => Reply {
                body: b"{\"state\":\"pending\"}".to_vec(),
                ..Reply::own(200, Some(wire::Outcome::Accepted), "")
            },
            Some(record) => match wire::from_bytes::<StoredAnswer>(record.answer.as_slice()) {
                Some(answer) => Reply {
                    head: answer.head.into_vec(),
                    body: answer.body.into_vec(),
                    ..Reply::own(answer.status, Some(answer.outcome), "")
                },
                None => Reply::own(500, None, "the stored answer cannot be read"),
            },
        };
        let _ = reply.send(told);
    }
}
