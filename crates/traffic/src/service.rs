//! Startup of a router and its threads. The control thread runs the follower. The traffic thread runs the HTTP server for
//! callers, links, dispatcher and data plane together, because each request passes through all of them and waking
//! another thread would cost more than the work itself. The instance provider and the operations port have their own
//! threads. Threads find each other's inboxes by name.

use crate::caller_limits::CallerLimits;
use crate::caller_server::{self, CallerServer};
use crate::control_loop::{Control, ControlMessage};
use crate::data_plane::{DataPlane, TrafficMessage};
use crate::declared_views::DeclaredViews;
use crate::dialect::Dialect;
use crate::errors::RunError;
use crate::front::Front;
use crate::front_types::{ConsumerHeader, FrontLimits};
use crate::function_owner::FunctionOwner;
use crate::ops::{Views, ops_router};
use crate::serving_lease::ServingLease;
use crate::settings::RouterSettings;
use dispatch::{DispatchReport, DispatcherMessage};
use events::event;
use http_server::{ResourceIndex, ServerLimits, Tokens};
use instance_provider::{InstanceProvider, OwnInstanceProvider, ProviderOrder};
use kernel::{Directory, InboxSender, SendError, adopt, find, listen, listen_address, local, thread, wait_for_signal};
use leases::{Follower, FollowerTiming, ServingStatus, stable_hash};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::spawn_local;
use wire::{LeaseMessage, Message, NodeId};

/// Time from the end of an owner's lease until the next owner has listed the running instances.
const OWNER_TAKEOVER_TIME: Duration = Duration::from_millis(400);

/// Runs a router until it is stopped by a signal.
pub fn run(settings: RouterSettings, dialect: Dialect) -> Result<(), RunError> {
    let started_at = Instant::now();
    let incarnation = rand::random::<u64>() >> 8;
    let me: NodeId = stable_hash(&[b"router", settings.cluster.as_bytes(), settings.address.as_bytes()]) | 1;
    let (peer_listener, caller_listener, ops_listener) =
        (listen(listen_address(&settings.bind, &settings.address))?, listen(&settings.listen)?, listen(&settings.ops)?);
    let pages_listener = dialect.pages_address.as_deref().map(listen).transpose()?;
    event!(
        started,
        "router {me:016x} at {}, callers at {}, operations at {}",
        settings.address,
        settings.listen,
        settings.ops
    );

    let mut directory = Directory::default();
    let control_inbox = directory.announce::<ControlMessage>("control", 16_384);
    let traffic_inbox = directory.announce::<TrafficMessage>("traffic", 16_384);
    let links_inbox = directory.announce::<LinkOrder>("links", 65_536);
    let dispatch_inbox = directory.announce::<DispatcherMessage>("dispatcher", 8192);
    let platform_inbox = directory.announce::<ProviderOrder>("platform", 4096);
    let (view, view_updates) = watch::channel(String::from("{}"));
    let (control_view, control_updates) = watch::channel(String::from("{}"));
    let tokens = Tokens::read(&settings.tokens, &settings.tokens_file)?;
    let has_declared_views = !tokens.is_empty();
    let (index, index_updates) = watch::channel(ResourceIndex::new(incarnation));
    let (stop, stop_signal) = watch::channel(false);
    let lease = ServingLease::default();

    let local_node = LocalNode {
        id: me,
        incarnation,
        cluster: settings.cluster.clone(),
        address: settings.address.clone(),
        format: settings.format,
    };
    let consumer_header = dialect
        .http
        .consumer
        .as_ref()
        .map(|name| ConsumerHeader { name: name.as_str().to_owned(), format_name: dialect.http.format_consumer_name });
    let (http_dialect, server_dialect) = (dialect.http.clone(), Arc::new(dialect.http));
    let provider = dialect.provider;
    let (provider_directory, address) = (directory.clone(), settings.platform.clone());
    thread("platform", move || {
        let traffic = find::<TrafficMessage>(&provider_directory, "traffic");
        let report: Rc<dyn Fn(instance_provider::ProviderReport)> = Rc::new(move |report| {
            let traffic = traffic.clone();
            spawn_local(async move { traffic.send_waiting(TrafficMessage::Platform(report)).await });
        });
        let provider = provider
            .map_or_else(|| Rc::new(OwnInstanceProvider::new(&address)) as Rc<dyn InstanceProvider>, |make| make());
        local(async move { instance_provider::run(provider, platform_inbox, report).await });
    })?;
    let limits = caller_limits(&settings);
    let (limits_sender, limits_updates) = watch::channel(limits.clone());
    let (own_limits, server_limits) = (limits.clone(), limits.server);
    let (link_directory, traffic_directory, traffic_lease) = (directory.clone(), directory.clone(), lease.clone());
    let owner_recovery_time = settings.hold + settings.hold / 6 + OWNER_TAKEOVER_TIME;
    let front_limits =
        FrontLimits { owner_recovery_time, consumer_header, quota: settings.quota_bounds(), ..FrontLimits::default() };
    let timing = settings.owner_settings();
    let server =
        CallerServer { traffic: find(&directory, "traffic"), dialect: server_dialect, limits: limits_updates.clone() };
    let (caller_routes, server_stop) = (caller_server::router(server), stop_signal.clone());
    let traffic_thread = thread("traffic", move || {
        let plane = DataPlane {
            me,
            started_at,
            lease: traffic_lease,
            front: Front::new(me, incarnation, front_limits),
            owner: FunctionOwner::new(me, incarnation, timing),
            links: find(&traffic_directory, "links"),
            dispatcher: find(&traffic_directory, "dispatcher"),
            platform: find(&traffic_directory, "platform"),
            view,
            caller_limits: (own_limits, limits_sender),
            declared_views: has_declared_views.then(|| DeclaredViews::new(index)),
            epoch: 0,
            tail: None,
            registries: Vec::new(),
            replies: BTreeMap::new(),
            status_queries: BTreeMap::new(),
            last_request_id: 0,
            drained: None,
            outcome_counts: BTreeMap::new(),
        };
        let traffic = find::<TrafficMessage>(&traffic_directory, "traffic");
        let report: dispatch::ReportHandler = Rc::new(move |report| send_report(&traffic, report));
        let limits = move || limits_updates.borrow().server;
        local(async move {
            spawn_local(links::start(
                local_node,
                adopt(peer_listener),
                links_inbox,
                link_event_handler(link_directory),
            ));
            spawn_local(dispatch::run(http_dialect, dispatch_inbox, report));
            spawn_local(plane.run(traffic_inbox));
            http_server::serve_with_dynamic_limits(adopt(caller_listener), caller_routes, limits, server_stop).await;
        });
    })?;
    let ops_limits = ServerLimits { connections: 64, life: Duration::from_secs(86_400), ..server_limits };
    let resource_pages = http_server::view_routes(http_server::Views { index: index_updates, tokens });
    let (views, ops_stop) = (Views { traffic: view_updates, control: control_updates }, stop_signal);
    thread("operations", move || {
        local(async move {
            if let (Some(make), Some(listener)) = (dialect.pages, pages_listener) {
                spawn_local(http_server::serve(adopt(listener), make(views.clone()), ops_limits, ops_stop.clone()));
            }
            http_server::serve(adopt(ops_listener), ops_router(views).merge(resource_pages), ops_limits, ops_stop)
                .await;
        })
    })?;

    let (address, zone, ops) = (&settings.address, &settings.zone, &settings.ops);
    let timing = FollowerTiming { hold: settings.hold, peer_hold: settings.peer_hold, ..FollowerTiming::default() };
    let control = Control {
        started_at,
        follower: Follower::new(me, incarnation, address, zone, ops, timing).with_capacity(settings.capacity()),
        lease,
        links: find(&directory, "links"),
        traffic: find(&directory, "traffic"),
        seeds: settings.seeds.clone(),
        registry_addresses: Vec::new(),
        registries: BTreeSet::new(),
        published_reachability: (false, None),
        published_at: started_at,
        last_proof_at: None,
        serving_status: ServingStatus::Waiting,
        logged_serving_status: ServingStatus::Waiting,
        serving_status_since: started_at,
        view: control_view,
        grace: settings.grace,
        sent_revision: None,
        has_declared_views,
    };
    let control_sender = find::<ControlMessage>(&directory, "control");
    let deadline = Rc::new(Cell::new(None));
    let ended = deadline.clone();
    local(async move {
        if let Some(reread) = dialect.reread {
            let (control_sender, read) = (control_sender.clone(), move || reread().map(|settings| settings.seeds));
            spawn_local(kernel::watch_settings(settings.seeds, read, async move |seeds| {
                control_sender.send_waiting(ControlMessage::Seeds(seeds)).await;
            }));
        }
        spawn_local(async move {
            wait_for_signal().await;
            control_sender.send_waiting(ControlMessage::Stop).await;
        });
        ended.set(control.run(control_inbox, stop).await);
    });
    // Callers' connections have a grace period of their own, which starts later than that of the process.
    kernel::join_until(traffic_thread, deadline.get());
    event!(stopped);
    Ok(())
}

fn caller_limits(settings: &RouterSettings) -> CallerLimits {
    let server = ServerLimits {
        connections: settings.connections,
        head_bytes: settings.head_bytes,
        headers: settings.headers,
        head_time: settings.head_time,
        life: settings.life,
        grace: settings.grace,
    };
    CallerLimits { server, body_bytes: settings.body, body_time: settings.body_time, keep_alive: None }
}

fn send_report(traffic: &InboxSender<TrafficMessage>, report: DispatchReport) {
    if let Err(SendError::Full(message)) = traffic.send(TrafficMessage::Dispatcher(report)) {
        let traffic = traffic.clone();
        spawn_local(async move { traffic.send_waiting(message).await });
    }
}

fn link_event_handler(directory: Directory) -> links::Deliver {
    let control = find::<ControlMessage>(&directory, "control");
    let traffic = find::<TrafficMessage>(&directory, "traffic");
    Rc::new(move |event| {
        let (control, traffic) = (control.clone(), traffic.clone());
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
