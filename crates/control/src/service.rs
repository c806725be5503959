//! Assembly of a registry: disk, API and optimizer run on separate threads, the core and its links on the control
//! thread. Services find each other's inboxes by name.

use crate::api::{self, Api};
use crate::apply::apply;
use crate::configuration_reads::stored_document;
use crate::control_loop::Control;
use crate::control_message::ControlMessage;
use crate::core::{Core, CoreTiming};
use crate::errors::RunError;
use crate::link_routing::run_links;
use crate::membership_log::MembershipLog;
use crate::operator_pages::{ControlDialect, MakePages, RegistryHandle};
use crate::optimizer::{self, OptimizerContext, OptimizerMessage};
use crate::settings::RegistrySettings;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use chain::{ChainReplica, DiskWriter, Store, StoreError, StoredReplica, Timing};
use events::event;
use http_server::{ResourceIndex, ServerLimits, Tokens, Views};
use kernel::{Directory, Inbox, InboxSender, adopt, find, listen, listen_address, local, thread};
use links::{LinkOrder, LocalNode};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use wire::{NodeAddress, NodeId};

/// Interval between attempts to open the data file on a full disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Number of high bits that are zero in an incarnation, so that the numbers derived from it fit in 64 bits.
const INCARNATION_SHIFT: u32 = 8;
/// Proposals and rounds are numbered from the incarnation shifted left by this many bits.
const NUMBERS_SHIFT: u32 = 20;
const CONTROL_INBOX: usize = 16_384;
const OPTIMIZER_INBOX: usize = 8192;
const LINKS_INBOX: usize = 65_536;
const SERVER_LIMITS: ServerLimits = ServerLimits {
    connections: 256,
    head_bytes: 16 * 1024,
    headers: 64,
    head_time: Duration::from_secs(5),
    life: Duration::from_secs(3600),
    grace: Duration::from_secs(1),
};

/// The data file and identity of a registry, opened before anything else starts.
struct OpenedRegistry {
    file: PathBuf,
    store: Store,
    stored: StoredReplica,
    node: NodeAddress,
}

/// Listening sockets of a registry.
struct Listeners {
    peers: TcpListener,
    operators: TcpListener,
    pages: Option<TcpListener>,
}

/// Runs a registry until it is asked to stop.
///
/// # Errors
///
/// Returns the reason why the registry cannot start. A running registry ends only on request.
pub fn run(settings: RegistrySettings, dialect: ControlDialect) -> Result<(), RunError> {
    let incarnation = rand::random::<u64>() >> INCARNATION_SHIFT;
    let OpenedRegistry { file, store, stored, node } = open(&settings)?;
    if settings.show {
        let page = format!("{:#}\n", stored_document(&stored.state));
        return std::io::stdout().write_all(page.as_bytes()).map_err(RunError::Print);
    }
    let ControlDialect { pages, pages_address, reread } = dialect;
    let listeners = Listeners {
        peers: listen(listen_address(&settings.bind, &settings.address))?,
        operators: listen(&settings.api)?,
        pages: pages_address.as_deref().map(listen).transpose()?,
    };
    let me = node.id;
    event!(started, "registry {me:016x} at {}, operators at {}", settings.address, settings.api);

    let mut directory = Directory::default();
    let control_inbox = directory.announce::<ControlMessage>("control", CONTROL_INBOX);
    let optimizer_inbox = directory.announce::<OptimizerMessage>("optimizer", OPTIMIZER_INBOX);
    let links_inbox = directory.announce::<LinkOrder>("links", LINKS_INBOX);
    let control = find::<ControlMessage>(&directory, "control");
    let (status, status_updates) = watch::channel(String::from("{}"));
    let (stop, stopping) = watch::channel(false);
    let (index, index_updates) = watch::channel(ResourceIndex::new(incarnation));

    let handle = RegistryHandle::new(control.clone(), status_updates);
    let (pages_listener, operators_listener) = (listeners.pages, listeners.operators);
    let dialect_pages = pages.zip(pages_listener);
    let servers = start_servers(&settings, handle, operators_listener, dialect_pages, index_updates, &stopping)?;
    start_optimizer(&settings, me, index, &directory, optimizer_inbox)?;
    let disk = start_disk(&settings, file, store, node.clone(), control.clone())?;
    let control_loop = Control {
        core: new_core(&settings, node, stored, incarnation),
        disk,
        links: find(&directory, "links"),
        optimizer: find(&directory, "optimizer"),
        calls: BTreeMap::new(),
        last_call_id: 0,
        status,
        sent_revision: None,
        status_published_at: Instant::now(),
        membership: MembershipLog::default(),
        seeds: settings.seeds.clone(),
        grace: settings.grace,
        reported_registries: Vec::new(),
    };
    let local_node = LocalNode {
        id: me,
        incarnation,
        cluster: settings.cluster.clone(),
        address: settings.address.clone(),
        format: settings.format,
    };
    local(async move {
        if let Some(reread) = reread {
            let (control, read) = (control.clone(), move || reread().map(|settings| settings.seeds));
            tokio::task::spawn_local(kernel::watch_settings(settings.seeds, read, async move |seeds| {
                control.send_waiting(ControlMessage::Seeds(seeds)).await;
            }));
        }
        // On the control thread, since passing frames between threads costs a wake-up each way.
        tokio::task::spawn_local(run_links(directory, local_node, listeners.peers, links_inbox));
        control_loop.run(control, control_inbox).await
    });
    let _ = stop.send(true);
    servers.into_iter().for_each(|server| _ = server.join());
    event!(stopped);
    Ok(())
}

fn open(settings: &RegistrySettings) -> Result<OpenedRegistry, RunError> {
    let file = settings.data.join("registry.redb");
    if settings.show && !file.exists() {
        return Err(RunError::NoFile { path: file });
    }
    std::fs::create_dir_all(&settings.data).map_err(|fault| RunError::Folder { path: settings.data.clone(), fault })?;
    let new_node = NodeAddress { id: rand::random::<u64>() | 1, address: settings.address.as_str().into() };
    let (store, stored) = open_when_possible(&file, &settings.cluster, new_node)
        .map_err(|fault| RunError::Store { path: file.clone(), fault })?;
    let node = NodeAddress { id: stored.meta.node.id, address: settings.address.as_str().into() };
    Ok(OpenedRegistry { file, store, stored, node })
}

fn start_servers(
    settings: &RegistrySettings,
    handle: RegistryHandle,
    listener: TcpListener,
    dialect: Option<(MakePages, TcpListener)>,
    index: watch::Receiver<ResourceIndex>,
    stopping: &watch::Receiver<bool>,
) -> Result<Vec<JoinHandle<()>>, RunError> {
    let tokens = Tokens::read(&settings.tokens, &settings.tokens_file)?;
    let resource_views = http_server::view_routes(Views { index, tokens: tokens.clone() });
    let builtin_pages = api::router(Api { handle: handle.clone(), tokens }, settings.body).merge(resource_views);
    let mut servers = vec![serve("api", listener, builtin_pages, SERVER_LIMITS, stopping.clone())?];
    if let Some((make, listener)) = dialect {
        let pages = make(handle).layer(DefaultBodyLimit::max(settings.body));
        servers.push(serve("pages", listener, pages, SERVER_LIMITS, stopping.clone())?);
    }
    Ok(servers)
}

fn start_optimizer(
    settings: &RegistrySettings,
    me: NodeId,
    index: watch::Sender<ResourceIndex>,
    directory: &Directory,
    inbox: Inbox<OptimizerMessage>,
) -> Result<(), RunError> {
    let context = OptimizerContext {
        me,
        solve: settings.solve,
        step: settings.step,
        fits: settings.fits,
        plans: settings.plans,
        tuning: settings.tuning,
        index,
        links: find(directory, "links"),
    };
    thread("optimizer", move || optimizer::run(context, inbox))?;
    Ok(())
}

fn start_disk(
    settings: &RegistrySettings,
    file: PathBuf,
    store: Store,
    node: NodeAddress,
    control: InboxSender<ControlMessage>,
) -> Result<DiskWriter, RunError> {
    let cluster = settings.cluster.clone();
    let reopen = move || Store::reopen(&file, &cluster, &node);
    let report = move |report| {
        control.send_blocking(ControlMessage::Disk(report));
    };
    DiskWriter::start(store, reopen, report).map_err(RunError::Disk)
}

fn new_core(settings: &RegistrySettings, node: NodeAddress, stored: StoredReplica, incarnation: u64) -> Core {
    let may_found = settings.found && settings.seeds.contains(&settings.address);
    let founders = if may_found { settings.seeds.len() } else { 0 };
    let replica = ChainReplica::new(node, stored, Timing::default(), apply, Duration::ZERO)
        .with_founders(founders)
        .with_tolerated_losses(settings.losses);
    let timing = CoreTiming {
        call_timeout: settings.call,
        ..CoreTiming::for_hold(settings.hold).with_peer_hold(settings.peer_hold)
    };
    Core::new(replica, timing, incarnation << NUMBERS_SHIFT).with_format(settings.format)
}

/// Opens the data file. On a full disk it retries until there is space.
fn open_when_possible(file: &Path, cluster: &str, new_node: NodeAddress) -> Result<(Store, StoredReplica), StoreError> {
    loop {
        match Store::open(file, cluster, new_node.clone()) {
            Err(fault) if fault.is_disk_full() => {
                event!(disk_full_at_start, "{fault}");
                std::thread::sleep(REOPEN_INTERVAL);
            }
            opened => return opened,
        }
    }
}

fn serve(
    name: &str,
    listener: TcpListener,
    pages: Router,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
) -> Result<JoinHandle<()>, RunError> {
    Ok(thread(name, move || local(async move { http_server::serve(adopt(listener), pages, limits, stop).await }))?)
}
