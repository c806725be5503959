//! A data plane for tests, the owner of a run-once function, and the inboxes around it.

use crate::caller_limits::CallerLimits;
use crate::front_types::FrontLimits;
use crate::memory_plan::MemoryPlan;
use crate::owner_settings::OwnerSettings;
use crate::plane_setup::PlaneSetup;
use crate::serving_lease::ServingLease;
use crate::stop_stage::StopStage;
use crate::traffic_message::TrafficMessage;
use crate::traffic_thread::TrafficInboxes;
use bindings::RouteTable;
use http_server::ServerLimits;
use instance_provider::ProviderOrder;
use kernel::{Directory, Inbox, find};
use leases::{HASHING_VERSION, Member, Membership};
use links::LinkEvent;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use wire::{Capacity, ForwardMessage, ForwardRequest, InstanceSlots, Message, NodeId, OwnershipTable, RequestHead};

pub const ME: NodeId = 1;
pub const OTHER: NodeId = 2;
pub const REGISTRY: NodeId = 3;
pub const LONG: Duration = Duration::from_secs(3600);

/// A data plane that owns a run-once function, and the ends of its inboxes that other threads would have.
pub struct TestRouter {
    pub directory: Directory,
    pub inboxes: TrafficInboxes,
    /// Read by nobody.
    pub _platform: Inbox<ProviderOrder>,
    pub lease: ServingLease,
    pub stage: watch::Sender<StopStage>,
    pub stop: watch::Sender<bool>,
}

pub fn router() -> TestRouter {
    let mut directory = Directory::default();
    let inboxes = TrafficInboxes {
        traffic: directory.announce("traffic", 1024),
        links: directory.announce("links", 1024),
        dispatcher: directory.announce("dispatcher", 1024),
    };
    let platform = directory.announce("platform", 1024);
    let lease = ServingLease::default();
    lease.set(1, LONG);
    TestRouter {
        directory,
        inboxes,
        _platform: platform,
        lease,
        stage: watch::Sender::new(StopStage::Serving),
        stop: watch::Sender::new(false),
    }
}

pub fn limits() -> CallerLimits {
    let server =
        ServerLimits { connections: 8, head_bytes: 8192, headers: 16, head_time: LONG, life: LONG, grace: LONG };
    CallerLimits { server, body_bytes: 1024, body_time: LONG, keep_alive: None }
}

pub fn plane(router: &TestRouter) -> PlaneSetup {
    PlaneSetup {
        me: ME,
        incarnation: 1,
        started_at: Instant::now(),
        front_limits: FrontLimits::default(),
        owner_settings: OwnerSettings::default(),
        lease: router.lease.clone(),
        view: watch::Sender::new(String::new()),
        caller_limits: (limits(), watch::Sender::new(limits())),
        index: None,
        memory: MemoryPlan::unlimited(),
        shortages: http_server::shortages().0,
        stop_stage: router.stage.subscribe(),
    }
}

pub fn member(id: NodeId) -> Member {
    Member {
        id,
        incarnation: 1,
        address: "".into(),
        zone: "a".into(),
        ops: "".into(),
        leaving: 0,
        hashing: HASHING_VERSION,
        capacity: Capacity::default(),
    }
}

pub fn membership(number: u64, ids: &[NodeId]) -> TrafficMessage {
    let members: Vec<Member> = ids.iter().map(|id| member(*id)).collect();
    TrafficMessage::Membership(Box::new(Membership { number, members: members.into() }))
}

pub fn frame(from: NodeId, message: ForwardMessage) -> TrafficMessage {
    TrafficMessage::Link(LinkEvent::Frame { from, incarnation: 1, message: Message::Forward(message) })
}

/// Makes this router the owner of the function, with one instance, and forwards a request of another router's caller.
pub fn own_function_and_forward_request(router: &TestRouter, instance: &str) {
    let function: &[u8] = br#"{"memory_mb":128,"boot_ms":900,"instance_limit":4}"#;
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"once","instance_limit":4}"#;
    let pairs = [("functions/t/f", function), ("function-bindings/t/f", binding)];
    let routes = RouteTable::build(1, 1, pairs.into_iter());
    let slot = InstanceSlots { instance: "i".into(), address: instance.into(), ready: 1, busy: 0 };
    let table =
        OwnershipTable { function: "t/f".into(), membership: 2, slots: vec![slot].into(), ..OwnershipTable::default() };
    let head = RequestHead { method: "POST".into(), target: "/t/f".into(), headers: Vec::new().into() };
    let request = ForwardRequest {
        task: 7,
        function: "t/f".into(),
        binding: "t/f".into(),
        remaining_ms: LONG.as_millis() as u32,
        resends: 0,
        attempts: ForwardRequest::UNCOUNTED,
        respond_async: 0,
        key: "k-a".into(),
        head: wire::to_bytes(&head).into(),
        body: Vec::new().into(),
    };
    let messages = [
        TrafficMessage::RouteTable(Box::new(routes)),
        membership(1, &[ME, OTHER]),
        membership(2, &[ME]),
        TrafficMessage::Registries { tail: Some(REGISTRY), reachable: true, registries: vec![REGISTRY] },
        frame(OTHER, ForwardMessage::OwnershipTable { table }),
        frame(OTHER, ForwardMessage::Forward { request: Box::new(request) }),
    ];
    let traffic = find::<TrafficMessage>(&router.directory, "traffic");
    for message in messages {
        assert!(traffic.send(message).is_ok());
    }
}
