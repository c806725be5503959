//! What a hollow fleet opens before anything starts: addresses for all, and the relays' thread, which
//! also answers for the platform.

use crate::platform_stub::{self, Asked};
use crate::processes::{CLUSTER, Drawn, REGISTRIES, address, listeners};
use crate::relay::Relays;
use crate::tally::Tally;
use kernel::{Inbox, adopt};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

#[derive(Default)]
pub struct RelayView {
    pub tally: Tally,
    pub lists: u64,
    pub list_bytes: u64,
}

pub struct Open {
    pub drawn: Vec<Drawn>,
    pub relayed: Vec<TcpListener>,
    pub platform: TcpListener,
}

/// Addresses for everything: the relays' and the nodes' stay open, the processes' are let go of again.
pub fn listen_all(hollow: usize, routers: usize) -> Result<(Open, Vec<TcpListener>), String> {
    let processes = REGISTRIES + routers;
    let mut free = listeners(1 + hollow + processes * 4)?.into_iter();
    let platform = free.next().ok_or("no port")?;
    let mut relayed = Vec::new();
    let mut drawn = Vec::new();
    let mut let_go = Vec::new();
    for number in 0..processes {
        let (Some(relay), Some(behind), Some(api), Some(door)) = (free.next(), free.next(), free.next(), free.next())
        else {
            return Err("no port".into());
        };
        let name = match number.checked_sub(REGISTRIES) {
            None => format!("registry-{number}"),
            Some(number) => format!("router-{number}"),
        };
        drawn.push(Drawn {
            name,
            address: address(&relay),
            behind: address(&behind),
            api: address(&api),
            door: address(&door),
        });
        relayed.push(relay);
        let_go.extend([behind, api, door]);
    }
    Ok((Open { drawn, relayed, platform }, free.collect()))
}

/// One relayed process on a thread of its own; the first of them answers for the platform too.
pub struct Relayed {
    pub names: BTreeMap<String, String>,
    pub listener: TcpListener,
    pub name: String,
    pub behind: String,
    pub platform: Option<(TcpListener, Vec<u8>)>,
}

pub async fn relay_thread(relayed: Relayed, mut looks: Inbox<oneshot::Sender<RelayView>>) {
    let Relayed { names, listener, name, behind, platform } = relayed;
    let relays = Relays::new(CLUSTER, names);
    if listener.set_nonblocking(true).is_ok() {
        relays.open(adopt(listener), name, behind);
    }
    let asked = Rc::new(Asked::default());
    if let Some((platform, page)) = platform
        && platform.set_nonblocking(true).is_ok()
    {
        tokio::task::spawn_local(platform_stub::serve(adopt(platform), page, asked.clone()));
    }
    while let Some(reply) = looks.next().await {
        let view = RelayView { tally: relays.tally(), lists: asked.lists.get(), list_bytes: asked.bytes.get() };
        let _ = reply.send(view);
    }
}

pub fn on_thread<F: FnOnce() + Send + 'static>(name: &str, work: F) -> Result<JoinHandle<()>, String> {
    kernel::thread(name, work).map_err(|error| error.to_string())
}
