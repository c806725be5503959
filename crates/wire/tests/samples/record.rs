//! Samples of commands, their replies and stored records.

use super::encode_frame;
use super::lease::capacity;
use wire::{
    AnswerHead, ClaimRecord, ClaimState, Command, CommandReply, ConfigurationItem, DeferredRecord, HeaderField,
    Message, OpRecord, Outcome, RequestHead, StoredAnswer, StoredRequest, to_bytes,
};

fn item() -> ConfigurationItem {
    ConfigurationItem { key: "services/a/s".into(), is_removed: 1, value: vec![1].into() }
}

fn commands() -> Vec<Command> {
    use Command::*;
    vec![
        Change {
            op: "o".into(),
            base: 301,
            is_any_base: 1,
            replaces_scope: 2,
            scope: "s".into(),
            items: vec![item()].into(),
        },
        SetQuorum { after: 302, members: vec![303].into() },
        Activate { epoch: 304 },
        Join { id: 305, incarnation: 306, address: "a:1".into(), zone: "z".into(), ops: "o:2".into() },
        ExpireLease { id: 307, incarnation: 308 },
        Leaving { id: 309, incarnation: 310 },
        Claim { scope: "c".into(), digest: vec![2].into(), member: 311, incarnation: 312, request_id: 313 },
        RecordAnswer { scope: "c".into(), member: 314, incarnation: 315, request_id: 316, answer: vec![3].into() },
        Release { scope: "c".into(), member: 317, incarnation: 318, request_id: 319 },
        Store { id: "i".into(), function: "t/f".into(), digest: vec![4].into(), task: vec![5].into() },
        Finish { id: "i".into(), function: "t/f".into(), answer: vec![6].into() },
        Tick { number: 320 },
        Declare {
            op: "o".into(),
            base: 321,
            is_any_base: 1,
            replaces_scope: 2,
            revision: 322,
            scope: "s".into(),
            items: vec![item()].into(),
        },
        JoinWithCapacity {
            id: 323,
            incarnation: 324,
            address: "a:1".into(),
            zone: "z".into(),
            ops: "o:2".into(),
            hashing: 9,
            capacity: capacity(),
        },
        ClaimForTicks {
            scope: "c".into(),
            digest: vec![2].into(),
            member: 325,
            incarnation: 326,
            request_id: 327,
            ticks: 328,
        },
    ]
}

fn replies() -> Vec<CommandReply> {
    let mut replies = vec![
        CommandReply::Changed { epoch: 331, revision: 332 },
        CommandReply::Refused { status: 333, body: vec![7].into() },
        CommandReply::Stored { state: ClaimState::Full, answer: vec![8].into() },
        CommandReply::Empty,
    ];
    use ClaimState::*;
    for state in [Granted, Running, Answered, Unknown, OtherBody] {
        replies.push(CommandReply::Claim { state, answer: vec![9].into() });
    }
    replies
}

pub fn records() -> Vec<Vec<u8>> {
    let mut samples: Vec<Vec<u8>> = commands().iter().map(to_bytes).collect();
    samples.extend(replies().iter().map(to_bytes));
    let digest = || vec![10].into();
    let claim = ClaimRecord {
        digest: digest(),
        member: 341,
        incarnation: 342,
        request_id: 343,
        expiry_tick: 344,
        is_answered: 1,
        answer: vec![11].into(),
    };
    let deferred = DeferredRecord { function: "t/f".into(), digest: digest(), is_answered: 1, answer: vec![12].into() };
    let header = HeaderField { name: "n".into(), value: vec![13].into() };
    let head = RequestHead { method: "GET".into(), target: "/t".into(), headers: vec![header.clone()].into() };
    let stored_request = StoredRequest { binding: "t/b".into(), head: to_bytes(&head).into(), body: vec![14].into() };
    samples.push(to_bytes(&claim));
    samples.push(to_bytes(&deferred));
    samples.push(to_bytes(&OpRecord { reply: CommandReply::Empty }));
    samples.push(to_bytes(&head));
    samples.push(to_bytes(&AnswerHead { headers: vec![header].into() }));
    samples.push(to_bytes(&stored_request));
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown, Outcome::Accepted] {
        let (head, body) = (vec![15].into(), vec![16].into());
        samples.push(to_bytes(&StoredAnswer { outcome, status: 345, head, body }));
    }
    samples.push(encode_frame(Message::Hello { address: "h:1".into() }));
    samples
}
