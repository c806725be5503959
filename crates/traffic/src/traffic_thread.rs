//! The traffic thread of a router. It runs the HTTP server for callers, the links, the dispatcher and the data plane
//! together, because each request passes through all of them and waking another thread would cost more than the work
//! itself. The thread ends with the last open request: that the listener for callers has closed ends nothing else, since
//! the requests at this owner belong to callers of other routers too.

use crate::answer_memory::{arriving_answers, instance_answers, reserve_answer};
use crate::caller_limits::CallerLimits;
use crate::control_message::ControlMessage;
use crate::data_plane::DataPlane;
use crate::plane_setup::PlaneSetup;
use crate::traffic_message::TrafficMessage;
use axum::Router;
use derive_more::{Display, Error};
use dispatch::{AnswerMemory, DispatchReport, DispatcherMessage, HttpDialect};
use http_server::{DynamicLimits, Shortages};
use kernel::{Directory, Inbox, InboxSender, SendError, adopt, find};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::timeout;
use wire::{LeaseMessage, Message};

/// Maximum time for closing the links in order.
const LINKS_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// A service of the traffic thread ended although the data plane was running.
#[derive(Debug, Display, Error)]
#[display("a service of the traffic thread ended by itself")]
pub struct ServiceEnded;

/// The inboxes that the traffic thread reads.
pub struct TrafficInboxes {
    pub traffic: Inbox<TrafficMessage>,
    pub links: Inbox<LinkOrder>,
    pub dispatcher: Inbox<DispatcherMessage>,
}

/// The HTTP server for callers, before it runs.
pub struct CallerListener {
    pub listener: TcpListener,
    pub routes: Router,
    pub limits: watch::Receiver<CallerLimits>,
    /// Shortages that connections of callers relieve.
    pub shortages: Shortages,
    /// True once callers are no longer accepted.
    pub stop: watch::Receiver<bool>,
}

/// Everything that the traffic thread runs, set up by the thread that starts it.
pub struct TrafficThread {
    pub plane: PlaneSetup,
    pub directory: Directory,
    pub local_node: LocalNode,
    pub peer_listener: TcpListener,
    pub http_dialect: HttpDialect,
    pub callers: CallerListener,
    pub inboxes: TrafficInboxes,
}

impl TrafficThread {
    /// Runs until the data plane has ended after a planned stop, then closes the links, so that every answer that was
    /// sent reaches the other routers.
    pub async fn run(self) -> Result<(), ServiceEnded> {
        let traffic = find::<TrafficMessage>(&self.directory, "traffic");
        let link_orders = find::<LinkOrder>(&self.directory, "links");
        let (memory, shortages) = (self.plane.memory.clone(), self.plane.shortages.clone());
        let instance_answers = instance_answers(&memory.instance_answers, &shortages);
        let arriving_answers = arriving_answers(&memory.arriving_answers, &shortages);
        let plane = self.plane.build(&self.directory);
        let deliver = link_event_handler(self.directory, arriving_answers);
        let links = links::start(self.local_node, adopt(self.peer_listener), self.inboxes.links, deliver);
        let reports = traffic.clone();
        let report: dispatch::ReportHandler = Rc::new(move |report| send_report(&reports, report));
        let dispatcher = dispatch::run(self.http_dialect, instance_answers, self.inboxes.dispatcher, report);
        let mut services = TrafficServices::default();
        services.spawn(links);
        services.spawn(dispatcher);
        services.spawn_callers(self.callers.serve(), traffic);
        services.run(plane, self.inboxes.traffic).await?;
        close_links(&link_orders).await;
        Ok(())
    }
}

impl CallerListener {
    async fn serve(self) {
        let CallerListener { listener, routes, limits, shortages, stop } = self;
        let limits = DynamicLimits { limits_now: move || limits.borrow().server, shortages };
        http_server::serve_with_dynamic_limits(adopt(listener), routes, limits, stop).await;
    }
}

/// What the end of a task of the traffic thread means.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServiceEnd {
    /// The data plane has no open request left in a planned stop.
    Drained,
    /// The service of callers is over; the data plane was notified.
    CallersClosed,
    /// The service should have run as long as the data plane.
    Unexpected,
}

/// The services that run beside the data plane.
#[derive(Default)]
pub struct TrafficServices {
    tasks: JoinSet<ServiceEnd>,
}

impl TrafficServices {
    /// Spawns a service that runs as long as the data plane.
    pub fn spawn(&mut self, service: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(async move {
            service.await;
            ServiceEnd::Unexpected
        });
    }

    /// Spawns the server for callers; its end is reported to the data plane.
    pub fn spawn_callers(&mut self, server: impl Future<Output = ()> + 'static, traffic: InboxSender<TrafficMessage>) {
        self.tasks.spawn_local(async move {
            server.await;
            traffic.send_waiting(TrafficMessage::CallersClosed).await;
            ServiceEnd::CallersClosed
        });
    }

    /// Runs the data plane beside the services until it ends. It is a task like them, so that it handles together the
    /// messages that they sent in one turn of the thread.
    pub async fn run(&mut self, plane: DataPlane, inbox: Inbox<TrafficMessage>) -> Result<(), ServiceEnded> {
        self.tasks.spawn_local(async move {
            plane.run(inbox).await;
            ServiceEnd::Drained
        });
        while let Some(ended) = self.tasks.join_next().await {
            match ended {
                Ok(ServiceEnd::Drained) => return Ok(()),
                Ok(ServiceEnd::CallersClosed) => {}
                Ok(ServiceEnd::Unexpected) | Err(_) => break,
            }
        }
        Err(ServiceEnded)
    }
}

/// Closes the links once everything queued on them is written.
async fn close_links(links: &InboxSender<LinkOrder>) {
    let (closed, are_closed) = oneshot::channel();
    let close = async {
        links.send_waiting(LinkOrder::Close { closed }).await;
        let _ = are_closed.await;
    };
    // Peers that no longer answer must not hold up the stop.
    let _ = timeout(LINKS_CLOSE_TIMEOUT, close).await;
}

fn send_report(traffic: &InboxSender<TrafficMessage>, report: DispatchReport) {
    if let Err(SendError::Full(message)) = traffic.send(TrafficMessage::Dispatcher(report)) {
        let traffic = traffic.clone();
        spawn_local(async move { traffic.send_waiting(message).await });
    }
}

fn link_event_handler(directory: Directory, arriving_answers: AnswerMemory) -> links::Deliver {
    let control = find::<ControlMessage>(&directory, "control");
    let traffic = find::<TrafficMessage>(&directory, "traffic");
    Rc::new(move |event| {
        let (control, traffic, arriving_answers) = (control.clone(), traffic.clone(), arriving_answers.clone());
        Box::pin(async move {
            match event {
                LinkEvent::Up { id, incarnation, address } => {
                    let copy = LinkEvent::Up { id, incarnation, address: address.clone() };
                    traffic.send_waiting(TrafficMessage::Link(copy)).await;
                    control.send_waiting(ControlMessage::Link(LinkEvent::Up { id, incarnation, address })).await;
                }
                LinkEvent::Down { id } => {
                    traffic.send_waiting(TrafficMessage::Link(LinkEvent::Down { id })).await;
                    control.send_waiting(ControlMessage::Link(LinkEvent::Down { id })).await;
                }
                LinkEvent::Frame { from, incarnation, message } => {
                    let is_for_traffic = matches!(
                        message,
                        Message::Forward(_)
                            | Message::Plan(_)
                            | Message::Lease(LeaseMessage::ProposalAck { .. } | LeaseMessage::ReadReply { .. })
                    );
                    let Some(message) = reserve_answer(&arriving_answers, message).await else { return };
                    let event = LinkEvent::Frame { from, incarnation, message };
                    if is_for_traffic {
                        traffic.send_waiting(TrafficMessage::Link(event)).await;
                    } else {
                        control.send_waiting(ControlMessage::Link(event)).await;
                    }
                }
            }
        })
    })
}

#[cfg(test)]
#[path = "traffic_thread_tests.rs"]
mod tests;
