//! Frames on a byte stream: length, checksum, then the deku record. A frame that is too long, has a wrong checksum,
//! an unsupported format or another cluster's name is an error, after which the connection can't be used any more.

use crate::{ChainMessage, ForwardMessage, LeaseMessage, NodeId, PlanMessage, Text, from_bytes, to_bytes};
use deku::prelude::*;
use derive_more::{Display, Error, From};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Newest supported format.
pub const FORMAT: u16 = 9;
/// Oldest supported format.
pub const OLDEST_FORMAT: u16 = 1;
/// First format that reports the capacity of machines, and in which owners send heartbeats only to the routers that
/// they serve.
pub const CAPACITY_FORMAT: u16 = 4;
/// First format in which a front tells the owner how many attempts it grants for a request.
pub const ATTEMPTS_FORMAT: u16 = 5;
/// First format in which a registry announces that it is about to stop.
pub const REGISTRY_LEAVING_FORMAT: u16 = 6;
/// First format in which a forwarded request names its consumer.
pub const CONSUMER_FORMAT: u16 = 7;
/// First format in which a claim specifies how long its key is kept.
pub const KEY_WINDOW_FORMAT: u16 = 7;
/// First format in which routers confirm the membership to each other, in addition to the epoch.
pub const PEER_MEMBERSHIP_FORMAT: u16 = 8;
/// First format with credits for the requests of rate-limited consumers.
pub const CREDITS_FORMAT: u16 = 9;
/// Maximum number of bytes in a frame.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Size of the buffer for a record before more of it has arrived.
const MIN_RECORD_BUFFER_BYTES: usize = 64 * 1024;

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Message {
    /// Between registries.
    #[deku(id = "1")]
    Chain(ChainMessage),
    /// Between routers and registries.
    #[deku(id = "2")]
    Lease(LeaseMessage),
    /// Between routers.
    #[deku(id = "3")]
    Forward(ForwardMessage),
    /// Between owners and the optimizer's host.
    #[deku(id = "4")]
    Plan(PlanMessage),
    /// First frame on a connection: the address at which the sender can be reached.
    #[deku(id = "5")]
    Hello { address: Text },
}

/// Message with its format, cluster and sender.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Frame {
    /// Format in which the frame is encoded.
    pub format: u16,
    /// Name of the cluster.
    pub cluster: Text,
    /// Id of the sender.
    pub sender: NodeId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Content of the frame.
    pub message: Message,
}

/// Reason why a frame can't be read or written. The connection can't be used after it.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    #[from]
    Connection(std::io::Error),
    /// The frame is longer than `MAX_FRAME_BYTES`.
    #[display("frame of {_0} bytes exceeds the limit")]
    TooLong(#[error(not(source))] usize),
    /// The checksum does not match the record.
    #[display("checksum does not match")]
    Checksum,
    /// The record can't be decoded.
    #[display("frame is malformed")]
    Malformed,
    /// The format is not supported.
    #[display("format {_0} is not supported")]
    Format(#[error(not(source))] u16),
    /// The frame belongs to another cluster.
    #[display("frame belongs to another cluster: {_0}")]
    WrongCluster(#[error(not(source))] String),
}

/// Encodes a frame as length, checksum and record.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let record = to_bytes(frame);
    let mut bytes = Vec::with_capacity(record.len() + 8);
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&record).to_le_bytes());
    bytes.extend_from_slice(&record);
    bytes
}

/// Decodes a record after checking its checksum, format and cluster.
pub fn decode(cluster: &str, checksum: u32, record: &[u8]) -> Result<Frame, FrameError> {
    if crc32fast::hash(record) != checksum {
        return Err(FrameError::Checksum);
    }
    let format = record.get(..2).map(|b| u16::from_le_bytes([b[0], b[1]])).ok_or(FrameError::Malformed)?;
    if !(OLDEST_FORMAT..=FORMAT).contains(&format) {
        return Err(FrameError::Format(format));
    }
    let frame: Frame = from_bytes(record).ok_or(FrameError::Malformed)?;
    if frame.cluster.as_str() != cluster {
        return Err(FrameError::WrongCluster(frame.cluster.as_str().chars().take(64).collect()));
    }
    Ok(frame)
}

/// Reads the next frame from a stream.
pub async fn read_frame<R: AsyncRead + Unpin>(cluster: &str, stream: &mut R) -> Result<Frame, FrameError> {
    let mut header = [0u8; 8];
    stream.read_exact(&mut header).await?;
    let len = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(len));
    }
    let record = read_record(stream, len).await?;
    decode(cluster, checksum, &record)
}

/// Reads `len` bytes. The buffer grows with what has arrived, so that a false length allocates little, but never exceeds
/// the length.
async fn read_record<R: AsyncRead + Unpin>(stream: &mut R, len: usize) -> Result<Vec<u8>, FrameError> {
    let mut record = Vec::new();
    while record.len() < len {
        let step = (len - record.len()).min(MIN_RECORD_BUFFER_BYTES.max(record.len()));
        record.reserve_exact(step);
        let mut part = (&mut *stream).take(step as u64);
        while part.limit() > 0 {
            if part.read_buf(&mut record).await? == 0 {
                return Err(FrameError::Connection(std::io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
    Ok(record)
}

/// Writes a frame to a stream.
pub async fn write_frame<W: AsyncWrite + Unpin>(stream: &mut W, frame: &Frame) -> Result<(), FrameError> {
    let bytes = encode(frame);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(bytes.len()));
    }
    stream.write_all(&bytes).await?;
    Ok(())
}
