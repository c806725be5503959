//! Connection to an instance that carries one request at a time.

use crate::HttpDialect;
use crate::answer_memory::{AnswerMemory, UNRESERVED_ANSWER_BYTES};
use crate::chunked_body::ChunkedBody;
use crate::instance_request::InstanceRequest;
use crate::open_count::OpenCount;
use crate::response::{BodyLength, MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseHead, parse_response_head};
use crate::sent_requests::SentRequests;
use bytes::Bytes;
use std::io;
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

pub(crate) struct Connection {
    stream: TcpStream,
    pub open_count: OpenCount,
    pub last_used: Instant,
    sent_requests: SentRequests,
}

pub(crate) struct Response {
    pub head: ResponseHead,
    pub body: Bytes,
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

fn answer_too_large() -> ExchangeError {
    ExchangeError::InDoubt("response larger than the memory for responses".into())
}

fn in_doubt<T>(detail: impl Into<String>) -> Result<T, ExchangeError> {
    Err(ExchangeError::InDoubt(detail.into()))
}

impl Connection {
    pub async fn open(address: &str, open_count: OpenCount) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        kernel::set_silence_timeout(&stream, ACKNOWLEDGEMENT_TIMEOUT)?;
        Ok(Connection { stream, open_count, last_used: Instant::now(), sent_requests: SentRequests::default() })
    }

    /// Whether the connection has carried a request with this id, so that a late copy of its response may still come.
    pub fn has_carried(&self, request_id: &[u8]) -> bool {
        self.sent_requests.contains(request_id)
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
        memory: &AnswerMemory,
    ) -> Result<Response, ExchangeError> {
        request.request_id.iter().for_each(|id| self.sent_requests.insert(id));
        let is_sent = self.send(request).await?;
        let mut bytes = Vec::with_capacity(READ_BYTES);
        let head = self.read_head(&mut bytes, request, dialect).await?;
        if let Some(encoding) = head.content_encoding.as_ref().filter(|encoding| !request.accepts_encoding(encoding)) {
            return in_doubt(format!("response encoded as {encoding}, which the request does not accept"));
        }
        drop(bytes.drain(..head.head_bytes));
        let (body, surplus) = self.read_body(bytes, &head, memory).await?;
        if request.request_id.is_none() && (surplus || self.receives_more().await) {
            return in_doubt("surplus bytes after the end of the response");
        }
        let keeps_matching = request.request_id.is_some() && !self.sent_requests.is_full();
        let reusable = !surplus && !head.closes_connection && is_sent && keeps_matching;
        Ok(Response { head, body, reusable })
    }

    /// Sends a request. Returns whether all of it was sent: the instance may answer before it closes the connection.
    async fn send(&mut self, request: &InstanceRequest) -> Result<bool, ExchangeError> {
        let mut has_sent = false;
        for mut unsent in [request.bytes.as_slice(), &request.large_body] {
            while !unsent.is_empty() {
                match self.stream.write(unsent).await {
                    Ok(written) if written > 0 => unsent = &unsent[written..],
                    _ if !has_sent => return Err(ExchangeError::NotSent),
                    _ => return Ok(false),
                }
                has_sent = true;
            }
        }
        Ok(true)
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

    /// Reads the body, of which `bytes` is the beginning. Returns it, and whether more bytes followed it.
    async fn read_body(
        &mut self,
        bytes: Vec<u8>,
        head: &ResponseHead,
        memory: &AnswerMemory,
    ) -> Result<(Bytes, bool), ExchangeError> {
        match head.body_length {
            BodyLength::Exactly(length) => self.read_exactly(bytes, length, memory).await,
            BodyLength::Chunked | BodyLength::InterimResponse => self.read_chunks(bytes, memory).await,
        }
    }

    async fn read_exactly(
        &mut self,
        mut bytes: Vec<u8>,
        length: usize,
        memory: &AnswerMemory,
    ) -> Result<(Bytes, bool), ExchangeError> {
        let reservation = match length > UNRESERVED_ANSWER_BYTES {
            true => Some(memory.reserve(length).await.ok_or_else(answer_too_large)?),
            false => None,
        };
        bytes.reserve_exact(length.saturating_sub(bytes.len()));
        while bytes.len() < length {
            self.read_more(&mut bytes).await?;
        }
        let has_surplus = bytes.len() > length;
        bytes.truncate(length);
        let body = match reservation {
            Some(reservation) => reservation.attach_to(bytes),
            None => bytes.into(),
        };
        Ok((body, has_surplus))
    }

    async fn read_chunks(&mut self, mut bytes: Vec<u8>, memory: &AnswerMemory) -> Result<(Bytes, bool), ExchangeError> {
        let mut chunks = ChunkedBody::default();
        let mut reservation = None;
        while !chunks.decode(&mut bytes).map_err(|detail| ExchangeError::InDoubt(detail.into()))? {
            if chunks.body.len() > UNRESERVED_ANSWER_BYTES && reservation.is_none() {
                // Its length is not known before its end.
                reservation = Some(memory.reserve(MAX_BODY_BYTES).await.ok_or_else(answer_too_large)?);
            }
            self.read_more(&mut bytes).await?;
        }
        let body = match reservation {
            Some(mut reservation) => {
                reservation.shrink_to(chunks.body.capacity());
                reservation.attach_to(chunks.body)
            }
            None => chunks.body.into(),
        };
        Ok((body, !bytes.is_empty()))
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
