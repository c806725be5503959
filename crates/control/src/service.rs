//! A registry put together: disk, API and optimizer on threads of their own, the core and its links on
//! the control thread. Services find each other's inboxes by name.

use crate::api::{self, Api};
use crate::api_calls::{ApiCall, ApiReply};
use crate::apply::apply;
use crate::configuration_reads::stored_document;
use crate::control_loop::Control;
use crate::core::{Core, CoreTiming};
use crate::errors::RunError;
use crate::membership_log::MembershipLog;
use crate::operator_dialect::{ControlDialect, Operators};
use crate::optimizer::{self, Host, OptimizerMessage};
use crate::settings::RegistrySettings;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use chain::{ChainReplica, Disk, DiskReport, Store, StoreError, Stored, Timing};
use events::event;
use http_server::{ResourceIndex, ServerLimits, Tokens, Views};
use kernel::{Directory, Inbox, SendError, adopt, find, listen, listen_address, local, thread};
use links::{LinkEvent, LinkOrder, LocalNode};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use wire::{Message, NodeAddress};

const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

pub enum ControlMessage {
    Link(LinkEvent),
    Disk(DiskReport),
    Call { call: ApiCall, reply: oneshot::Sender<ApiReply> },
    Seeds(Result<Vec<String>, String>),
    Stop,
}

pub fn run(settings: RegistrySettings, dialect: ControlDialect) -> Result<(), RunError> {
    let incarnation = rand::random::<u64>() >> 8;
    let file = settings.data.join("registry.redb");
    if settings.show && !file.exists() {
        return Err(RunError::NoFile { path: file });
    }
    std::fs::create_dir_all(&settings.data).map_err(|fault| RunError::Folder { path: settings.data.clone(), fault })?;
    let newcomer = NodeAddress { id: rand::random::<u64>() | 1, address: settings.address.as_str().into() };
    let (store, stored) = open_when_possible(&file, &settings.cluster, newcomer)
        .map_err(|fault| RunError::Store { path: file.clone(), fault })?;
    if settings.show {
        let page = format!("{:#}\n", stored_document(&stored.state));
        return std::io::stdout().write_all(page.as_bytes()).map_err(RunError::Print);
    }
    let peers = listen(listen_address(&settings.bind, &settings.address))?;
    let operators = listen(&settings.api)?;
    let dialect_listener = dialect.pages_address.as_deref().map(listen).transpose()?;
    let node = NodeAddress { id: stored.meta.node.id, address: settings.address.as_str().into() };
    let me = node.id;
    event!(started, "registry {me:016x} at {}, operators at {}", settings.address, settings.api);

    let mut directory = Directory::default();
    let control_inbox = directory.announce::<ControlMessage>("control", 16_384);
    let optimizer_inbox = directory.announce::<OptimizerMessage>("optimizer", 8192);
    let links_inbox = directory.announce::<LinkOrder>("links", 65_536);
    let (view, shown) = watch::channel(String::from("{}"));
    let (stop, stopping) = watch::channel(false);

    let names = directory.clone();
    let myself = LocalNode {
        id: me,
        incarnation,
        cluster: settings.cluster.clone(),
        address: settings.address.clone(),
        format: settings.format,
    };
    let control = find::<ControlMessage>(&directory, "control");
    let tokens = Tokens::read(&settings.tokens, &settings.tokens_file)?;
    let (index, indexed) = watch::channel(ResourceIndex::new(incarnation));
    let kinds = http_server::views(Views { index: indexed, tokens: tokens.clone() });
    let (body, life) = (settings.body, Duration::from_secs(3600));
    let limits = ServerLimits {
        connections: 256,
        head_bytes: 16 * 1024,
        headers: 64,
        head_time: Duration::from_secs(5),
        life,
        grace: Duration::from_secs(1),
    };
    let asking = Operators::new(control.clone(), shown);
    let own = api::router(Api { operators: asking.clone(), tokens }, body).merge(kinds);
    let mut servers = vec![serve("api", operators, own, limits, stopping.clone())?];
    if let (Some(make), Some(listener)) = (dialect.pages, dialect_listener) {
        let pages = make(asking).layer(DefaultBodyLimit::max(body));
        servers.push(serve("pages", listener, pages, limits, stopping)?);
    }
    let host = Host {
        me,
        solve: settings.solve,
        step: settings.step,
        fits: settings.fits,
        plans: settings.plans,
        tuning: settings.tuning,
        index,
        links: find(&directory, "links"),
    };
    thread("optimizer", move || optimizer::run(host, optimizer_inbox))?;
    let written = control.clone();
    let (cluster, own) = (settings.cluster.clone(), node.clone());
    let reopen = move || Store::reopen(&file, &cluster, &own);
    let disk = Disk::start(store, reopen, move |report| {
        written.send_blocking(ControlMessage::Disk(report));
    })
    .map_err(RunError::Disk)?;
    let founds = settings.found && settings.seeds.contains(&settings.address);
    let founders = if founds { settings.seeds.len() } else { 0 };
    let member = ChainReplica::new(node, stored, Timing::default(), apply, Duration::ZERO);
    let member = member.with_founders(founders).tolerating_losses(settings.losses);
    let timing = CoreTiming { call: settings.call, ..CoreTiming::for_hold(settings.hold) };
    let core = Core::new(member, timing, incarnation << 20).speaking(settings.format);
    let work = Control {
        core,
        disk,
        links: find(&directory, "links"),
        optimizer: find(&directory, "optimizer"),
        calls: BTreeMap::new(),
        next_call: 0,
        view,
        revision: None,
        shown: Instant::now(),
        membership: MembershipLog::default(),
        seeds: settings.seeds.clone(),
        reported_registries: Vec::new(),
    };
    local(async move {
        if let Some(reread) = dialect.reread {
            let (post, read) = (control.clone(), move || reread().map(|settings| settings.seeds));
            tokio::task::spawn_local(kernel::follow(settings.seeds, read, async move |seeds| {
                post.send_waiting(ControlMessage::Seeds(seeds)).await;
            }));
        }
        // On the same thread: between threads each frame costs a wake-up each way.
        tokio::task::spawn_local(run_links(names, myself, peers, links_inbox));
        work.run(control, control_inbox).await
    });
    let _ = stop.send(true);
    servers.into_iter().for_each(|server| _ = server.join());
    event!(stopped);
    Ok(())
}

/// A disk that is full at the start is waited for: it has room again sooner or later.
fn open_when_possible(file: &Path, cluster: &str, newcomer: NodeAddress) -> Result<(Store, Stored), StoreError> {
    loop {
        match Store::open(file, cluster, newcomer.clone()) {
            Err(fault) if fault.is_disk_full() => {
                event!(disk_waited, "{fault}");
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

async fn run_links(names: Directory, me: LocalNode, listener: TcpListener, orders: Inbox<LinkOrder>) {
    let control = find::<ControlMessage>(&names, "control");
    let optimizer = find::<OptimizerMessage>(&names, "optimizer");
    let deliver: links::Deliver = Rc::new(move |event| {
        let (control, optimizer) = (control.clone(), optimizer.clone());
        Box::pin(async move {
            match event {
                LinkEvent::Frame { from, message: Message::Plan(message), .. } => {
                    if let Err(SendError::Full(_)) = optimizer.send(OptimizerMessage::Frame { from, message }) {
                        event!(inbox_full, "optimizer");
                    }
                }
                other => drop(control.send_waiting(ControlMessage::Link(other)).await),
            }
        })
    });
    links::start(me, adopt(listener), orders, deliver).await;
}
