//! A router put together: the follower on the control thread; doors, links, dispatcher and the plane on
//! the traffic thread, since each task passes through all of them and a wake-up of another thread costs
//! more than the work; platform and operations on threads of their own. All are found by name.

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

/// From a lapse until the next owner has looked at what runs.
const TAKING_OVER: Duration = Duration::from_millis(400);

pub fn run(settings: RouterSettings, dialect: Dialect) -> Result<(), RunError> {
    let started_at = Instant::now();
    let incarnation = rand::random::<u64>() >> 8;
    let me: NodeId = stable_hash(&[b"router", settings.cluster.as_bytes(), settings.address.as_bytes()]) | 1;
    let (peers, callers, ops) =
        (listen(listen_address(&settings.bind, &settings.address))?, listen(&settings.listen)?, listen(&settings.ops)?);
    let pages = dialect.pages_address.as_deref().map(listen).transpose()?;
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
    let (view, shown) = watch::channel(String::from("{}"));
    let (control_view, control_shown) = watch::channel(String::from("{}"));
    let tokens = Tokens::read(&settings.tokens, &settings.tokens_file)?;
    let viewed = !tokens.is_empty();
    let (index, shelved) = watch::channel(ResourceIndex::new(incarnation));
    let (stop, stopping) = watch::channel(false);
    let pass = ServingLease::default();

    let myself = LocalNode {
        id: me,
        incarnation,
        cluster: settings.cluster.clone(),
        address: settings.address.clone(),
        format: settings.format,
    };
    let consumer_header = dialect
        .words
        .consumer
        .as_ref()
        .map(|name| ConsumerHeader { name: name.as_str().to_owned(), value: dialect.words.format_consumer_name });
    let (words, door_words) = (dialect.words.clone(), Arc::new(dialect.words));
    let provider = dialect.provider;
    let (names, address) = (directory.clone(), settings.platform.clone());
    thread("platform", move || {
        let traffic = find::<TrafficMessage>(&names, "traffic");
        let report: Rc<dyn Fn(instance_provider::ProviderReport)> = Rc::new(move |report| {
            let traffic = traffic.clone();
            spawn_local(async move { traffic.send_waiting(TrafficMessage::Platform(report)).await });
        });
        let provider = provider
            .map_or_else(|| Rc::new(OwnInstanceProvider::new(&address)) as Rc<dyn InstanceProvider>, |make| make());
        local(async move { instance_provider::run(provider, platform_inbox, report).await });
    })?;
    let limits = caller_limits(&settings);
    let (bounds, bounded) = watch::channel(limits.clone());
    let (own_limits, server_limits) = (limits.clone(), limits.server);
    let (link_names, names, cell) = (directory.clone(), directory.clone(), pass.clone());
    let back = settings.hold + settings.hold / 6 + TAKING_OVER;
    let front_limits = FrontLimits { back, consumer_header, quota: settings.quota_bounds(), ..FrontLimits::default() };
    let timing = settings.owner_settings();
    let server = CallerServer { traffic: find(&directory, "traffic"), words: door_words, limits: bounded.clone() };
    let (callers_pages, servers_stop) = (caller_server::router(server), stopping.clone());
    let traffic_thread = thread("traffic", move || {
        let plane = DataPlane {
            me,
            started_at,
            pass: cell,
            front: Front::new(me, incarnation, front_limits),
            owner: FunctionOwner::new(me, incarnation, timing),
            links: find(&names, "links"),
            dispatcher: find(&names, "dispatcher"),
            platform: find(&names, "platform"),
            view,
            limits: (own_limits, bounds),
            shelving: viewed.then(|| DeclaredViews::new(index)),
            step: 0,
            tail: None,
            registries: Vec::new(),
            replies: BTreeMap::new(),
            statuses: BTreeMap::new(),
            next: 0,
            done: None,
            counts: BTreeMap::new(),
        };
        let traffic = find::<TrafficMessage>(&names, "traffic");
        let report: dispatch::ReportHandler = Rc::new(move |report| tell(&traffic, report));
        let limits = move || bounded.borrow().server;
        local(async move {
            spawn_local(links::start(myself, adopt(peers), links_inbox, deliver(link_names)));
            spawn_local(dispatch::run(words, dispatch_inbox, report));
            spawn_local(plane.run(traffic_inbox));
            http_server::serve_with_dynamic_limits(adopt(callers), callers_pages, limits, servers_stop).await;
        });
    })?;
    let ops_limits = ServerLimits { connections: 64, life: Duration::from_secs(86_400), ..server_limits };
    let kinds = http_server::view_routes(http_server::Views { index: shelved, tokens });
    let (views, ops_stop) = (Views { traffic: shown, control: control_shown }, stopping);
    thread("operations", move || {
        local(async move {
            if let (Some(make), Some(listener)) = (dialect.pages, pages) {
                spawn_local(http_server::serve(adopt(listener), make(views.clone()), ops_limits, ops_stop.clone()));
            }
            http_server::serve(adopt(ops), ops_router(views).merge(kinds), ops_limits, ops_stop).await;
        })
    })?;

    let (address, zone, ops) = (&settings.address, &settings.zone, &settings.ops);
    let timing = FollowerTiming { hold: settings.hold, peer_hold: settings.peer_hold, ..FollowerTiming::default() };
    let control = Control {
        started_at,
        follower: Follower::new(me, incarnation, address, zone, ops, timing).with_capacity(settings.capacity()),
        pass,
        links: find(&directory, "links"),
        traffic: find(&directory, "traffic"),
        seeds: settings.seeds.clone(),
        seats: Vec::new(),
        registries: BTreeSet::new(),
        published: (false, None),
        published_at: started_at,
        heard: None,
        serving_status: ServingStatus::Waiting,
        logged_serving_status: ServingStatus::Waiting,
        stood_at: started_at,
        view: control_view,
        grace: settings.grace,
        booked: None,
        viewed,
    };
    let post = find::<ControlMessage>(&directory, "control");
    let deadline = Rc::new(Cell::new(None));
    let ended = deadline.clone();
    local(async move {
        if let Some(reread) = dialect.reread {
            let (post, read) = (post.clone(), move || reread().map(|settings| settings.seeds));
            spawn_local(kernel::watch_settings(settings.seeds, read, async move |seeds| {
                post.send_waiting(ControlMessage::Seeds(seeds)).await;
            }));
        }
        spawn_local(async move {
            wait_for_signal().await;
            post.send_waiting(ControlMessage::Stop).await;
        });
        ended.set(control.run(control_inbox, stop).await);
    });
    // Its callers' connections have a grace of their own, which begins later than the program's.
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

fn tell(traffic: &InboxSender<TrafficMessage>, report: DispatchReport) {
    if let Err(SendError::Full(message)) = traffic.send(TrafficMessage::Dispatcher(report)) {
        let traffic = traffic.clone();
        spawn_local(async move { traffic.send_waiting(message).await });
    }
}

fn deliver(names: Directory) -> links::Deliver {
    let control = find::<ControlMessage>(&names, "control");
    let traffic = find::<TrafficMessage>(&names, "traffic");
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
                    let for_traffic = matches!(
                        message,
                        Message::Forward(_)
                            | Message::Plan(_)
                            | Message::Lease(LeaseMessage::ProposalAck { .. } | LeaseMessage::ReadReply { .. })
                    );
                    let event = LinkEvent::Frame { from, incarnation, message };
                    if for_traffic {
                        traffic.send_waiting(TrafficMessage::Link(event)).await;
                    } else {
                        control.send_waiting(ControlMessage::Link(event)).await;
                    }
                }
            }
        })
    })
}
