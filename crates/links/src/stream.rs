//! One connection: an exchange of `Hello` frames, then a reader and a writer that run concurrently. An
//! unreadable frame ends the connection. An idle connection is sent a `Hello` from time to time and ended if
//! nothing is received for too long; one that was dialled on demand is closed by the side that dialled it once
//! both sides are idle. Before closing, each side handles what the other one may have sent in the meantime.

use crate::interface::{LinkEvent, LocalNode};
use crate::service::LinkService;
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

/// Maximum time until the peer's first frame has arrived.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a connection with unacknowledged data is ended; on a link in use, heartbeats and proofs
/// are sent several times within it.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without outgoing messages after which a `Hello` is sent, or a link dialled on demand is closed.
const IDLE_INTERVAL: Duration = Duration::from_secs(4);
/// Time without incoming frames after which a link is ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(13);
/// Maximum time for one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to wait, when a link is closed, for what the other side had already sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of outgoing messages queued on one connection.
const QUEUE_CAPACITY: usize = 8192;
/// Buffer size in bytes, per direction.
const BUFFER_BYTES: usize = 16 * 1024;

fn timed_out() -> FrameError {
    FrameError::Connection(ErrorKind::TimedOut.into())
}

fn make_frame(local_node: &LocalNode, message: Message) -> Frame {
    Frame {
        format: local_node.format,
        cluster: local_node.cluster.as_str().into(),
        sender: local_node.id,
        incarnation: local_node.incarnation,
        message,
    }
}

fn hello_frame(local_node: &LocalNode) -> Frame {
    make_frame(local_node, Message::Hello { address: local_node.address.as_str().into() })
}

/// Serves a connection until it ends; `dialled` is the address if this side dialled it.
pub async fn run_connection(
    service: Rc<LinkService>,
    stream: TcpStream,
    dialled: Option<String>,
) -> Result<(), FrameError> {
    let Some(_running) = service.begin_connection() else { return Ok(()) };
    stream.set_nodelay(true)?;
    kernel::set_silence_timeout(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    let local_node = service.local_node.clone();
    let (read, write) = stream.into_split();
    let mut read = BufReader::with_capacity(BUFFER_BYTES, read);
    let mut write = BufWriter::with_capacity(BUFFER_BYTES, write);
    wire::write_frame(&mut write, &hello_frame(&local_node)).await?;
    write.flush().await?;
    let first_frame =
        timeout(HELLO_TIMEOUT, wire::read_frame(&local_node.cluster, &mut read)).await.map_err(|_| timed_out())??;
    let Message::Hello { address } = &first_frame.message else { return Err(FrameError::Malformed) };
    let (id, incarnation, address) = (first_frame.sender, first_frame.incarnation, address.as_str().to_owned());
    if id == local_node.id {
        return Ok(());
    }
    let (sender, queue) = mpsc::channel::<Message>(QUEUE_CAPACITY);
    let connection_id = service.add_connection(id, incarnation, sender, dialled.clone(), address);
    let last_received = Cell::new(Instant::now());
    let reader = async {
        loop {
            let received = timeout(SILENCE_TIMEOUT, wire::read_frame(&local_node.cluster, &mut read))
                .await
                .map_err(|_| timed_out())??;
            if received.sender != id || received.incarnation != incarnation {
                return Err(FrameError::Malformed);
            }
            if !matches!(received.message, Message::Hello { .. }) {
                last_received.set(Instant::now());
                service.deliver(LinkEvent::Frame { from: id, incarnation, message: received.message }).await;
            }
        }
    };
    let idle = || !service.is_kept_open(dialled.as_ref()) && last_received.get().elapsed() >= IDLE_INTERVAL;
    let mut writer = pin!(write_queue(&local_node, &mut write, queue, idle));
    let mut reader = pin!(reader);
    let result = tokio::select! {
        end = &mut writer => match end {
            // Closed as idle: the other side may have sent something before it learned of the close.
            Ok(()) => {
                service.remove_connection(id, connection_id).await;
                timeout(DRAIN_TIMEOUT, reader).await.unwrap_or(Ok(()))
            }
            error => error,
        },
        end = &mut reader => match end {
            Err(FrameError::Connection(error)) if error.kind() == ErrorKind::UnexpectedEof => {
                service.remove_connection(id, connection_id).await;
                timeout(DRAIN_TIMEOUT, writer).await.unwrap_or(Ok(()))
            }
            end => end,
        },
    };
    service.remove_connection(id, connection_id).await;
    result
}

/// Writes queued messages; returns `Ok` once the link is idle, or its queue is closed and fully written.
async fn write_queue(
    local_node: &LocalNode,
    write: &mut BufWriter<OwnedWriteHalf>,
    mut queue: mpsc::Receiver<Message>,
    idle: impl Fn() -> bool,
) -> Result<(), FrameError> {
    loop {
        let message = match timeout(IDLE_INTERVAL, queue.recv()).await {
            Ok(Some(message)) => downgrade(message, local_node.format).map(|message| make_frame(local_node, message)),
            Ok(None) => break,
            Err(_) if idle() => break,
            Err(_) => Some(hello_frame(local_node)),
        };
        let send = async {
            if let Some(message) = message {
                wire::write_frame(write, &message).await?;
            }
            while let Ok(message) = queue.try_recv() {
                if let Some(message) = downgrade(message, local_node.format) {
                    wire::write_frame(write, &make_frame(local_node, message)).await?;
                }
            }
            write.flush().await?;
            Ok::<(), FrameError>(())
        };
        timeout(WRITE_TIMEOUT, send).await.map_err(|_| timed_out())??;
    }
    timeout(WRITE_TIMEOUT, write.shutdown()).await.map_err(|_| timed_out())??;
    Ok(())
}
