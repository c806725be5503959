//! Counting relays: each process of a hollow fleet is dialled at its relay's address. The relay
//! learns from the first frame who dials, passes every frame on as it came, and counts it for both.

use crate::kinds::kind;
use crate::tally::{Tally, Way};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, BufWriter};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use wire::{LIMIT, Message, encode, read_frame};

pub const HOLLOW: &str = "hollow";

#[derive(Clone)]
pub struct Relays {
    cluster: Rc<str>,
    names: Rc<BTreeMap<String, String>>,
    tally: Rc<RefCell<Tally>>,
}

impl Relays {
    /// `names` holds the relayed processes by the address others dial.
    pub fn new(cluster: &str, names: BTreeMap<String, String>) -> Relays {
        Relays { cluster: cluster.into(), names: Rc::new(names), tally: Rc::default() }
    }

    pub fn tally(&self) -> Tally {
        self.tally.borrow().clone()
    }

    pub fn open(&self, listener: TcpListener, name: String, behind: String) {
        let relays = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (relays, name, behind) = (relays.clone(), name.clone(), behind.clone());
                spawn_local(async move { relays.relay(stream, &name, &behind).await });
            }
        });
    }

    async fn relay(&self, mut dialler: TcpStream, target: &str, behind: &str) -> Option<()> {
        let hello = read_frame(&self.cluster, &mut dialler).await.ok()?;
        let Message::Hello { address } = &hello.message else { return None };
        let source = self.names.get(address.as_str()).map_or(HOLLOW, String::as_str);
        let mut node = TcpStream::connect(behind).await.ok()?;
        dialler.set_nodelay(true).ok()?;
        node.set_nodelay(true).ok()?;
        node.write_all(&encode(&hello)).await.ok()?;
        let (dialler_read, dialler_write) = dialler.into_split();
        let (node_read, node_write) = node.into_split();
        tokio::select! {
            _ = self.pump(dialler_read, node_write, source, target) => {}
            _ = self.pump(node_read, dialler_write, target, source) => {}
        }
        Some(())
    }

    async fn pump(&self, read: OwnedReadHalf, write: OwnedWriteHalf, from: &str, to: &str) -> Option<()> {
        let mut read = BufReader::with_capacity(16 * 1024, read);
        let mut write = BufWriter::with_capacity(16 * 1024, write);
        let mut record = Vec::new();
        loop {
            let mut head = [0u8; 8];
            read.read_exact(&mut head).await.ok()?;
            let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
            if len > LIMIT {
                return None;
            }
            record.resize(len, 0);
            read.read_exact(&mut record).await.ok()?;
            self.count(from, to, kind(&record), (len + head.len()) as u64);
            write.write_all(&head).await.ok()?;
            write.write_all(&record).await.ok()?;
            if read.buffer().is_empty() {
                write.flush().await.ok()?;
            }
            record.shrink_to(64 * 1024);
        }
    }

    /// Hollow nodes count their words with real routers themselves: half of those pass no relay.
    fn count(&self, from: &str, to: &str, kind: &'static str, bytes: u64) {
        let is_router = |name: &str| name.starts_with("router");
        if (from == HOLLOW && is_router(to)) || (is_router(from) && to == HOLLOW) {
            return;
        }
        let mut tally = self.tally.borrow_mut();
        tally.add(from, Way::Out, kind, 1, bytes);
        tally.add(to, Way::In, kind, 1, bytes);
    }
}
