//! Frames on a byte stream: length, checksum, then the deku record. A frame of another cluster,
//! another format, a bad checksum or too great a length is a fault, after which the connection
//! is of no more use.

use crate::{ChainMessage, ForwardMessage, LeaseMessage, NodeId, PlanMessage, Text, from_bytes, to_bytes};
use deku::prelude::*;
use derive_more::{Display, Error, From};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The newest format.
pub const FORMAT: u16 = 9;
/// The oldest format that is still understood.
pub const OLDEST_FORMAT: u16 = 1;
/// The format that first told what a machine can carry, and in which owners heartbeat only whom they serve.
pub const CAPACITY_FORMAT: u16 = 4;
/// The format that first told how many attempts at a request its front grants.
pub const ATTEMPTS_FORMAT: u16 = 5;
/// The format in which a registry first announced that it is to stop.
pub const REGISTRY_LEAVING_FORMAT: u16 = 6;
/// The format that first told whose request is forwarded.
pub const CONSUMER_FORMAT: u16 = 7;
/// The format in which a claim first told how long its key is kept.
pub const KEY_WINDOW_FORMAT: u16 = 7;
/// The format in which routers first confirmed the membership to each other, beside the epoch.
pub const PEER_MEMBERSHIP_FORMAT: u16 = 8;
/// The format in which credits were first granted for the requests of limited consumers.
pub const CREDITS_FORMAT: u16 = 9;
/// A frame holds no more bytes than this.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// What a frame holds.
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
    /// The first frame on a connection: the address the sender is reached at.
    #[deku(id = "5")]
    Hello { address: Text },
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Frame {
    /// The format it is written in.
    pub format: u16,
    /// The cluster's name.
    pub cluster: Text,
    /// The sender.
    pub sender: NodeId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The message.
    pub message: Message,
}

/// Why a frame cannot be read or written; the connection is of no more use after it.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The connection failed.
    #[display("connection: {_0}")]
    #[from]
    Connection(std::io::Error),
    /// Its length is over the limit.
    #[display("frame of {_0} bytes is over the limit")]
    TooLong(#[error(not(source))] usize),
    /// Its checksum does not match.
    #[display("checksum does not match")]
    Checksum,
    /// It cannot be decoded.
    #[display("frame cannot be read")]
    Malformed,
    /// Its format is not understood.
    #[display("format {_0} is not spoken here")]
    Format(#[error(not(source))] u16),
    /// It is of another cluster.
    #[display("frame of another cluster, {_0}")]
    WrongCluster(#[error(not(source))] String),
}

/// A frame as it travels: length, checksum and record.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let record = to_bytes(frame);
    let mut bytes = Vec::with_capacity(record.len() + 8);
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&record).to_le_bytes());
    bytes.extend_from_slice(&record);
    bytes
}

/// Reads a record whose checksum is given.
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

/// Reads the next frame of a stream.
pub async fn read_frame<R: AsyncRead + Unpin>(cluster: &str, stream: &mut R) -> Result<Frame, FrameError> {
    let mut head = [0u8; 8];
    stream.read_exact(&mut head).await?;
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let checksum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(len));
    }
    let mut record = Vec::new();
    let got = (&mut *stream).take(len as u64).read_to_end(&mut record).await?;
    if got < len {
        return Err(FrameError::Connection(std::io::ErrorKind::UnexpectedEof.into()));
    }
    decode(cluster, checksum, &record)
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
