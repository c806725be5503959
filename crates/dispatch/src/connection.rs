//! One connection to an instance, with one request at a time on it.

use crate::Words;
use crate::answer::{Chunks, HEAD_BYTES, Length, Start, read_start};
use crate::instance_request::InstanceRequest;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long bytes after an answer are waited for, where no id tells whose they are.
/// An instance whose machine is gone or cut off says nothing, and was not heard to have taken the task.
const PATIENCE: Duration = Duration::from_millis(2000);
const AFTER: Duration = Duration::from_millis(40);
const READ: usize = 8 * 1024;

/// Counts a connection as open for as long as it lives.
pub(crate) struct Open(Rc<Cell<u32>>);

impl Open {
    pub fn new(count: &Rc<Cell<u32>>) -> Open {
        count.set(count.get() + 1);
        Open(count.clone())
    }

    pub fn is_of(&self, count: &Rc<Cell<u32>>) -> bool {
        Rc::ptr_eq(&self.0, count)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

pub(crate) struct Connection {
    stream: TcpStream,
    pub open: Open,
    pub used: Instant,
}

pub(crate) struct Answer {
    pub start: Start,
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

pub(crate) enum Broken {
    /// Not a byte left.
    Unsent,
    Doubt(String),
}

fn doubt<T>(detail: impl Into<String>) -> Result<T, Broken> {
    Err(Broken::Doubt(detail.into()))
}

impl Connection {
    pub async fn open(address: &str, open: Open) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        kernel::give_up_after(&stream, PATIENCE)?;
        Ok(Connection { stream, open, used: Instant::now() })
    }

    /// Neither closed nor with bytes on it that nobody asked for.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0u8; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    pub async fn exchange(&mut self, request: &InstanceRequest, words: &Words) -> Result<Answer, Broken> {
        let mut left = request.bytes.as_slice();
        while !left.is_empty() {
            match self.stream.write(left).await {
                Ok(written) if written > 0 => left = &left[written..],
                _ if left.len() == request.bytes.len() => return Err(Broken::Unsent),
                // It may have answered before it closed.
                _ => break,
            }
        }
        let mut bytes = Vec::with_capacity(READ);
        let start = self.start(&mut bytes, request, words).await?;
        if let Some(coding) = start.coding.as_ref().filter(|coding| !request.takes(coding)) {
            return doubt(format!("encoded as {coding}, which nobody asked for"));
        }
        let (body, end) = self.body(&mut bytes, &start).await?;
        let surplus = bytes.len() > end;
        if request.id.is_none() && (surplus || self.more_comes().await) {
            return doubt("bytes after the answer's declared end");
        }
        let reusable = !surplus && !start.close && left.is_empty() && request.id.is_some();
        Ok(Answer { start, body, reusable })
    }

    /// The head of the answer to this request and to no other.
    async fn start(&mut self, bytes: &mut Vec<u8>, request: &InstanceRequest, words: &Words) -> Result<Start, Broken> {
        loop {
            match read_start(bytes, words, request.bare) {
                Err(detail) => return doubt(detail),
                Ok(None) => self.read(bytes).await?,
                Ok(Some(Start { length: Length::Interim, size, .. })) => drop(bytes.drain(..size)),
                Ok(Some(start)) if request.id.is_some() && start.id != request.id => {
                    return doubt("an answer to another request");
                }
                Ok(Some(start)) => return Ok(start),
            }
        }
    }

    /// The body and the place where it ends.
    async fn body(&mut self, bytes: &mut Vec<u8>, start: &Start) -> Result<(Vec<u8>, usize), Broken> {
        if let Length::Exactly(length) = start.length {
            let end = start.size + length;
            bytes.reserve(end.saturating_sub(bytes.len()));
            while bytes.len() < end {
                self.read(bytes).await?;
            }
            return Ok((bytes[start.size..end].to_vec(), end));
        }
        let mut chunks = Chunks::new(start.size);
        loop {
            match chunks.take(bytes) {
                Err(detail) => return doubt(detail),
                Ok(Some(end)) => return Ok((chunks.body, end)),
                Ok(None) => self.read(bytes).await?,
            }
        }
    }

    async fn read(&mut self, bytes: &mut Vec<u8>) -> Result<(), Broken> {
        if bytes.capacity() == bytes.len() {
            bytes.reserve(READ.max(bytes.len()).min(HEAD_BYTES));
        }
        match self.stream.read_buf(bytes).await {
            Ok(0) => doubt("closed before the answer's end"),
            Ok(_) => Ok(()),
            Err(error) => doubt(format!("no whole answer: {error}")),
        }
    }

    async fn more_comes(&mut self) -> bool {
        let mut more = [0u8; 1];
        matches!(timeout(AFTER, self.stream.read(&mut more)).await, Ok(Ok(1)))
    }
}
