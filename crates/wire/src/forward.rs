//! What routers say to each other about tasks: forwarding one to its function's owner, the whole
//! answer on the way back, and the table a leaving owner hands to its successor.

use crate::{
    Blob, ForwardRequest, InventoryChange, List, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaReport,
    QuotaRequest, QuotaTotals, Text,
};
use deku::prelude::*;

/// What may be believed about a request that is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Outcome {
    /// An instance ran it, and this is its complete answer.
    #[deku(id = "1")]
    Answered,
    /// It has not run and never will.
    #[deku(id = "2")]
    NotRun,
    /// It may have run.
    #[deku(id = "3")]
    Unknown,
    /// It is stored, and runs later.
    #[deku(id = "4")]
    Accepted,
}

impl Outcome {
    /// The word for it in headers and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Accepted => "accepted",
        }
    }
}

/// An instance of a function and how many requests it has in flight.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceSlots {
    pub instance: Text,
    pub address: Text,
    pub ready: u8,
    pub busy: u32,
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct HeaderField {
    pub name: Text,
    pub value: Blob,
}

/// Method, target and headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct RequestHead {
    pub method: Text,
    pub target: Text,
    pub headers: List<HeaderField>,
}

/// An answer's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct AnswerHead {
    pub headers: List<HeaderField>,
}

/// An answer as it is stored under a run-once key.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredAnswer {
    pub outcome: Outcome,
    pub status: u16,
    /// Method, target and headers.
    pub head: Blob,
    /// The body.
    pub body: Blob,
}

/// A deferred request as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredRequest {
    /// The binding that its route led to.
    pub binding: Text,
    /// Method, target and headers.
    pub head: Blob,
    /// The body.
    pub body: Blob,
}

/// What an owner knows of one function: handed over to the next owner, or kept by the router that would
/// be owner next (`is_standby_copy`). `started` names stored tasks that were sent at least once and are not done;
/// without `is_started_complete` there were more.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OwnershipTable {
    /// Tenant and name.
    pub function: Text,
    /// The membership by which the sender was the owner.
    pub membership: u64,
    pub is_standby_copy: u8,
    /// Its instances.
    pub slots: List<InstanceSlots>,
    /// Requests in the retry budget's window.
    pub requests: u32,
    /// Retries in that window.
    pub retries: u32,
    /// Rejections by instances lately.
    pub rejections: u32,
    pub started: List<Text>,
    pub is_started_complete: u8,
}

/// What routers say to each other about requests. `task` is the front's number of a request.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ForwardMessage {
    /// As `Forward`, by a front that does not count attempts (before format 5).
    #[deku(id = "1")]
    ForwardUncounted {
        task: u64,
        function: Text,
        binding: Text,
        left_ms: u32,
        resends: u8,
        respond_async: u8,
        key: Text,
        head: Blob,
        body: Blob,
    },
    /// As `Answer`, with the time to come back in seconds (before format 3).
    #[deku(id = "2")]
    AnswerInSeconds { task: u64, outcome: Outcome, status: u16, retry_after: u32, head: Blob, body: Blob },
    /// The receiver is not the function's owner, and the request was sent nowhere.
    #[deku(id = "3")]
    NotOwner { task: u64 },
    /// As `Table`, in format 1.
    #[deku(id = "4")]
    Handover { function: Text, membership: u64, slots: List<InstanceSlots>, requests: u32, retries: u32 },
    /// Asks the owner of another function to free memory.
    #[deku(id = "5")]
    Preempt { function: Text, memory_mb: u32 },
    /// The sender lives, and owns what it owned.
    #[deku(id = "6")]
    Heartbeat,
    /// What an owner knows of a function.
    #[deku(id = "7")]
    OwnershipTable { table: OwnershipTable },
    /// `AnswerInSeconds` with the time to come back in milliseconds.
    #[deku(id = "8")]
    Answer { task: u64, outcome: Outcome, status: u16, retry_after_ms: u32, head: Blob, body: Blob },
    /// Asks an owner to send a heartbeat.
    #[deku(id = "9")]
    HeartbeatRequest,
    /// Changes of the provider's list, from the owner that reads it.
    #[deku(id = "10")]
    Inventory { inventory: InventoryChange },
    /// Asks for the inventory whole.
    #[deku(id = "11")]
    InventoryRequest,
    /// `ForwardUncounted` with the attempts that the front grants.
    #[deku(id = "12")]
    Forward { request: Box<ForwardRequest> },
    /// An owner asks a front for so many attempts in all at what was forwarded under this number.
    #[deku(id = "13")]
    AttemptRequest { task: u64, attempts: u32 },
    /// The attempts granted in all at what was forwarded under this number, whether or not more were asked for.
    #[deku(id = "14")]
    AttemptGrant { task: u64, attempts: u32 },
    /// `NotOwner` for what was sent to so many instances, none of which ran it.
    #[deku(id = "15")]
    Returned { task: u64, attempts: u32 },
    /// `Forward` of a consumer's request, by tenant and name.
    #[deku(id = "16")]
    ForwardForConsumer { request: Box<ForwardRequest>, consumer: Text },
    /// A front's counts of what consumers used, to the router that added them up (formats 7 and 8).
    #[deku(id = "17")]
    QuotaReport { report: QuotaReport },
    /// The answer to it: where consumers stood over all routers (formats 7 and 8).
    #[deku(id = "18")]
    QuotaTotals { totals: QuotaTotals },
    /// A front asks a granter for credits of a consumer.
    #[deku(id = "19")]
    QuotaRequest { request: QuotaRequest },
    /// The answer to it.
    #[deku(id = "20")]
    QuotaGrant { grant: QuotaGrant },
    /// A granter asks another router by which membership it divides limits.
    #[deku(id = "21")]
    QuotaGrantersQuery { query: QuotaGrantersQuery },
    /// The answer to it.
    #[deku(id = "22")]
    QuotaGrantersReply { reply: QuotaGrantersReply },
}

impl ForwardMessage {
    /// Whether it is meant for the receiver's owner; if not, it is for the receiver's front.
    pub fn is_for_owner(&self) -> bool {
        !matches!(
            self,
            ForwardMessage::Answer { .. }
                | ForwardMessage::AnswerInSeconds { .. }
                | ForwardMessage::NotOwner { .. }
                | ForwardMessage::Returned { .. }
                | ForwardMessage::AttemptRequest { .. }
                | ForwardMessage::Heartbeat
                | ForwardMessage::QuotaReport { .. }
                | ForwardMessage::QuotaTotals { .. }
                | ForwardMessage::QuotaRequest { .. }
                | ForwardMessage::QuotaGrant { .. }
                | ForwardMessage::QuotaGrantersQuery { .. }
                | ForwardMessage::QuotaGrantersReply { .. }
        )
    }
}
