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

pub use chain::{ChainMessage, EntryLine, OpNo, PairLine, Seat, View};
pub use codec::{
    ATTEMPTS, CAPACITY, FORMAT, Frame, FrameError, LIMIT, Message, OLDEST, decode, encode, read_frame, write_frame,
};
pub use forward::{
    AnswerHead, ForwardMessage, ForwardRequest, HeaderLine, HomeTable, InventoryChange, Outcome, RequestHead, SlotLine,
    StockLine, StoredAnswer, StoredTask, WorkerRecord,
};
pub use lease::{ItemLine, LeaseMessage, ProofAge, StepLine};
pub use ledger::{Capacity, ClaimRecord, ClaimState, Command, DeferredRecord, OpRecord, Receipt};
pub use packed::{Packed, pack, unpack};
pub use parts::{Blob, List, Text, from_bytes, to_bytes};
pub use plan::{MeasureLine, PlanMessage, SampleLine, TunedLine};
pub use spoken::spoken;

pub type NodeId = u64;
