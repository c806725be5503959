//! Connection to an instance that carries one request at a time.

use crate::HttpDialect;
use crate::instance_request::InstanceRequest;
use crate::response::{BodyLength, ChunkedBody, MAX_HEAD_BYTES, ResponseHead, parse_response_head};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which unacknowledged data ends the connection: an instance whose machine is gone or cut off sends
/// nothing, not even an acknowledgement that it has received the task.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long to wait for surplus bytes after a response, if no request id tells whose bytes they are.
const SURPLUS_WAIT: Duration = Duration::from_millis(40);
/// Initial size of the read buffer.
const READ_BYTES: usize = 8 * 1024;

/// Guard that counts a connection as open while it exists.
pub(crate) struct OpenCount(Rc<Cell<u32>>);

impl OpenCount {
    pub fn new(count: &Rc<Cell<u32>>) -> OpenCount {
        count.set(count.get() + 1);
        OpenCount(count.clone())
    }

    /// Whether this guard belongs to the given counter.
    pub fn counts_in(&self, count: &Rc<Cell<u32>>) -> bool {
        Rc::ptr_eq(&self.0, count)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

pub(crate) struct Connection {
    stream: TcpStream,
    pub open_count: OpenCount,
    pub last_used: Instant,
}

pub(crate) struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// Reason why an exchange has no response.
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The instance may have run the request.
    InDoubt(String),
}

fn in_doubt<T>(detail: impl Into<String>) -> Result<T, ExchangeError> {
    Err(ExchangeError::InDoubt(detail.into()))
}

impl Connection {
    pub async fn open(address: &str, open_count: OpenCount) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        kernel::set_silence_timeout(&stream, ACKNOWLEDGEMENT_TIMEOUT)?;
        Ok(Connection { stream, open_count, last_used: Instant::now() })
    }

    /// Whether the connection is still open and has no unexpected bytes to read.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0u8; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete response to it.
    pub async fn exchange(
        &mut self,
        request: &InstanceRequest,
        dialect: &HttpDialect,
    ) -> Result<Response, ExchangeError> {
        let mut unsent = request.bytes.as_slice();
        while !unsent.is_empty() {
            match self.stream.write(unsent).await {
                Ok(written) if written > 0 => unsent = &unsent[written..],
                _ if unsent.len() == request.bytes.len() => return Err(ExchangeError::NotSent),
                // The instance may have answered before it closed the connection.
                _ => break,
            }
        }
        let mut bytes = Vec::with_capacity(READ_BYTES);
        let head = self.read_head(&mut bytes, request, dialect).await?;
        if let Some(encoding) = head.content_encoding.as_ref().filter(|encoding| !request.accepts_encoding(encoding)) {
            return in_doubt(format!("response encoded as {encoding}, which the request does not accept"));
        }
        let (body, end) = self.read_body(&mut bytes, &head).await?;
        let surplus = bytes.len() > end;
        if request.request_id.is_none() && (surplus || self.receives_more().await) {
            return in_doubt("surplus bytes after the end of the response");
        }
        let reusable = !surplus && !head.closes_connection && unsent.is_empty() && request.request_id.is_some();
        Ok(Response { head, body, reusable })
    }

    /// Reads response heads until the final one, which must echo the id of this request.
    async fn read_head(
        &mut self,
        bytes: &mut Vec<u8>,
        request: &InstanceRequest,
        dialect: &HttpDialect,
    ) -> Result<ResponseHead, ExchangeError> {
        loop {
            match parse_response_head(bytes, dialect, request.response_has_no_body) {
                Err(detail) => return in_doubt(detail),
                Ok(None) => self.read_more(bytes).await?,
                Ok(Some(ResponseHead { body_length: BodyLength::InterimResponse, head_bytes, .. })) => {
                    drop(bytes.drain(..head_bytes))
                }
                Ok(Some(head)) if request.request_id.is_some() && head.request_id != request.request_id => {
                    return in_doubt("response with another request id");
                }
                Ok(Some(head)) => return Ok(head),
            }
        }
    }

    /// Reads the body. Returns it with the position of its end in the buffer.
    async fn read_body(&mut self, bytes: &mut Vec<u8>, head: &ResponseHead) -> Result<(Vec<u8>, usize), ExchangeError> {
        if let BodyLength::Exactly(length) = head.body_length {
            let end = head.head_bytes + length;
            bytes.reserve(end.saturating_sub(bytes.len()));
            while bytes.len() < end {
                self.read_more(bytes).await?;
            }
            return Ok((bytes[head.head_bytes..end].to_vec(), end));
        }
        let mut chunks = ChunkedBody::new(head.head_bytes);
        loop {
            match chunks.decode(bytes) {
                Err(detail) => return in_doubt(detail),
                Ok(Some(end)) => return Ok((chunks.body, end)),
                Ok(None) => self.read_more(bytes).await?,
            }
        }
    }

    async fn read_more(&mut self, bytes: &mut Vec<u8>) -> Result<(), ExchangeError> {
        if bytes.capacity() == bytes.len() {
            bytes.reserve(READ_BYTES.max(bytes.len()).min(MAX_HEAD_BYTES));
        }
        match self.stream.read_buf(bytes).await {
            Ok(0) => in_doubt("connection closed before the end of the response"),
            Ok(_) => Ok(()),
            Err(error) => in_doubt(format!("connection failed before the end of the response: {error}")),
        }
    }

    async fn receives_more(&mut self) -> bool {
        let mut more = [0u8; 1];
        matches!(timeout(SURPLUS_WAIT, self.stream.read(&mut more)).await, Ok(Ok(1)))
    }
}
