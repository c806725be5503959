//! Frames on a byte stream: length, checksum, then the deku record. A frame of another cluster,
//! another format, a bad checksum or too great a length is a fault, after which the connection
//! is of no more use.

use crate::{ChainMessage, ForwardMessage, LeaseMessage, NodeId, PlanMessage, Text, from_bytes, to_bytes};
use deku::prelude::*;
use derive_more::{Display, Error, From};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The newest format spoken, and the oldest still understood.
pub const FORMAT: u16 = 5;
pub const OLDEST: u16 = 1;
/// The format that first told what a machine can carry, and in which owners heartbeat only whom they serve.
pub const CAPACITY: u16 = 4;
/// The format that first told how many attempts at a request its front grants.
pub const ATTEMPTS: u16 = 5;
pub const LIMIT: usize = 8 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Message {
    #[deku(id = "1")]
    Chain(ChainMessage),
    #[deku(id = "2")]
    Lease(LeaseMessage),
    #[deku(id = "3")]
    Forward(ForwardMessage),
    #[deku(id = "4")]
    Plan(PlanMessage),
    #[deku(id = "5")]
    Hello { address: Text },
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Frame {
    pub format: u16,
    pub cluster: Text,
    pub sender: NodeId,
    pub incarnation: u64,
    pub message: Message,
}

#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    #[display("connection: {_0}")]
    #[from]
    Connection(std::io::Error),
    #[display("frame of {_0} bytes is over the limit")]
    TooLong(#[error(not(source))] usize),
    #[display("checksum does not match")]
    Checksum,
    #[display("frame cannot be read")]
    Malformed,
    #[display("format {_0} is not spoken here")]
    Format(#[error(not(source))] u16),
    #[display("frame of another cluster, {_0}")]
    Foreign(#[error(not(source))] String),
}

pub fn encode(frame: &Frame) -> Vec<u8> {
    let record = to_bytes(frame);
    let mut bytes = Vec::with_capacity(record.len() + 8);
    bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&record).to_le_bytes());
    bytes.extend_from_slice(&record);
    bytes
}

pub fn decode(cluster: &str, checksum: u32, record: &[u8]) -> Result<Frame, FrameError> {
    if crc32fast::hash(record) != checksum {
        return Err(FrameError::Checksum);
    }
    let format = record.get(..2).map(|b| u16::from_le_bytes([b[0], b[1]])).ok_or(FrameError::Malformed)?;
    if !(OLDEST..=FORMAT).contains(&format) {
        return Err(FrameError::Format(format));
    }
    let frame: Frame = from_bytes(record).ok_or(FrameError::Malformed)?;
    if frame.cluster.as_str() != cluster {
        return Err(FrameError::Foreign(frame.cluster.as_str().chars().take(64).collect()));
    }
    Ok(frame)
}

pub async fn read_frame<R: AsyncRead + Unpin>(cluster: &str, stream: &mut R) -> Result<Frame, FrameError> {
    let mut head = [0u8; 8];
    stream.read_exact(&mut head).await?;
    let len = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let checksum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if len > LIMIT {
        return Err(FrameError::TooLong(len));
    }
    let mut record = Vec::new();
    let got = (&mut *stream).take(len as u64).read_to_end(&mut record).await?;
    if got < len {
        return Err(FrameError::Connection(std::io::ErrorKind::UnexpectedEof.into()));
    }
    decode(cluster, checksum, &record)
}

pub async fn write_frame<W: AsyncWrite + Unpin>(stream: &mut W, frame: &Frame) -> Result<(), FrameError> {
    let bytes = encode(frame);
    if bytes.len() > LIMIT {
        return Err(FrameError::TooLong(bytes.len()));
    }
    stream.write_all(&bytes).await?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame() -> Frame {
        let message = Message::Chain(ChainMessage::Heartbeat { view: 3, round: 9, unhealthy: 0 });
        Frame { format: FORMAT, cluster: "posta".into(), sender: 7, incarnation: 2, message }
    }

    #[test]
    fn a_frame_comes_back_as_it_went_and_a_flipped_bit_never_passes() {
        let bytes = encode(&frame());
        let checksum = u32::from_le_bytes(bytes[4..8].try_into().unwrap());
        assert_eq!(decode("posta", checksum, &bytes[8..]).unwrap(), frame());
        for place in 8..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[place] ^= 0x10;
            assert!(decode("posta", checksum, &damaged[8..]).is_err());
        }
        assert!(matches!(decode("pixel", checksum, &bytes[8..]), Err(FrameError::Foreign(_))));
        let later = encode(&Frame { format: FORMAT + 1, ..frame() });
        let checksum = u32::from_le_bytes(later[4..8].try_into().unwrap());
        assert!(matches!(decode("posta", checksum, &later[8..]), Err(FrameError::Format(_))));
    }

    #[test]
    fn a_length_that_lies_is_refused_without_allocating_for_it() {
        let mut record = to_bytes(&frame());
        // The length of the cluster's name, which follows the two bytes of the format.
        let lie = 2 + record[2..].iter().position(|b| *b == 5).unwrap();
        record[lie..lie + 4].copy_from_slice(&u32::MAX.to_le_bytes());
        assert!(matches!(decode("posta", crc32fast::hash(&record), &record), Err(FrameError::Malformed)));
    }
}
