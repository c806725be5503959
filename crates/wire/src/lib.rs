//! The one language heronlink's processes speak among themselves: deku frames with a length,
//! a checksum, a format number, the cluster's name and the sender's identity. Every list and
//! byte string inside a frame is bounded before anything is allocated for it.

mod chain;
mod codec;
mod forward;
mod lease;
mod ledger;
mod packed;
mod parts;
mod plan;
mod spoken;

pub use chain::{ChainMessage, KeyValue, LogEntry, NodeAddress, ProposalId, View};
pub use codec::{
    ATTEMPTS, CAPACITY, FORMAT, Frame, FrameError, LIMIT, Message, OLDEST, decode, encode, read_frame, write_frame,
};
pub use forward::{
    AnswerHead, ForwardMessage, ForwardRequest, HeaderField, InstanceRecord, InstanceSlots, InventoryChange, Outcome,
    OwnershipTable, RequestHead, StoredAnswer, StoredTask, WorkerRecord,
};
pub use lease::{ConfigurationEpoch, ConfigurationItem, LeaseMessage, ProofAge};
pub use ledger::{Capacity, ClaimRecord, ClaimState, Command, CommandReply, DeferredRecord, OpRecord};
pub use packed::{Packed, pack, unpack};
pub use parts::{Blob, List, Text, from_bytes, to_bytes};
pub use plan::{DemandSample, Measurement, PlanMessage, TunedParameters};
pub use spoken::spoken;

pub type NodeId = u64;
