//! Startup of a router and its threads. The control thread runs the follower, the traffic thread everything that requests
//! pass through. The instance provider and the operations port have their own threads. Threads find each other's inboxes
//! by name.

use crate::caller_limits::CallerLimits;
use crate::caller_server::{self, CallerServer};
use crate::control_loop::Control;
use crate::control_message::ControlMessage;
use crate::dialect::Dialect;
use crate::errors::RunError;
use crate::front_types::{ConsumerHeader, FrontLimits};
use crate::memory_plan::MemoryPlan;
use crate::ops::Views;
use crate::owner_settings::OwnerSettings;
use crate::plane_setup::PlaneSetup;
use crate::service_threads::{OperationsServer, PlatformPages, start_provider};
use crate::serving_lease::ServingLease;
use crate::settings::RouterSettings;
use crate::stop_signals::StopSignals;
use crate::stop_stage::StopStage;
use crate::traffic_message::TrafficMessage;
use crate::traffic_thread::{CallerListener, TrafficInboxes, TrafficThread};
use dispatch::DispatcherMessage;
use events::event;
use http_server::{ResourceIndex, ServerLimits, Tokens};
use instance_provider::ProviderOrder;
use kernel::{Directory, find, listen, listen_address, local, thread, wait_for_signal};
use leases::{Follower, FollowerTiming, ServingStatus, stable_hash};
use links::{LinkOrder, LocalNode};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use wire::NodeId;

/// Time from the end of an owner's lease until the next owner has listed the running instances.
const OWNER_TAKEOVER_TIME: Duration = Duration::from_millis(400);
/// Maximum number of connections for operations.
const OPERATIONS_CONNECTIONS: usize = 64;
/// Maximum lifetime of a connection for operations, which may watch the status page.
const OPERATIONS_CONNECTION_LIFE: Duration = Duration::from_secs(86_400);

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
    let (stop_stage_sender, stop_stage) = watch::channel(StopStage::Serving);
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
    start_provider(dialect.provider, settings.platform.clone(), platform_inbox, find(&directory, "traffic"))?;
    let memory = MemoryPlan::new(&settings);
    let (shortage_reporter, shortages) = http_server::shortages();
    let limits = caller_limits(&settings, memory.connections);
    let server_limits = limits.server;
    let (limits_sender, limits_updates) = watch::channel(limits.clone());
    let owner_recovery_time = settings.hold + settings.hold / 6 + OWNER_TAKEOVER_TIME;
    let front_limits =
        FrontLimits { owner_recovery_time, consumer_header, quota: settings.quota_bounds(), ..FrontLimits::default() };
    let plane = PlaneSetup {
        me,
        incarnation,
        started_at,
        front_limits,
        owner_settings: OwnerSettings { memory: memory.forwarded.clone(), ..settings.owner_settings() },
        lease: lease.clone(),
        view,
        caller_limits: (limits, limits_sender),
        index: has_declared_views.then_some(index),
        stop_stage,
        memory: memory.clone(),
        shortages: shortage_reporter.clone(),
    };
    let server = CallerServer {
        traffic: find(&directory, "traffic"),
        dialect: server_dialect,
        limits: limits_updates.clone(),
        memory: memory.requests,
        shortages: shortage_reporter,
    };
    let callers = CallerListener {
        listener: caller_listener,
        routes: caller_server::router(server),
        limits: limits_updates,
        shortages,
        stop: stop_signal.clone(),
    };
    let inboxes = TrafficInboxes { traffic: traffic_inbox, links: links_inbox, dispatcher: dispatch_inbox };
    let traffic = TrafficThread {
        plane,
        directory: directory.clone(),
        local_node,
        peer_listener,
        http_dialect,
        callers,
        inboxes,
    };
    let (traffic_ended, traffic_end) = oneshot::channel();
    let traffic_thread = thread("traffic", move || {
        local(async move {
            // Without this message the control thread takes the end as a failure.
            if traffic.run().await.is_ok() {
                let _ = traffic_ended.send(());
            }
        });
    })?;
    let operations = OperationsServer {
        listener: ops_listener,
        resource_pages: http_server::view_routes(http_server::Views { index: index_updates, tokens }),
        platform_pages: dialect.pages.zip(pages_listener).map(|(make, listener)| PlatformPages { listener, make }),
        views: Views { traffic: view_updates, control: control_updates },
        limits: ServerLimits { connections: OPERATIONS_CONNECTIONS, life: OPERATIONS_CONNECTION_LIFE, ..server_limits },
        stop: stop_signal,
    };
    operations.start()?;

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
    let result = Rc::new(Cell::new(Ok(None)));
    let ended = result.clone();
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
        let signals = StopSignals { stage: stop_stage_sender, close_listeners: stop };
        ended.set(control.run(control_inbox, signals, traffic_end).await);
    });
    let deadline = result.replace(Ok(None))?;
    // Callers' connections have a grace period of their own, which starts later than that of the process.
    kernel::join_until(traffic_thread, deadline);
    event!(stopped);
    Ok(())
}

fn caller_limits(settings: &RouterSettings, connections: usize) -> CallerLimits {
    let server = ServerLimits {
        connections,
        head_bytes: settings.head_bytes,
        headers: settings.headers,
        head_time: settings.head_time,
        life: settings.life,
        grace: settings.grace,
    };
    CallerLimits { server, body_bytes: settings.body, body_time: settings.body_time, keep_alive: None }
}
