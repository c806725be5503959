//! A registry put together: links, disk, API and optimizer on threads of their own, the core on
//! the control thread. Services find each other's inboxes by name.

use crate::api::{self, Api};
use crate::api_calls::{ApiCall, ApiReply};
use crate::apply::apply;
use crate::core::{Core, CoreInput, CoreOutput, CoreTiming};
use crate::keys;
use crate::optimizer::{self, Host, OptimizerMsg};
use crate::settings::RegistryEnv;
use crate::tokens::Tokens;
use bindings::Book;
use chain::{Disk, Member, Store, Timing};
use doors::DoorLimits;
use events::event;
use kernel::{Directory, Inbox, Post, SendFault};
use links::{LinkEvent, LinkOrder, Me};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use wire::{Message, Seat, View};

const TICK: Duration = Duration::from_millis(10);
const VIEW_EVERY: Duration = Duration::from_millis(200);

pub enum ControlMsg {
    Link(LinkEvent),
    Written(Result<u64, String>),
    Call { call: ApiCall, reply: oneshot::Sender<ApiReply> },
    Stop,
}

struct Control {
    core: Core,
    disk: Disk,
    links: Post<LinkOrder>,
    optimizer: Post<OptimizerMsg>,
    calls: BTreeMap<u64, oneshot::Sender<ApiReply>>,
    next_call: u64,
    view: watch::Sender<String>,
    shown: Instant,
    seeds: Vec<String>,
}

pub fn thread<F: FnOnce() + Send + 'static>(name: &str, work: F) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.into()).spawn(work)
}

fn local<F: Future<Output = ()> + 'static>(work: F) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, work);
}

fn listen(address: &str) -> Result<std::net::TcpListener, String> {
    let listener = std::net::TcpListener::bind(address).map_err(|fault| format!("cannot listen on {address}: {fault}"))?;
    listener.set_nonblocking(true).map_err(|fault| fault.to_string())?;
    Ok(listener)
}

pub fn run(settings: RegistryEnv) -> Result<(), String> {
    let incarnation = rand::random::<u64>() >> 8;
    std::fs::create_dir_all(&settings.data).map_err(|fault| format!("data folder {}: {fault}", settings.data.display()))?;
    let file = settings.data.join("registry.redb");
    let newcomer = Seat { id: rand::random::<u64>() | 1, address: settings.address.as_str().into() };
    let (store, stored) = Store::open(&file, &settings.cluster, newcomer)
        .map_err(|fault| format!("{}: {fault}; it is left as it is", file.display()))?;
    let peers = listen(&settings.address)?;
    let operators = listen(&settings.api)?;
    let seat = Seat { id: stored.meta.seat.id, address: settings.address.as_str().into() };
    let me = seat.id;
    event!(started, "registry {me:016x} at {}, operators at {}", settings.address, settings.api);

    let mut directory = Directory::default();
    let control_inbox = directory.announce::<ControlMsg>("control", 16_384);
    let optimizer_inbox = directory.announce::<OptimizerMsg>("optimizer", 8192);
    let links_inbox = directory.announce::<LinkOrder>("links", 65_536);
    let (view, shown) = watch::channel(String::from("{}"));
    let (stop, stopping) = watch::channel(false);

    let names = directory.clone();
    let myself = Me { id: me, incarnation, cluster: settings.cluster.clone(), address: settings.address.clone() };
    thread("links", move || local(run_links(names, myself, peers, links_inbox))).map_err(|f| f.to_string())?;
    let control = find::<ControlMsg>(&directory, "control");
    let tokens = Tokens::new(&settings.tokens);
    let (body, life) = (settings.body, Duration::from_secs(3600));
    let limits = DoorLimits {
        connections: 256,
        head_bytes: 16 * 1024,
        headers: 64,
        head_time: Duration::from_secs(5),
        life,
        grace: Duration::from_secs(1),
    };
    let pages = api::router(Api { control: control.clone(), tokens, view: shown }, body);
    let api_thread = thread("api", move || {
        local(async move {
            let listener = TcpListener::from_std(operators).expect("a bound listener can be registered");
            doors::serve(listener, pages, limits, stopping).await;
        })
    })
    .map_err(|fault| fault.to_string())?;
    let host = Host { me, solve: settings.solve, links: find(&directory, "links") };
    thread("optimizer", move || optimizer::run(host, optimizer_inbox, Inbox::next_blocking)).map_err(|f| f.to_string())?;
    let written = control.clone();
    let disk = Disk::start(store, move |result| { written.send_blocking(ControlMsg::Written(result)); })
        .map_err(|fault| fault.to_string())?;
    let member = Member::new(seat, stored, Timing::default(), apply, Duration::ZERO);
    let timing = CoreTiming { call: settings.call, lapse: settings.hold + settings.hold * 2 / 3, ..CoreTiming::default() };
    let core = Core::new(member, timing, incarnation << 20);
    let work = Control {
        core,
        disk,
        links: find(&directory, "links"),
        optimizer: find(&directory, "optimizer"),
        calls: BTreeMap::new(),
        next_call: 0,
        view,
        shown: Instant::now(),
        seeds: settings.seeds.clone(),
    };
    local(work.run(control, control_inbox));
    let _ = stop.send(true);
    let _ = api_thread.join();
    event!(stopped);
    Ok(())
}

pub fn find<M: Send + 'static>(directory: &Directory, name: &str) -> Post<M> {
    directory.find(name).expect("every service is announced before any is started")
}

async fn run_links(names: Directory, me: Me, listener: std::net::TcpListener, orders: Inbox<LinkOrder>) {
    let control = find::<ControlMsg>(&names, "control");
    let optimizer = find::<OptimizerMsg>(&names, "optimizer");
    let deliver: links::Deliver = Rc::new(move |event| {
        let (control, optimizer) = (control.clone(), optimizer.clone());
        Box::pin(async move {
            match event {
                LinkEvent::Frame { from, message: Message::Plan(message), .. } => {
                    if let Err(SendFault::Full(_)) = optimizer.send(OptimizerMsg::Frame { from, message }) {
                        event!(inbox_full, "optimizer");
                    }
                }
                other => drop(control.send_waiting(ControlMsg::Link(other)).await),
            }
        })
    });
    let listener = TcpListener::from_std(listener).expect("a bound listener can be registered");
    links::start(me, listener, orders, deliver).await;
}

impl Control {
    async fn run(mut self, post: Post<ControlMsg>, mut inbox: Inbox<ControlMsg>) {
        let begun = Instant::now();
        self.dial(&View::default());
        tokio::task::spawn_local(async move {
            wait_for_signal().await;
            post.send_waiting(ControlMsg::Stop).await;
        });
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                biased;
                _ = ticks.tick() => Some(CoreInput::Tick),
                message = inbox.next() => match message {
                    Some(ControlMsg::Stop) | None => return self.leave(begun.elapsed()).await,
                    Some(message) => self.input(message),
                },
            };
            if let Some(input) = input {
                let outputs = self.core.step(begun.elapsed(), input);
                self.carry_out(outputs);
            }
            self.show();
        }
    }

    fn input(&mut self, message: ControlMsg) -> Option<CoreInput> {
        match message {
            ControlMsg::Link(LinkEvent::Frame { from, incarnation, message }) => match message {
                Message::Chain(message) => Some(CoreInput::Chain { from, message }),
                Message::Hold(message) => Some(CoreInput::Router { from, incarnation, message }),
                _ => None,
            },
            ControlMsg::Link(_) | ControlMsg::Stop => None,
            ControlMsg::Written(Ok(ticket)) => Some(CoreInput::Written { ticket }),
            ControlMsg::Written(Err(fault)) => {
                event!(disk_fault, "{fault}");
                Some(CoreInput::DiskFault)
            }
            ControlMsg::Call { call, reply } => {
                self.next_call += 1;
                self.calls.insert(self.next_call, reply);
                Some(CoreInput::Call { ask: self.next_call, call })
            }
        }
    }

    fn order(&self, order: LinkOrder) {
        if self.links.send(order).is_err() {
            event!(inbox_full, "links");
        }
    }

    fn dial(&self, view: &View) {
        let seats = view.voters.iter().map(|seat| seat.address.as_str().to_owned());
        self.order(LinkOrder::Dial { addresses: self.seeds.iter().cloned().chain(seats).collect() });
    }

    fn carry_out(&mut self, outputs: Vec<CoreOutput>) {
        for output in outputs {
            match output {
                CoreOutput::Registry { to, message } => self.order(LinkOrder::Send { to, message: Message::Chain(message) }),
                CoreOutput::Router { to, message } => self.order(LinkOrder::Send { to, message: Message::Hold(message) }),
                CoreOutput::Seeds { message } => {
                    for address in self.seeds.clone() {
                        self.order(LinkOrder::SendAddress { address, message: Message::Chain(message.clone()) });
                    }
                }
                CoreOutput::Write { ticket, batch } => {
                    if !self.disk.write(ticket, batch) {
                        event!(disk_fault, "the disk's thread takes no more writes");
                    }
                }
                CoreOutput::Reply { ask, reply } => {
                    if let Some(waiting) = self.calls.remove(&ask) {
                        let _ = waiting.send(reply);
                    }
                }
                CoreOutput::Viewed { view } => {
                    let chain: Vec<String> = view.chain.iter().map(|id| format!("{id:016x}")).collect();
                    event!(view_adopted, "view {} chain {}", view.number, chain.join(" "));
                    self.dial(&view);
                    let _ = self.optimizer.send(OptimizerMsg::Viewed { view });
                }
                CoreOutput::Activated { step } => {
                    event!(step_activated, "step {step}");
                    let prefix = keys::ACTIVE_PAIRS;
                    let pairs = keys::with_prefix(self.core.state(), prefix).map(|(k, v)| (&k[prefix.len()..], &v[..]));
                    let book = Box::new(Book::build(step, 0, pairs));
                    let _ = self.optimizer.send(OptimizerMsg::Book { book });
                }
            }
        }
    }

    fn show(&mut self) {
        if self.shown.elapsed() >= VIEW_EVERY {
            self.shown = Instant::now();
            let status = self.core.status().to_string();
            self.view.send_if_modified(|old| {
                let differs = *old != status;
                *old = status;
                differs
            });
        }
    }

    /// A planned stop: the optimizer's duty goes to a successor this node names.
    async fn leave(mut self, now: Duration) {
        event!(stopping);
        let view = self.core.member().view().clone();
        let me = self.core.me();
        if view.optimizer == me
            && let Some(successor) = view.chain.iter().copied().find(|id| *id != me)
        {
            let outputs = self.core.step(now, CoreInput::HandOver { optimizer: successor });
            self.carry_out(outputs);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

pub async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return std::future::pending().await;
    };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
}
