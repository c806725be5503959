//! One connection: greetings first, then a reader and a writer side by side. Any frame that
//! cannot be read ends it. A quiet connection is greeted now and then and cut when it stays silent.

use crate::order::{LinkEvent, Me};
use crate::service::Inner;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::{Frame, FrameFault, Message, spoken};

const GREETING: Duration = Duration::from_secs(3);
/// Beats and proofs go over a link in use several times in this time.
const PATIENCE: Duration = Duration::from_millis(1500);
const QUIET: Duration = Duration::from_secs(4);
const SILENT: Duration = Duration::from_secs(13);
const WRITE: Duration = Duration::from_secs(5);
const QUEUE: usize = 8192;

fn frame(me: &Me, message: Message) -> Frame {
    Frame {
        format: me.format,
        cluster: me.cluster.as_str().into(),
        sender: me.id,
        incarnation: me.incarnation,
        message,
    }
}

fn hello(me: &Me) -> Frame {
    frame(me, Message::Hello { address: me.address.as_str().into() })
}

pub async fn run(inner: Rc<Inner>, stream: TcpStream, dialled: Option<String>) -> Result<(), FrameFault> {
    stream.set_nodelay(true)?;
    kernel::give_up_after(&stream, PATIENCE)?;
    let me = inner.me.clone();
    let (read, write) = stream.into_split();
    let mut read = BufReader::with_capacity(64 * 1024, read);
    let mut write = BufWriter::with_capacity(64 * 1024, write);
    wire::write_frame(&mut write, &hello(&me)).await?;
    write.flush().await?;
    let late = || FrameFault::Connection(std::io::ErrorKind::TimedOut.into());
    let first = timeout(GREETING, wire::read_frame(&me.cluster, &mut read)).await.map_err(|_| late())??;
    let Message::Hello { address } = &first.message else { return Err(FrameFault::Malformed) };
    let (id, incarnation, address) = (first.sender, first.incarnation, address.as_str().to_owned());
    if id == me.id {
        return Ok(());
    }
    let (sender, mut queue) = mpsc::channel::<Message>(QUEUE);
    let number = inner.add(id, incarnation, sender, dialled, address);
    let writer = async {
        loop {
            let message = match timeout(QUIET, queue.recv()).await {
                Ok(Some(message)) => spoken(message, me.format).map(|message| frame(&me, message)),
                Ok(None) => return Err(late()),
                Err(_) => Some(hello(&me)),
            };
            let send = async {
                if let Some(message) = message {
                    wire::write_frame(&mut write, &message).await?;
                }
                while let Ok(message) = queue.try_recv() {
                    if let Some(message) = spoken(message, me.format) {
                        wire::write_frame(&mut write, &frame(&me, message)).await?;
                    }
                }
                write.flush().await?;
                Ok::<(), FrameFault>(())
            };
            timeout(WRITE, send).await.map_err(|_| late())??;
        }
    };
    let reader = async {
        loop {
            let got = timeout(SILENT, wire::read_frame(&me.cluster, &mut read)).await.map_err(|_| late())??;
            if got.sender != id || got.incarnation != incarnation {
                return Err(FrameFault::Malformed);
            }
            if !matches!(got.message, Message::Hello { .. }) {
                inner.deliver(LinkEvent::Frame { from: id, incarnation, message: got.message }).await;
            }
        }
    };
    let ended: Result<(), FrameFault> = tokio::select! { end = writer => end, end = reader => end };
    inner.remove(id, number).await;
    ended
}
