//! Messages between routers about requests: forwarding a request to its function's owner, returning the complete
//! answer, handing an owner's state over to the next owner, and credits for rate-limited consumers.

use crate::{
    Blob, ForwardRequest, InventoryChange, List, QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaReport,
    QuotaRequest, QuotaTotals, Text,
};
use deku::prelude::*;

/// What is known about the execution of a request that is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Outcome {
    /// An instance ran the request, and this is its complete answer.
    #[deku(id = "1")]
    Answered,
    /// The request has not run and never will.
    #[deku(id = "2")]
    NotRun,
    /// The request may have run.
    #[deku(id = "3")]
    Unknown,
    /// The request is stored and runs later.
    #[deku(id = "4")]
    Accepted,
}

impl Outcome {
    /// Returns the outcome's name in headers and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Accepted => "accepted",
        }
    }
}

/// Instance of a function and its number of requests in flight.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceSlots {
    /// Id of the instance.
    pub instance: Text,
    /// Address at which the instance takes requests.
    pub address: Text,
    /// Not 0 if the instance is ready.
    pub ready: u8,
    /// Number of requests in flight.
    pub busy: u32,
}

/// HTTP header field.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct HeaderField {
    /// Name of the field.
    pub name: Text,
    /// Value of the field.
    pub value: Blob,
}

/// Head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct RequestHead {
    /// HTTP method.
    pub method: Text,
    /// Request target.
    pub target: Text,
    /// Header fields.
    pub headers: List<HeaderField>,
}

/// Head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct AnswerHead {
    /// Header fields.
    pub headers: List<HeaderField>,
}

/// Answer that is stored under a run-once key.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredAnswer {
    /// What is known about the request's execution.
    pub outcome: Outcome,
    /// HTTP status.
    pub status: u16,
    /// Encoded `AnswerHead`.
    pub head: Blob,
    /// Body of the answer.
    pub body: Blob,
}

/// Deferred request that is stored.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredRequest {
    /// Name of the binding that the route belongs to.
    pub binding: Text,
    /// Encoded `RequestHead`.
    pub head: Blob,
    /// Body of the request.
    pub body: Blob,
}

/// An owner's state of one function, handed over to the next owner or, as a standby copy, kept by the router that would
/// become the next owner. `started` lists stored requests that were sent at least once and have no answer yet; it is
/// incomplete if `is_started_complete` is 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OwnershipTable {
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Number of the membership in which the sender was the owner.
    pub membership: u64,
    /// Not 0 if the table is a standby copy.
    pub is_standby_copy: u8,
    /// Instances of the function.
    pub slots: List<InstanceSlots>,
    /// Number of requests in the retry budget's window.
    pub requests: u32,
    /// Number of retries in that window.
    pub retries: u32,
    /// Number of recent rejections by instances.
    pub rejections: u32,
    /// Ids of stored requests that were sent and have no answer yet.
    pub started: List<Text>,
    /// Not 0 if `started` is complete.
    pub is_started_complete: u8,
}

/// Message between routers. `task` is the front's number of a request.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ForwardMessage {
    /// As `Forward`, from a front that doesn't count attempts (before format 5).
    #[deku(id = "1")]
    ForwardUncounted {
        task: u64,
        function: Text,
        binding: Text,
        remaining_ms: u32,
        resends: u8,
        respond_async: u8,
        key: Text,
        head: Blob,
        body: Blob,
    },
    /// As `Answer`, with the retry delay in seconds (before format 3).
    #[deku(id = "2")]
    AnswerInSeconds { task: u64, outcome: Outcome, status: u16, retry_after: u32, head: Blob, body: Blob },
    /// The answering router is not the function's owner and has not sent the request to an instance.
    #[deku(id = "3")]
    NotOwner { task: u64 },
    /// As `OwnershipTable`, in format 1.
    #[deku(id = "4")]
    Handover { function: Text, membership: u64, slots: List<InstanceSlots>, requests: u32, retries: u32 },
    /// Asks the owner of another function to free memory.
    #[deku(id = "5")]
    Preempt { function: Text, memory_mb: u32 },
    /// The sender is alive and still owns its functions.
    #[deku(id = "6")]
    Heartbeat,
    /// An owner's state of a function.
    #[deku(id = "7")]
    OwnershipTable { table: OwnershipTable },
    /// Complete answer to a forwarded request, with the retry delay in milliseconds.
    #[deku(id = "8")]
    Answer { task: u64, outcome: Outcome, status: u16, retry_after_ms: u32, head: Blob, body: Blob },
    /// Asks an owner to send a heartbeat.
    #[deku(id = "9")]
    HeartbeatRequest,
    /// Changes of the provider's list, from the owner that reads the list.
    #[deku(id = "10")]
    Inventory { inventory: InventoryChange },
    /// Requests the complete inventory.
    #[deku(id = "11")]
    InventoryRequest,
    /// Forwards a request, with the number of attempts that the front grants.
    #[deku(id = "12")]
    Forward { request: Box<ForwardRequest> },
    /// An owner asks a front for a total number of attempts for a request.
    #[deku(id = "13")]
    AttemptRequest { task: u64, attempts: u32 },
    /// The total number of attempts granted for a request, whether or not more were requested.
    #[deku(id = "14")]
    AttemptGrant { task: u64, attempts: u32 },
    /// As `NotOwner`, for a request that was sent to this many instances, none of which ran it.
    #[deku(id = "15")]
    Returned { task: u64, attempts: u32 },
    /// As `Forward`, with the name of the request's consumer as `tenant/name`.
    #[deku(id = "16")]
    ForwardForConsumer { request: Box<ForwardRequest>, consumer: Text },
    /// A front's counts of consumer usage, to the router that adds them up (formats 7 and 8).
    #[deku(id = "17")]
    QuotaReport { report: QuotaReport },
    /// Answer to a report: the state of consumers over all routers (formats 7 and 8).
    #[deku(id = "18")]
    QuotaTotals { totals: QuotaTotals },
    /// A front asks a granter for a consumer's credits.
    #[deku(id = "19")]
    QuotaRequest { request: QuotaRequest },
    /// Answer to a `QuotaRequest`.
    #[deku(id = "20")]
    QuotaGrant { grant: QuotaGrant },
    /// A granter asks another router by which membership it divides limits.
    #[deku(id = "21")]
    QuotaGrantersQuery { query: QuotaGrantersQuery },
    /// Answer to a `QuotaGrantersQuery`.
    #[deku(id = "22")]
    QuotaGrantersReply { reply: QuotaGrantersReply },
}

impl ForwardMessage {
    /// Returns whether the message is for the receiver's owner part; otherwise it is for its front.
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
