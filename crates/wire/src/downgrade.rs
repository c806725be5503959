//! One message in an older format, while a fleet rolls from one program revision to the next. Format 2
//! put away what nobody read (who the tail is and its view, in `NotTail`; the successor in `Leave`) and
//! brought heartbeats between routers, whole owner tables and the entries a registry missed. Who understands only the format before hears
//! the older word, or nothing where it had none. Format 3 brought the
//! entry of a change with a declared revision, which a registry enters only where all speak it, and
//! answers that tell the time to come back in milliseconds. Format 4 brought steps and the whole
//! configuration in packed parts, and differences of the membership; before, both came whole and unpacked.
//! It also brought what machines can carry, fronts that ask to be beaten, and the provider's inventory
//! told by one owner to the others. Format 5 brought forwards that tell the attempts granted, and owners
//! that ask for more; before, each owner made as many attempts as the binding allows. It also brought a
//! voter's report on when it last answered the tail of the view before, and what that tail tells the next of the proofs it granted.

use crate::codec::ATTEMPTS;
use crate::{ChainMessage, ForwardMessage, ForwardRequest, LeaseMessage, Message, PlanMessage, Text};

pub fn downgrade(message: Message, format: u16) -> Option<Message> {
    let message = match message {
        message if format >= ATTEMPTS => return Some(message),
        Message::Forward(ForwardMessage::Forward { request }) => Message::Forward(uncounted(*request)),
        Message::Forward(ForwardMessage::Returned { task, .. }) => Message::Forward(ForwardMessage::NotOwner { task }),
        Message::Forward(ForwardMessage::AttemptRequest { .. } | ForwardMessage::AttemptGrant { .. }) => return None,
        Message::Chain(ChainMessage::TailLastAnswered { .. }) | Message::Lease(LeaseMessage::Proofs { .. }) => {
            return None;
        }
        message => message,
    };
    let message = match message {
        message if format >= 4 => return Some(message),
        Message::Lease(LeaseMessage::JoinWithCapacity { address, zone, ops, .. }) => {
            Message::Lease(LeaseMessage::Join { address, zone, ops })
        }
        Message::Forward(
            ForwardMessage::HeartbeatRequest | ForwardMessage::Inventory { .. } | ForwardMessage::InventoryRequest,
        ) => {
            return None;
        }
        Message::Lease(LeaseMessage::PartRequest { request_id, full, offset: 0, .. }) if full != 0 => {
            Message::Lease(LeaseMessage::ConfigurationRequest { request_id, from: Text::default() })
        }
        Message::Lease(
            LeaseMessage::PartRequest { .. }
            | LeaseMessage::Part { .. }
            | LeaseMessage::MembershipChange { .. }
            | LeaseMessage::MajorityRequest { .. }
            | LeaseMessage::MajorityReply { .. },
        ) => return None,
        message => message,
    };
    let message = match message {
        message if format >= 3 => return Some(message),
        Message::Forward(ForwardMessage::Answer { task, outcome, status, retry_after_ms, head, body }) => {
            let retry_after = retry_after_ms.div_ceil(1000);
            Message::Forward(ForwardMessage::AnswerInSeconds { task, outcome, status, retry_after, head, body })
        }
        other => other,
    };
    match message {
        message if format >= 2 => Some(message),
        Message::Lease(LeaseMessage::RegistryAddresses { addresses }) => {
            Some(Message::Lease(LeaseMessage::NotTail { tail: 0, view: 0, addresses }))
        }
        Message::Lease(LeaseMessage::Leaving) => Some(Message::Lease(LeaseMessage::Leave { successor: 0 })),
        Message::Chain(ChainMessage::MissedEntriesRequest { .. }) => {
            Some(Message::Chain(ChainMessage::SnapshotRequest { snapshot_id: 0, chunk: 0 }))
        }
        Message::Plan(PlanMessage::Measures { .. } | PlanMessage::Tuned { .. }) => None,
        Message::Forward(ForwardMessage::Heartbeat) => None,
        Message::Forward(ForwardMessage::Table { table }) if table.is_standby_copy != 0 => None,
        Message::Forward(ForwardMessage::Table { table }) => Some(Message::Forward(ForwardMessage::Handover {
            function: table.function,
            membership: table.membership,
            slots: table.slots,
            requests: table.requests,
            retries: table.retries,
        })),
        other => Some(other),
    }
}

/// A forward as it was told before fronts granted attempts.
fn uncounted(request: ForwardRequest) -> ForwardMessage {
    let ForwardRequest { task, function, binding, left_ms, resends, respond_async, key, head, body, .. } = request;
    ForwardMessage::ForwardUncounted { task, function, binding, left_ms, resends, respond_async, key, head, body }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Blob, Outcome, OwnershipTable};

    #[test]
    fn format_one_hears_only_its_own_words() {
        let old = |message| downgrade(message, 1);
        assert_eq!(old(Message::Forward(ForwardMessage::Heartbeat)), None);
        let table = OwnershipTable {
            function: "t/f".into(),
            membership: 4,
            requests: 9,
            rejections: 3,
            ..OwnershipTable::default()
        };
        let is_standby_copy = OwnershipTable { is_standby_copy: 1, ..table.clone() };
        assert_eq!(old(Message::Forward(ForwardMessage::Table { table: is_standby_copy })), None);
        let handed = old(Message::Forward(ForwardMessage::Table { table: table.clone() }));
        assert!(
            matches!(handed, Some(Message::Forward(ForwardMessage::Handover { membership: 4, requests: 9, .. }))),
            "{handed:?}"
        );
        let addresses = Message::Lease(LeaseMessage::RegistryAddresses { addresses: vec!["a:1".into()].into() });
        assert!(matches!(old(addresses.clone()), Some(Message::Lease(LeaseMessage::NotTail { .. }))));
        assert!(matches!(old(Message::Lease(LeaseMessage::Leaving)), Some(Message::Lease(LeaseMessage::Leave { .. }))));
        assert_eq!(downgrade(addresses.clone(), 2), Some(addresses));
    }

    #[test]
    fn formats_before_five_hear_of_no_granted_attempts() {
        let forward = ForwardMessage::ForwardUncounted {
            task: 9,
            function: "t/f".into(),
            binding: "t/b".into(),
            left_ms: 700,
            resends: 1,
            respond_async: 0,
            key: "k".into(),
            head: vec![1].into(),
            body: vec![2].into(),
        };
        let request = forward.clone().into_forwarded().expect("a forward");
        assert_eq!(request.attempts, ForwardRequest::UNCOUNTED);
        let counted = ForwardMessage::Forward { request: Box::new(ForwardRequest { attempts: 1, ..request }) };
        let heard = |message: ForwardMessage, format| downgrade(Message::Forward(message), format);
        assert_eq!(heard(counted.clone(), 4), Some(Message::Forward(forward)));
        assert_eq!(heard(counted.clone(), 5), Some(Message::Forward(counted)));
        let not_home = Some(Message::Forward(ForwardMessage::NotOwner { task: 9 }));
        assert_eq!(heard(ForwardMessage::Returned { task: 9, attempts: 1 }, 4), not_home);
        assert_eq!(heard(ForwardMessage::AttemptRequest { task: 9, attempts: 2 }, 4), None);
        assert_eq!(heard(ForwardMessage::AttemptGrant { task: 9, attempts: 2 }, 4), None);
    }

    #[test]
    fn formats_before_four_fetch_the_configuration_unpacked() {
        let part_request =
            |offset| Message::Lease(LeaseMessage::PartRequest { request_id: 7, full: 1, number: 0, offset });
        let fetch = Message::Lease(LeaseMessage::ConfigurationRequest { request_id: 7, from: Text::default() });
        assert_eq!(
            [downgrade(part_request(0), 3), downgrade(part_request(9), 3), downgrade(part_request(9), 4)],
            [Some(fetch), None, Some(part_request(9))]
        );
    }

    #[test]
    fn formats_before_three_hear_the_time_to_come_back_in_whole_seconds() {
        let (head, body) = (Blob::default(), Blob::default());
        let message =
            ForwardMessage::Answer { task: 1, outcome: Outcome::NotRun, status: 503, retry_after_ms: 1001, head, body };
        let answer = Message::Forward(message);
        for format in [1, 2] {
            let heard = downgrade(answer.clone(), format);
            assert!(
                matches!(
                    heard,
                    Some(Message::Forward(ForwardMessage::AnswerInSeconds { task: 1, retry_after: 2, .. }))
                ),
                "{heard:?}"
            );
        }
        assert_eq!(downgrade(answer.clone(), 3), Some(answer));
    }
}
