//! What routers say to each other about tasks: forwarding one to its function's owner, the whole
//! answer on the way back, and the table a leaving owner hands to its successor.

use crate::{Blob, List, Text};
use deku::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum Outcome {
    #[deku(id = "1")]
    Answered,
    #[deku(id = "2")]
    NotRun,
    #[deku(id = "3")]
    Unknown,
    #[deku(id = "4")]
    Accepted,
}

impl Outcome {
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Accepted => "accepted",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceSlots {
    pub instance: Text,
    pub address: Text,
    pub ready: u8,
    pub busy: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct HeaderField {
    pub name: Text,
    pub value: Blob,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct RequestHead {
    pub method: Text,
    pub target: Text,
    pub headers: List<HeaderField>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct AnswerHead {
    pub headers: List<HeaderField>,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredAnswer {
    pub outcome: Outcome,
    pub status: u16,
    pub head: Blob,
    pub body: Blob,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct StoredRequest {
    pub binding: Text,
    pub head: Blob,
    pub body: Blob,
}

/// What an owner knows of one function: handed over to the next owner, or kept by the router that would
/// be owner next (`is_standby_copy`). `started` names stored tasks that were sent at least once and are not done;
/// without `is_started_complete` there were more.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct OwnershipTable {
    pub function: Text,
    pub membership: u64,
    pub is_standby_copy: u8,
    pub slots: List<InstanceSlots>,
    pub requests: u32,
    pub retries: u32,
    pub rejections: u32,
    pub started: List<Text>,
    pub is_started_complete: u8,
}

/// An instance as the provider lists it.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InstanceRecord {
    pub id: Text,
    pub function: Text,
    pub address: Text,
    pub zone: Text,
    pub worker: Text,
    /// 0 starting, 1 running, 2 leaving
    pub state: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct WorkerRecord {
    pub name: Text,
    pub zone: Text,
    pub memory_mb: u32,
    pub free_mb: u32,
    pub ready: u8,
}

/// What the provider's list shows otherwise than under an earlier number, or than nothing where that
/// is 0, and how long ago it was asked for; the workers likewise where they were read as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct InventoryChange {
    pub number: u64,
    pub since: u64,
    pub age_ms: u32,
    pub instances: List<InstanceRecord>,
    pub gone: List<Text>,
    pub workers_read: u8,
    pub workers_age_ms: u32,
    pub workers: List<WorkerRecord>,
    pub workers_gone: List<Text>,
}

/// A request forwarded to its function's owner, with the number of attempts that its front grants.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct ForwardRequest {
    pub task: u64,
    pub function: Text,
    pub binding: Text,
    pub left_ms: u32,
    pub resends: u8,
    /// To how many instances the owner may send it before it asks for more; `UNCOUNTED` if the front
    /// does not count.
    pub attempts: u32,
    pub respond_async: u8,
    pub key: Text,
    pub head: Blob,
    pub body: Blob,
}

impl ForwardRequest {
    /// As many attempts as the binding allows.
    pub const UNCOUNTED: u32 = 0;
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum ForwardMessage {
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
    #[deku(id = "2")]
    AnswerInSeconds { task: u64, outcome: Outcome, status: u16, retry_after: u32, head: Blob, body: Blob },
    #[deku(id = "3")]
    NotOwner { task: u64 },
    #[deku(id = "4")]
    Handover { function: Text, membership: u64, slots: List<InstanceSlots>, requests: u32, retries: u32 },
    #[deku(id = "5")]
    Preempt { function: Text, memory_mb: u32 },
    #[deku(id = "6")]
    Heartbeat,
    #[deku(id = "7")]
    Table { table: OwnershipTable },
    /// `AnswerInSeconds` with the time to come back in milliseconds.
    #[deku(id = "8")]
    Answer { task: u64, outcome: Outcome, status: u16, retry_after_ms: u32, head: Blob, body: Blob },
    /// Asks an owner to send a heartbeat.
    #[deku(id = "9")]
    HeartbeatRequest,
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
}

impl ForwardMessage {
    /// Whether it is meant for the receiver's owner; if not, it answers the receiver's front.
    pub fn is_for_owner(&self) -> bool {
        !matches!(
            self,
            ForwardMessage::Answer { .. }
                | ForwardMessage::AnswerInSeconds { .. }
                | ForwardMessage::NotOwner { .. }
                | ForwardMessage::Returned { .. }
                | ForwardMessage::AttemptRequest { .. }
                | ForwardMessage::Heartbeat
        )
    }

    /// The request that is forwarded, if one is, by a front that counts its attempts or by an older one.
    pub fn into_forwarded(self) -> Option<ForwardRequest> {
        match self {
            ForwardMessage::Forward { request } => Some(*request),
            ForwardMessage::ForwardUncounted {
                task,
                function,
                binding,
                left_ms,
                resends,
                respond_async,
                key,
                head,
                body,
            } => {
                let attempts = ForwardRequest::UNCOUNTED;
                let request = ForwardRequest {
                    task,
                    function,
                    binding,
                    left_ms,
                    resends,
                    attempts,
                    respond_async,
                    key,
                    head,
                    body,
                };
                Some(request)
            }
            _ => None,
        }
    }
}
