//! Relays between nodes. Other nodes dial a node at the address of its relay. The relay learns the dialling node
//! from the first frame and forwards bytes unless that direction is cut. A cut holds bytes back, as a network
//! outage does; healing lets them through.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::{Message, encode, read_frame};

/// Interval at which a held connection checks whether its link is healed.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All relays of a fleet and the links that are cut.
#[derive(Clone, Default)]
pub struct Relays {
    node_names: Rc<RefCell<BTreeMap<String, String>>>,
    cuts: Rc<RefCell<BTreeSet<(String, String)>>>,
    cluster: Rc<RefCell<String>>,
}

impl Relays {
    /// Returns an empty set of relays for a cluster.
    pub fn new(cluster: &str) -> Relays {
        let relays = Relays::default();
        *relays.cluster.borrow_mut() = cluster.to_owned();
        relays
    }

    /// Listens at `address` and forwards connections to the node at `bind_address`.
    pub async fn open(&self, name: &str, address: &str, bind_address: &str) -> Result<(), String> {
        let listener = TcpListener::bind(address).await.map_err(|error| format!("relay at {address}: {error}"))?;
        self.node_names.borrow_mut().insert(address.to_owned(), name.to_owned());
        let (relays, name, bind_address) = (self.clone(), name.to_owned(), bind_address.to_owned());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (relays, name, bind_address) = (relays.clone(), name.clone(), bind_address.clone());
                spawn_local(async move { relays.forward_connection(stream, &name, &bind_address).await });
            }
        });
        Ok(())
    }

    async fn forward_connection(&self, mut client: TcpStream, target: &str, bind_address: &str) -> Option<()> {
        let cluster = self.cluster.borrow().clone();
        let hello = read_frame(&cluster, &mut client).await.ok()?;
        let Message::Hello { address } = &hello.message else { return None };
        let source = self.node_names.borrow().get(address.as_str()).cloned().unwrap_or_default();
        let mut node = TcpStream::connect(bind_address).await.ok()?;
        self.wait_while_cut(&source, target).await;
        node.write_all(&encode(&hello)).await.ok()?;
        let (client_read, client_write) = client.into_split();
        let (node_read, node_write) = node.into_split();
        tokio::select! {
            _ = self.copy_bytes(client_read, node_write, &source, target) => {}
            _ = self.copy_bytes(node_read, client_write, target, &source) => {}
        }
        Some(())
    }

    async fn wait_while_cut(&self, from: &str, to: &str) {
        while self.cuts.borrow().contains(&(from.to_owned(), to.to_owned())) {
            sleep(CUT_POLL_INTERVAL).await;
        }
    }

    async fn copy_bytes(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, from: &str, to: &str) -> Option<()> {
        let mut buffer = vec![0u8; 64 * 1024];
        loop {
            let count = read.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
            self.wait_while_cut(from, to).await;
            write.write_all(&buffer[..count]).await.ok()?;
        }
    }

    /// Cuts links given as `LEFT/RIGHT`, each a list of names separated by `+`; without RIGHT, all links between
    /// LEFT and all other nodes. With `one_way` only the direction from left to right is cut.
    pub fn cut(&self, links: &str, one_way: bool) {
        let (left, right) = links.split_once('/').unwrap_or((links, ""));
        let left: Vec<String> = left.split('+').map(str::to_owned).collect();
        let all: Vec<String> = self.node_names.borrow().values().cloned().collect();
        let right: Vec<String> = match right {
            "" => all.into_iter().filter(|name| !left.contains(name)).collect(),
            list => list.split('+').map(str::to_owned).collect(),
        };
        let mut cuts = self.cuts.borrow_mut();
        for (a, b) in left.iter().flat_map(|a| right.iter().map(move |b| (a, b))) {
            cuts.insert((a.clone(), b.clone()));
            if !one_way {
                cuts.insert((b.clone(), a.clone()));
            }
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.cuts.borrow_mut().clear();
    }
}
