//! One connection: greetings first, then a reader and a writer side by side. Any frame that
//! cannot be read ends it. A quiet connection is greeted now and then and cut when it stays silent; one
//! that was dialled on demand is closed by who dialled it once both sides are quiet. Either side first
//! finishes what the other may have sent meanwhile.

use crate::order::{LinkEvent, LocalNode};
use crate::service::Inner;
use std::cell::Cell;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::{Frame, FrameError, Message, downgrade};

/// How long the first frame may take.
const GREETING: Duration = Duration::from_secs(3);
/// Heartbeats and proofs go over a link in use several times in this time.
const PATIENCE: Duration = Duration::from_millis(1500);
/// A link over which nothing goes for so long is greeted, or closed if it was dialled on demand.
const QUIET: Duration = Duration::from_secs(4);
/// A link over which nothing comes for so long is ended.
const SILENT: Duration = Duration::from_secs(13);
/// How long a write may take.
const WRITE: Duration = Duration::from_secs(5);
/// How long what the other side had sent is waited for when a link is closed.
const LAST: Duration = Duration::from_secs(2);
/// The most messages queued to one peer.
const QUEUE: usize = 8192;
/// Bytes buffered each way.
const BUFFER: usize = 16 * 1024;

fn late() -> FrameError {
    FrameError::Connection(ErrorKind::TimedOut.into())
}

fn frame(me: &LocalNode, message: Message) -> Frame {
    Frame {
        format: me.format,
        cluster: me.cluster.as_str().into(),
        sender: me.id,
        incarnation: me.incarnation,
        message,
    }
}

fn hello(me: &LocalNode) -> Frame {
    frame(me, Message::Hello { address: me.address.as_str().into() })
}

pub async fn run(inner: Rc<Inner>, stream: TcpStream, dialled: Option<String>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    kernel::set_silence_timeout(&stream, PATIENCE)?;
    let me = inner.me.clone();
    let (read, write) = stream.into_split();
    let mut read = BufReader::with_capacity(BUFFER, read);
    let mut write = BufWriter::with_capacity(BUFFER, write);
    wire::write_frame(&mut write, &hello(&me)).await?;
    write.flush().await?;
    let first = timeout(GREETING, wire::read_frame(&me.cluster, &mut read)).await.map_err(|_| late())??;
    let Message::Hello { address } = &first.message else { return Err(FrameError::Malformed) };
    let (id, incarnation, address) = (first.sender, first.incarnation, address.as_str().to_owned());
    if id == me.id {
        return Ok(());
    }
    let (sender, queue) = mpsc::channel::<Message>(QUEUE);
    let number = inner.add(id, incarnation, sender, dialled.clone(), address);
    let heard = Cell::new(Instant::now());
    let reader = async {
        loop {
            let got = timeout(SILENT, wire::read_frame(&me.cluster, &mut read)).await.map_err(|_| late())??;
            if got.sender != id || got.incarnation != incarnation {
                return Err(FrameError::Malformed);
            }
            if !matches!(got.message, Message::Hello { .. }) {
                heard.set(Instant::now());
                inner.deliver(LinkEvent::Frame { from: id, incarnation, message: got.message }).await;
            }
        }
    };
    let idle = || !inner.is_held(dialled.as_ref()) && heard.get().elapsed() >= QUIET;
    let mut writer = pin!(write_out(&me, &mut write, queue, idle));
    let mut reader = pin!(reader);
    let ended = tokio::select! {
        end = &mut writer => match end {
            // Closed as idle: the other side may have sent something before it heard of that.
            Ok(()) => {
                inner.remove(id, number).await;
                timeout(LAST, reader).await.unwrap_or(Ok(()))
            }
            error => error,
        },
        end = &mut reader => match end {
            Err(FrameError::Connection(error)) if error.kind() == ErrorKind::UnexpectedEof => {
                inner.remove(id, number).await;
                timeout(LAST, writer).await.unwrap_or(Ok(()))
            }
            end => end,
        },
    };
    inner.remove(id, number).await;
    ended
}

/// Ends well when the link is idle, or its queue is closed and written out.
async fn write_out(
    me: &LocalNode,
    write: &mut BufWriter<OwnedWriteHalf>,
    mut queue: mpsc::Receiver<Message>,
    idle: impl Fn() -> bool,
) -> Result<(), FrameError> {
    loop {
        let message = match timeout(QUIET, queue.recv()).await {
            Ok(Some(message)) => downgrade(message, me.format).map(|message| frame(me, message)),
            Ok(None) => break,
            Err(_) if idle() => break,
            Err(_) => Some(hello(me)),
        };
        let send = async {
            if let Some(message) = message {
                wire::write_frame(write, &message).await?;
            }
            while let Ok(message) = queue.try_recv() {
                if let Some(message) = downgrade(message, me.format) {
                    wire::write_frame(write, &frame(me, message)).await?;
                }
            }
            write.flush().await?;
            Ok::<(), FrameError>(())
        };
        timeout(WRITE, send).await.map_err(|_| late())??;
    }
    timeout(WRITE, write.shutdown()).await.map_err(|_| late())??;
    Ok(())
}
