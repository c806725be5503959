//! The end of the traffic thread in a planned stop, with a real dispatcher, listener and instance.

use super::*;
use crate::stop_stage::StopStage;
use crate::test_router::{OTHER, REGISTRY, TestRouter, limits, own_function_and_forward_request, plane, router};
use kernel::local;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{ClaimState, Command, CommandReply, ForwardMessage, Outcome};

/// Stands in for links, registry and the other router: it grants the claim, confirms every other proposal, and returns
/// the status of the answer to the forwarded request. It returns `None` if the traffic thread ends without one.
async fn answer_to_forwarded_request(
    mut links: Inbox<LinkOrder>,
    traffic: InboxSender<TrafficMessage>,
) -> Option<(Outcome, u16)> {
    let mut answer = None;
    while let Some(order) = links.next().await {
        match order {
            LinkOrder::Send { message: Message::Lease(LeaseMessage::Propose { request_id, body }), .. } => {
                let reply = match wire::from_bytes::<Command>(body.as_slice()) {
                    Some(Command::ClaimForTicks { .. } | Command::Claim { .. }) => {
                        CommandReply::Claim { state: ClaimState::Granted, answer: Vec::new().into() }
                    }
                    _ => CommandReply::Empty,
                };
                let message = LeaseMessage::ProposalAck { request_id, state: 1, body: wire::to_bytes(&reply).into() };
                let message = Message::Lease(message);
                let event = LinkEvent::Frame { from: REGISTRY, incarnation: 1, message };
                traffic.send_waiting(TrafficMessage::Link(event)).await;
            }
            LinkOrder::Send {
                to: OTHER,
                message: Message::Forward(ForwardMessage::Answer { outcome, status, .. }),
            } => {
                answer = Some((outcome, status));
            }
            LinkOrder::Close { closed } => {
                let _ = closed.send(());
                break;
            }
            _ => {}
        }
    }
    answer
}

/// Accepts one request, and returns its connection.
async fn accept_request(instance: TcpListener) -> TcpStream {
    let (mut stream, _) = adopt(instance).accept().await.expect("a connection");
    let mut bytes = [0; 4096];
    let length = stream.read(&mut bytes).await.expect("a request");
    assert!(length > 0);
    stream
}

/// Stops a router without callers of its own while it runs a request of another router's caller. `finish` does the rest
/// of the instance's work once the listener for callers is closed, and returns its connection, which stays open until the
/// thread has ended. Returns what the other router is told.
async fn stop_during_request<F: Future<Output = TcpStream>>(
    finish: impl FnOnce(TcpStream, watch::Sender<StopStage>) -> F,
) -> Option<(Outcome, u16)> {
    let router = router();
    let instance = kernel::listen("127.0.0.1:0").expect("a listener");
    own_function_and_forward_request(&router, &instance.local_addr().expect("an address").to_string());
    let callers = kernel::listen("127.0.0.1:0").expect("a listener");
    let callers_address = callers.local_addr().expect("an address");
    let plane = plane(&router).build(&router.directory);
    let traffic = find::<TrafficMessage>(&router.directory, "traffic");
    let TestRouter { directory, inboxes, _platform, lease: _lease, stage, stop } = router;
    let callers = CallerListener {
        listener: callers,
        routes: Router::new(),
        limits: watch::Sender::new(limits()).subscribe(),
        shortages: http_server::shortages().1,
        stop: stop.subscribe(),
    };
    let link_orders = find::<LinkOrder>(&directory, "links");
    let reports = traffic.clone();
    let report: dispatch::ReportHandler = Rc::new(move |report| send_report(&reports, report));
    let mut services = TrafficServices::default();
    services.spawn(dispatch::run(HttpDialect::default(), AnswerMemory::unlimited(), inboxes.dispatcher, report));
    services.spawn_callers(callers.serve(), traffic.clone());
    let thread = async move {
        let ended = services.run(plane, inboxes.traffic).await;
        assert!(ended.is_ok());
        // As at the end of a process, everything that the thread runs is dropped.
        drop(services);
        close_links(&link_orders).await;
    };
    let instance = async move {
        let stream = accept_request(instance).await;
        stage.send_replace(StopStage::Draining);
        stop.send_replace(true);
        while TcpStream::connect(callers_address).await.is_ok() {}
        finish(stream, stage).await
    };
    let (answer, (), _open_connection) =
        tokio::join!(answer_to_forwarded_request(inboxes.links, traffic), thread, instance);
    answer
}

// Guards against a traffic thread that ends with its listener and drops the requests of other routers' callers.
#[test]
fn requests_of_other_routers_callers_are_finished_after_the_listener_has_closed() {
    local(async {
        let answer = stop_during_request(|mut instance, _| async move {
            let response = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";
            instance.write_all(response).await.expect("the connection is still open");
            instance
        });
        assert_eq!(answer.await, Some((Outcome::Answered, 201)));
    });
}

// Guards against a planned stop that ends without an answer to what it gives up.
#[test]
fn a_request_that_outlasts_the_grace_period_is_answered_before_the_thread_ends() {
    local(async {
        let answer = stop_during_request(|instance, stage| async move {
            stage.send_replace(StopStage::GivingUp);
            instance
        });
        assert_eq!(answer.await, Some((Outcome::Unknown, 504)));
    });
}

#[test]
fn the_end_of_a_service_beside_the_data_plane_is_a_failure() {
    local(async {
        let router = router();
        let mut services = TrafficServices::default();
        services.spawn(async {});
        let plane = plane(&router).build(&router.directory);
        assert!(services.run(plane, router.inboxes.traffic).await.is_err());
    });
}
