//! Samples of messages between routers and registries.

use super::encode_frame;
use wire::{Capacity, ConfigurationEpoch, ConfigurationItem, LeaseMessage, Message, ProofAge};

fn item() -> ConfigurationItem {
    ConfigurationItem { key: "functions/a/f".into(), is_removed: 1, value: b"{}".to_vec().into() }
}

fn epoch() -> ConfigurationEpoch {
    ConfigurationEpoch { number: 101, revision: 102, quorum: vec![103, 104].into(), items: vec![item()].into() }
}

pub fn capacity() -> Capacity {
    Capacity { processor_milli: 105, link_kbit: 106 }
}

pub fn lease_messages() -> Vec<Vec<u8>> {
    use LeaseMessage::*;
    let mut samples: Vec<Vec<u8>> = [
        Join { address: "a:1".into(), zone: "z".into(), ops: "o:2".into() },
        Renew { request_id: 111, staged: 112, active: 113, membership: 114 },
        Proof { request_id: 115, active: 116, latest: 117, is_member: 1 },
        NotTail { tail: 118, view: 119, addresses: vec!["s:3".into()].into() },
        Stage { epoch: epoch() },
        Staged { number: 120 },
        Activate { number: 121 },
        Membership { number: 122, body: vec![123].into() },
        ConfigurationRequest { request_id: 124, from: "f".into() },
        ConfigurationPage {
            request_id: 125,
            epoch: 126,
            revision: 127,
            quorum: vec![128].into(),
            items: vec![item()].into(),
            next: "n".into(),
        },
        Propose { request_id: 129, body: vec![130].into() },
        ProposalAck { request_id: 131, state: 2, body: vec![132].into() },
        Read { request_id: 133, prefix: "p".into(), from: "q".into() },
        ReadReply { request_id: 134, state: 3, items: vec![item()].into() },
        Leave { successor: 135 },
        PeerEpochRequest { request_id: 136, active: 137 },
        PeerEpochReply { request_id: 138, active: 139, latest: 140 },
        RegistryAddresses { addresses: vec!["t:4".into()].into() },
        Leaving,
    ]
    .into_iter()
    .map(|message| encode_frame(Message::Lease(message)))
    .collect();
    samples.extend(messages_added_since_format_4().into_iter().map(|message| encode_frame(Message::Lease(message))));
    samples
}

fn messages_added_since_format_4() -> Vec<LeaseMessage> {
    use LeaseMessage::*;
    vec![
        Part {
            request_id: 141,
            full: 1,
            number: 142,
            size: 143,
            compressed_size: 144,
            offset: 145,
            bytes: vec![146].into(),
        },
        PartRequest { request_id: 147, full: 1, number: 148, offset: 149 },
        MajorityEpochRequest { request_id: 150, active: 151 },
        MajorityEpochReply { request_id: 152, active: 153 },
        MembershipChange { since: 154, number: 155, size: 156, body: vec![157].into() },
        JoinWithCapacity {
            address: "b:5".into(),
            zone: "y".into(),
            ops: "p:6".into(),
            hashing: 158,
            capacity: capacity(),
        },
        Proofs {
            view: 159,
            earlier_millis: 160,
            proofs: vec![ProofAge { id: 161, incarnation: 162, millis: 163 }].into(),
        },
        PeerRequest { request_id: 164, active: 165, membership: 166 },
        PeerReply { request_id: 167, active: 168, latest: 169, membership: 170 },
        MajorityRequest { request_id: 171, active: 172, membership: 173 },
        MajorityReply { request_id: 174, active: 175, membership: 176 },
        PeerMembership { number: 177, size: 178, body: vec![179].into() },
    ]
}
