//! The protocol between heronlink's own processes: deku frames with a length, a checksum, a format number,
//! the cluster's name and the sender's identity. The length of every list and byte string in a frame is checked
//! against a limit before memory is allocated for it.

mod chain;
mod codec;
mod commands;
mod compression;
mod downgrade;
mod forward;
mod forward_request;
mod inventory;
mod lease;
mod plan;
mod primitives;
mod quota;

pub use chain::{ChainMessage, KeyValue, LogEntry, NodeAddress, ProposalId, View};
pub use codec::{
    ATTEMPTS_FORMAT, CAPACITY_FORMAT, CONSUMER_FORMAT, FORMAT, Frame, FrameError, KEY_WINDOW_FORMAT, MAX_FRAME_BYTES,
    Message, OLDEST_FORMAT, decode, encode, read_frame, write_frame,
};
pub use commands::{Capacity, ClaimRecord, ClaimState, Command, CommandReply, DeferredRecord, OpRecord};
pub use compression::{Compressed, compress, decompress};
pub use downgrade::downgrade;
pub use forward::{
    AnswerHead, ForwardMessage, HeaderField, InstanceSlots, Outcome, OwnershipTable, RequestHead, StoredAnswer,
    StoredRequest,
};
pub use forward_request::ForwardRequest;
pub use inventory::{InstanceRecord, InventoryChange, WorkerRecord};
pub use lease::{ConfigurationEpoch, ConfigurationItem, LeaseMessage, ProofAge};
pub use plan::{DemandSample, Measurement, PlanMessage, TunedParameters};
pub use primitives::{Blob, List, Text, from_bytes, to_bytes};
pub use quota::{
    QuotaCount, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaReport, QuotaRequest, QuotaTotal, QuotaTotals,
};

/// Randomly chosen identifier of a registry or a router.
pub type NodeId = u64;
