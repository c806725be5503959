//! Relays between nodes: each node is dialled at its relay's address, the relay learns from the
//! first frame who dials, and passes bytes on unless that way is cut. A cut holds bytes back, as a
//! lost network does; healing lets them through.

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

const LOOK: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
pub struct Relays {
    names: Rc<RefCell<BTreeMap<String, String>>>,
    cuts: Rc<RefCell<BTreeSet<(String, String)>>>,
    cluster: Rc<RefCell<String>>,
}

impl Relays {
    pub fn new(cluster: &str) -> Relays {
        let relays = Relays::default();
        *relays.cluster.borrow_mut() = cluster.to_owned();
        relays
    }

    pub async fn open(&self, name: &str, address: &str, behind: &str) -> Result<(), String> {
        let listener = TcpListener::bind(address).await.map_err(|fault| format!("relay at {address}: {fault}"))?;
        self.names.borrow_mut().insert(address.to_owned(), name.to_owned());
        let (relays, name, behind) = (self.clone(), name.to_owned(), behind.to_owned());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (relays, name, behind) = (relays.clone(), name.clone(), behind.clone());
                spawn_local(async move { relays.relay(stream, &name, &behind).await });
            }
        });
        Ok(())
    }

    async fn relay(&self, mut dialler: TcpStream, target: &str, behind: &str) -> Option<()> {
        let cluster = self.cluster.borrow().clone();
        let hello = read_frame(&cluster, &mut dialler).await.ok()?;
        let Message::Hello { address } = &hello.message else { return None };
        let source = self.names.borrow().get(address.as_str()).cloned().unwrap_or_default();
        let mut node = TcpStream::connect(behind).await.ok()?;
        self.wait(&source, target).await;
        node.write_all(&encode(&hello)).await.ok()?;
        let (dialler_read, dialler_write) = dialler.into_split();
        let (node_read, node_write) = node.into_split();
        tokio::select! {
            _ = self.pump(dialler_read, node_write, &source, target) => {}
            _ = self.pump(node_read, dialler_write, target, &source) => {}
        }
        Some(())
    }

    async fn wait(&self, from: &str, to: &str) {
        while self.cuts.borrow().contains(&(from.to_owned(), to.to_owned())) {
            sleep(LOOK).await;
        }
    }

    async fn pump(&self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf, from: &str, to: &str) -> Option<()> {
        let mut buffer = vec![0u8; 64 * 1024];
        loop {
            let count = read.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
            self.wait(from, to).await;
            write.write_all(&buffer[..count]).await.ok()?;
        }
    }

    /// `LEFT/RIGHT`, each a list parted by `+`; without RIGHT, everybody else. One way only, from
    /// left to right, with `one_way`.
    pub fn cut(&self, words: &str, one_way: bool) {
        let (left, right) = words.split_once('/').unwrap_or((words, ""));
        let left: Vec<String> = left.split('+').map(str::to_owned).collect();
        let all: Vec<String> = self.names.borrow().values().cloned().collect();
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

    pub fn heal(&self) {
        self.cuts.borrow_mut().clear();
    }
}
