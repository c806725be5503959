//! Messages as they are sent to peers that support only an older format.

use wire::{
    Blob, ForwardMessage, ForwardRequest, LeaseMessage, Message, Outcome, OwnershipTable, QuotaGrant,
    QuotaGrantersQuery, QuotaGrantersReply, QuotaReport, QuotaRequest, QuotaTotals, Text, downgrade,
};

#[test]
fn format_one_receives_only_messages_that_it_knows() {
    let to_format_1 = |message| downgrade(message, 1);
    assert_eq!(to_format_1(Message::Forward(ForwardMessage::Heartbeat)), None);
    let table = OwnershipTable {
        function: "t/f".into(),
        membership: 4,
        requests: 9,
        rejections: 3,
        ..OwnershipTable::default()
    };
    let standby_copy = OwnershipTable { is_standby_copy: 1, ..table.clone() };
    assert_eq!(to_format_1(Message::Forward(ForwardMessage::OwnershipTable { table: standby_copy })), None);
    let handover = to_format_1(Message::Forward(ForwardMessage::OwnershipTable { table: table.clone() }));
    assert!(
        matches!(handover, Some(Message::Forward(ForwardMessage::Handover { membership: 4, requests: 9, .. }))),
        "{handover:?}"
    );
    let addresses = Message::Lease(LeaseMessage::RegistryAddresses { addresses: vec!["a:1".into()].into() });
    assert!(matches!(to_format_1(addresses.clone()), Some(Message::Lease(LeaseMessage::NotTail { .. }))));
    assert!(matches!(
        to_format_1(Message::Lease(LeaseMessage::Leaving)),
        Some(Message::Lease(LeaseMessage::Leave { .. }))
    ));
    assert_eq!(downgrade(addresses.clone(), 2), Some(addresses));
}

#[test]
fn formats_before_five_omit_granted_attempts() {
    let forward = ForwardMessage::ForwardUncounted {
        task: 9,
        function: "t/f".into(),
        binding: "t/b".into(),
        remaining_ms: 700,
        resends: 1,
        respond_async: 0,
        key: "k".into(),
        head: vec![1].into(),
        body: vec![2].into(),
    };
    let (request, _) = forward.clone().into_forward_request().expect("a forward");
    assert_eq!(request.attempts, ForwardRequest::UNCOUNTED);
    let counted = ForwardMessage::Forward { request: Box::new(ForwardRequest { attempts: 1, ..request }) };
    let downgrade_forward = |message: ForwardMessage, format| downgrade(Message::Forward(message), format);
    assert_eq!(downgrade_forward(counted.clone(), 4), Some(Message::Forward(forward)));
    assert_eq!(downgrade_forward(counted.clone(), 5), Some(Message::Forward(counted)));
    let not_owner = Some(Message::Forward(ForwardMessage::NotOwner { task: 9 }));
    assert_eq!(downgrade_forward(ForwardMessage::Returned { task: 9, attempts: 1 }, 4), not_owner);
    assert_eq!(downgrade_forward(ForwardMessage::AttemptRequest { task: 9, attempts: 2 }, 4), None);
    assert_eq!(downgrade_forward(ForwardMessage::AttemptGrant { task: 9, attempts: 2 }, 4), None);
}

#[test]
fn formats_before_seven_omit_consumers() {
    let request = ForwardRequest {
        task: 9,
        function: "t/f".into(),
        binding: "t/b".into(),
        remaining_ms: 700,
        resends: 1,
        attempts: 1,
        respond_async: 0,
        key: "k".into(),
        head: Blob::default(),
        body: Blob::default(),
    };
    let with_consumer =
        ForwardMessage::ForwardForConsumer { request: Box::new(request.clone()), consumer: "t/c".into() };
    let without_consumer = ForwardMessage::Forward { request: Box::new(request) };
    assert_eq!(downgrade(Message::Forward(with_consumer.clone()), 6), Some(Message::Forward(without_consumer)));
    assert_eq!(downgrade(Message::Forward(with_consumer.clone()), 7), Some(Message::Forward(with_consumer)));
    let report = Message::Forward(ForwardMessage::QuotaReport { report: QuotaReport::default() });
    let totals = Message::Forward(ForwardMessage::QuotaTotals { totals: QuotaTotals::default() });
    for message in [report, totals] {
        assert_eq!([downgrade(message.clone(), 6), downgrade(message.clone(), 7)], [None, Some(message)]);
    }
}

#[test]
fn formats_before_nine_receive_no_credit_messages() {
    let messages = [
        ForwardMessage::QuotaRequest { request: QuotaRequest::default() },
        ForwardMessage::QuotaGrant { grant: QuotaGrant::default() },
        ForwardMessage::QuotaGrantersQuery { query: QuotaGrantersQuery::default() },
        ForwardMessage::QuotaGrantersReply { reply: QuotaGrantersReply::default() },
    ];
    for message in messages.map(Message::Forward) {
        assert_eq!([downgrade(message.clone(), 8), downgrade(message.clone(), 9)], [None, Some(message)]);
    }
}

#[test]
fn formats_before_four_request_the_configuration_uncompressed() {
    let part_request = |offset| Message::Lease(LeaseMessage::PartRequest { request_id: 7, full: 1, number: 0, offset });
    let page_request = Message::Lease(LeaseMessage::ConfigurationRequest { request_id: 7, from: Text::default() });
    assert_eq!(
        [downgrade(part_request(0), 3), downgrade(part_request(9), 3), downgrade(part_request(9), 4)],
        [Some(page_request), None, Some(part_request(9))]
    );
}

#[test]
fn formats_before_three_receive_the_retry_delay_in_whole_seconds() {
    let (head, body) = (Blob::default(), Blob::default());
    let message =
        ForwardMessage::Answer { task: 1, outcome: Outcome::NotRun, status: 503, retry_after_ms: 1001, head, body };
    let answer = Message::Forward(message);
    for format in [1, 2] {
        let downgraded = downgrade(answer.clone(), format);
        assert!(
            matches!(
                downgraded,
                Some(Message::Forward(ForwardMessage::AnswerInSeconds { task: 1, retry_after: 2, .. }))
            ),
            "{downgraded:?}"
        );
    }
    assert_eq!(downgrade(answer.clone(), 3), Some(answer));
}

#[test]
fn formats_before_eight_confirm_only_epochs() {
    let request = Message::Lease(LeaseMessage::PeerRequest { request_id: 1, active: 2, membership: 3 });
    let reply = Message::Lease(LeaseMessage::PeerReply { request_id: 1, active: 2, latest: 4, membership: 3 });
    let membership = Message::Lease(LeaseMessage::PeerMembership { number: 3, size: 0, body: Blob::default() });
    let request_by_epoch = LeaseMessage::PeerEpochRequest { request_id: 1, active: 2 };
    let reply_by_epoch = LeaseMessage::PeerEpochReply { request_id: 1, active: 2, latest: 4 };
    assert_eq!(downgrade(request.clone(), 7), Some(Message::Lease(request_by_epoch)));
    assert_eq!(downgrade(reply, 7), Some(Message::Lease(reply_by_epoch)));
    assert_eq!(downgrade(request.clone(), 8), Some(request));
    assert_eq!(downgrade(membership, 7), None);
    let majority = Message::Lease(LeaseMessage::MajorityRequest { request_id: 1, active: 2, membership: 3 });
    let majority_by_epoch = LeaseMessage::MajorityEpochRequest { request_id: 1, active: 2 };
    assert_eq!(downgrade(majority.clone(), 7), Some(Message::Lease(majority_by_epoch)));
    assert_eq!(downgrade(majority, 3), None);
}
