//! Conversion of messages to older formats, used while a fleet is upgraded from one version to the next. A peer that
//! supports only an older format is sent the equivalent older message, or nothing if there is none.
//!
//! | format | added |
//! |---|---|
//! | 2 | heartbeats between routers, ownership tables, missed entries; unused fields were removed |
//! | 3 | changes with a declared revision, retry delays in milliseconds |
//! | 4 | compressed parts of epochs and configurations, membership changes, machine capacities, the inventory |
//! | 5 | attempts granted with a forwarded request, reports on what previous tails granted |
//! | 6 | announcements that a registry is about to stop |
//! | 7 | consumers of forwarded requests, consumer usage, retention time of claimed keys |
//! | 8 | membership numbers in the confirmations between routers |
//! | 9 | credits for the requests of rate-limited consumers |

use crate::codec::{
    ATTEMPTS_FORMAT, CAPACITY_FORMAT, CONSUMER_FORMAT, CREDITS_FORMAT, PEER_MEMBERSHIP_FORMAT, REGISTRY_LEAVING_FORMAT,
};
use crate::{ChainMessage, ForwardMessage, ForwardRequest, LeaseMessage, Message, PlanMessage, Text};

/// First format with retry delays in milliseconds.
const MILLISECONDS_FORMAT: u16 = 3;
/// First format with ownership tables and missed entries.
const OWNERSHIP_TABLE_FORMAT: u16 = 2;

/// Converts a message for a peer that supports only `format`. Returns `None` if there is no equivalent.
pub fn downgrade(message: Message, format: u16) -> Option<Message> {
    let mut message = message;
    if format < CREDITS_FORMAT && is_credit_message(&message) {
        return None;
    }
    if format < PEER_MEMBERSHIP_FORMAT {
        message = without_peer_memberships(message)?;
    }
    if format < CONSUMER_FORMAT {
        message = without_consumers(message)?;
    }
    if format < REGISTRY_LEAVING_FORMAT && matches!(message, Message::Chain(ChainMessage::Leaving { .. })) {
        return None;
    }
    if format < ATTEMPTS_FORMAT {
        message = without_attempts(message)?;
    }
    if format < CAPACITY_FORMAT {
        message = without_parts(message)?;
    }
    if format < MILLISECONDS_FORMAT {
        message = without_milliseconds(message);
    }
    if format < OWNERSHIP_TABLE_FORMAT {
        message = without_tables(message)?;
    }
    Some(message)
}

fn is_credit_message(message: &Message) -> bool {
    use ForwardMessage::{QuotaGrant, QuotaGrantersQuery, QuotaGrantersReply, QuotaRequest};
    let Message::Forward(message) = message else { return false };
    matches!(message, QuotaRequest { .. } | QuotaGrant { .. } | QuotaGrantersQuery { .. } | QuotaGrantersReply { .. })
}

fn without_consumers(message: Message) -> Option<Message> {
    let older = match message {
        Message::Forward(ForwardMessage::ForwardForConsumer { request, .. }) => {
            Message::Forward(ForwardMessage::Forward { request })
        }
        Message::Forward(ForwardMessage::QuotaReport { .. } | ForwardMessage::QuotaTotals { .. }) => return None,
        unchanged => unchanged,
    };
    Some(older)
}

fn without_peer_memberships(message: Message) -> Option<Message> {
    use LeaseMessage::{
        MajorityEpochReply, MajorityEpochRequest, MajorityReply, MajorityRequest, PeerEpochReply, PeerEpochRequest,
        PeerMembership, PeerReply, PeerRequest,
    };
    let Message::Lease(message) = message else { return Some(message) };
    let older = match message {
        PeerRequest { request_id, active, .. } => PeerEpochRequest { request_id, active },
        PeerReply { request_id, active, latest, .. } => PeerEpochReply { request_id, active, latest },
        MajorityRequest { request_id, active, .. } => MajorityEpochRequest { request_id, active },
        MajorityReply { request_id, active, .. } => MajorityEpochReply { request_id, active },
        PeerMembership { .. } => return None,
        unchanged => unchanged,
    };
    Some(Message::Lease(older))
}

fn without_attempts(message: Message) -> Option<Message> {
    let older = match message {
        Message::Forward(ForwardMessage::Forward { request }) => Message::Forward(to_uncounted_forward(*request)),
        Message::Forward(ForwardMessage::Returned { task, .. }) => Message::Forward(ForwardMessage::NotOwner { task }),
        Message::Forward(ForwardMessage::AttemptRequest { .. } | ForwardMessage::AttemptGrant { .. }) => return None,
        Message::Chain(ChainMessage::TailLastAnswered { .. }) | Message::Lease(LeaseMessage::Proofs { .. }) => {
            return None;
        }
        unchanged => unchanged,
    };
    Some(older)
}

fn without_parts(message: Message) -> Option<Message> {
    use ForwardMessage::{HeartbeatRequest, Inventory, InventoryRequest};
    use LeaseMessage::{MajorityEpochReply, MajorityEpochRequest, MembershipChange, Part, PartRequest};
    let older = match message {
        Message::Lease(LeaseMessage::JoinWithCapacity { address, zone, ops, .. }) => {
            Message::Lease(LeaseMessage::Join { address, zone, ops })
        }
        Message::Forward(HeartbeatRequest | Inventory { .. } | InventoryRequest) => return None,
        Message::Lease(PartRequest { request_id, full, offset: 0, .. }) if full != 0 => {
            Message::Lease(LeaseMessage::ConfigurationRequest { request_id, from: Text::default() })
        }
        Message::Lease(
            PartRequest { .. }
            | Part { .. }
            | MembershipChange { .. }
            | MajorityEpochRequest { .. }
            | MajorityEpochReply { .. },
        ) => return None,
        unchanged => unchanged,
    };
    Some(older)
}

fn without_milliseconds(message: Message) -> Message {
    match message {
        Message::Forward(ForwardMessage::Answer { task, outcome, status, retry_after_ms, head, body }) => {
            let retry_after = retry_after_ms.div_ceil(1000);
            Message::Forward(ForwardMessage::AnswerInSeconds { task, outcome, status, retry_after, head, body })
        }
        unchanged => unchanged,
    }
}

fn without_tables(message: Message) -> Option<Message> {
    let older = match message {
        Message::Lease(LeaseMessage::RegistryAddresses { addresses }) => {
            Message::Lease(LeaseMessage::NotTail { tail: 0, view: 0, addresses })
        }
        Message::Lease(LeaseMessage::Leaving) => Message::Lease(LeaseMessage::Leave { successor: 0 }),
        Message::Chain(ChainMessage::MissedEntriesRequest { .. }) => {
            Message::Chain(ChainMessage::SnapshotRequest { snapshot_id: 0, chunk: 0 })
        }
        Message::Plan(PlanMessage::Measurements { .. } | PlanMessage::Tuned { .. }) => return None,
        Message::Forward(ForwardMessage::Heartbeat) => return None,
        Message::Forward(ForwardMessage::OwnershipTable { table }) if table.is_standby_copy != 0 => return None,
        Message::Forward(ForwardMessage::OwnershipTable { table }) => Message::Forward(ForwardMessage::Handover {
            function: table.function,
            membership: table.membership,
            slots: table.slots,
            requests: table.requests,
            retries: table.retries,
        }),
        unchanged => unchanged,
    };
    Some(older)
}

/// Converts a forwarded request to the format before fronts granted attempts.
fn to_uncounted_forward(request: ForwardRequest) -> ForwardMessage {
    let ForwardRequest { task, function, binding, remaining_ms, resends, respond_async, key, head, body, .. } = request;
    ForwardMessage::ForwardUncounted { task, function, binding, remaining_ms, resends, respond_async, key, head, body }
}
