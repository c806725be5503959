//! Tests of the follower's lease, confirmations and messages.

use leases::{
    Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING_VERSION, Member, Membership, ServingStatus,
};
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, ConfigurationItem, LeaseMessage};

const ME: u64 = 9;
const TAIL: u64 = 1;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn new_follower(incarnation: u64) -> Follower {
    Follower::new(ME, incarnation, "10.0.1.1:1", "a", "", FollowerTiming::default())
}

fn renewals(outputs: &[FollowerOutput]) -> Vec<u64> {
    let request_id = |output: &FollowerOutput| match output {
        FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } => Some(*request_id),
        _ => None,
    };
    outputs.iter().filter_map(request_id).collect()
}

fn tick(follower: &mut Follower, at: u64) -> Vec<FollowerOutput> {
    follower.step(ms(at), FollowerInput::Tick)
}

fn deliver(follower: &mut Follower, at: u64, message: LeaseMessage) -> Vec<FollowerOutput> {
    follower.step(ms(at), FollowerInput::Registry { from: TAIL, message })
}

fn confirmation(request_id: u64, active: u64, latest: u64) -> LeaseMessage {
    LeaseMessage::Proof { request_id, active, latest, is_member: 1 }
}

fn stage(number: u64) -> LeaseMessage {
    let item = ConfigurationItem { key: "headcount-plans/t/f".into(), is_removed: 0, value: b"{}".to_vec().into() };
    let step = ConfigurationEpoch { number, revision: number, quorum: vec![ME, 8, 7].into(), items: vec![item].into() };
    LeaseMessage::Stage { epoch: step }
}

#[test]
fn confirmation_counts_from_its_request_and_a_staged_epoch_shortens_it() {
    let mut follower = new_follower(1);
    let request_id = renewals(&tick(&mut follower, 0))[0];
    deliver(&mut follower, 900, confirmation(request_id, 0, 0));
    assert_eq!(follower.serving_status_at(ms(1499)), ServingStatus::ByCore);
    assert_eq!(follower.serving_status_at(ms(1500)), ServingStatus::Waiting);
    let request_id = renewals(&tick(&mut follower, 2000))[0];
    deliver(&mut follower, 2010, confirmation(request_id, 0, 0));
    assert_eq!(follower.serving_status_at(ms(2300)), ServingStatus::ByCore);
    deliver(&mut follower, 2020, stage(1));
    assert_eq!(follower.serving_status_at(ms(2199)), ServingStatus::ByCore);
    assert_eq!(follower.serving_status_at(ms(2200)), ServingStatus::Waiting);
    assert_eq!(follower.serves_until(), ms(2200));
}

#[test]
fn confirmation_of_another_epoch_or_incarnation_is_ignored() {
    let mut follower = new_follower(1);
    let request_id = renewals(&tick(&mut follower, 0))[0];
    let mut restarted = new_follower(2);
    assert!(renewals(&tick(&mut restarted, 0))[0] != request_id);
    deliver(&mut restarted, 10, confirmation(request_id, 0, 0));
    assert_eq!(restarted.serving_status_at(ms(20)), ServingStatus::Waiting);
    deliver(&mut follower, 10, confirmation(request_id, 5, 5));
    assert_eq!(follower.serving_status_at(ms(20)), ServingStatus::Waiting);
}

#[test]
fn leave_message_is_repeated_until_the_membership_shows_it() {
    let mut follower = new_follower(1);
    let sends_leaving = |outputs: &[FollowerOutput]| {
        outputs.iter().any(|o| matches!(o, FollowerOutput::ToRegistry { message: LeaseMessage::Leaving, .. }))
    };
    let membership = |number: u64, leaving: u8| {
        let (address, zone, ops, capacity) = ("".into(), "a".into(), "".into(), Capacity::default());
        let member = Member { id: ME, incarnation: 1, address, zone, ops, leaving, hashing: HASHING_VERSION, capacity };
        let body = wire::to_bytes(&Membership { number, members: vec![member].into() });
        LeaseMessage::Membership { number, body: body.into() }
    };
    deliver(&mut follower, 0, membership(1, 0));
    assert!(sends_leaving(&follower.step(ms(10), FollowerInput::Leave)));
    assert!(sends_leaving(&tick(&mut follower, 300)) && sends_leaving(&tick(&mut follower, 600)));
    deliver(&mut follower, 700, membership(2, 1));
    assert!(!sends_leaving(&tick(&mut follower, 1000)));
}

#[test]
fn peers_confirm_only_by_a_majority_without_a_newer_epoch() {
    let mut follower = new_follower(1);
    let request_id = renewals(&tick(&mut follower, 0))[0];
    deliver(&mut follower, 5, confirmation(request_id, 0, 0));
    deliver(&mut follower, 6, stage(1));
    deliver(&mut follower, 7, LeaseMessage::Activate { number: 1 });
    let request_id = renewals(&tick(&mut follower, 10))[0];
    deliver(&mut follower, 15, confirmation(request_id, 1, 1));
    let mut last_peer_request = |at: u64| {
        let outputs = tick(&mut follower, at);
        let request_id_to_peer = outputs.iter().find_map(|o| match o {
            FollowerOutput::ToPeer { message: LeaseMessage::PeerRequest { request_id, .. }, .. } => Some(*request_id),
            _ => None,
        });
        request_id_to_peer.expect("without the core, the router sends requests to its peers")
    };
    let first = last_peer_request(3000);
    let peer_reply = |request_id, latest| LeaseMessage::PeerReply { request_id, active: 1, latest, membership: 0 };
    follower.step(ms(3001), FollowerInput::Peer { from: 8, message: peer_reply(first, 2) });
    assert_eq!(follower.serving_status_at(ms(3002)), ServingStatus::Waiting);
    follower.step(ms(3003), FollowerInput::Peer { from: 55, message: peer_reply(first, 1) });
    assert_eq!(
        follower.serving_status_at(ms(3004)),
        ServingStatus::Waiting,
        "a reply from outside the quorum does not count"
    );
    follower.step(ms(3005), FollowerInput::Peer { from: 7, message: peer_reply(first, 1) });
    assert_eq!(follower.serving_status_at(ms(3006)), ServingStatus::ByPeers);
    assert_eq!(
        follower.serving_status_at(ms(3200)),
        ServingStatus::Waiting,
        "a confirmation by peers ends 200 ms after its request"
    );
}

#[test]
fn renewals_go_to_all_registries_once_the_tail_says_it_is_none() {
    let mut follower = new_follower(1);
    let renewal_ids = renewals(&tick(&mut follower, 0));
    deliver(&mut follower, 5, confirmation(renewal_ids[0], 0, 0));
    assert_eq!(renewals(&tick(&mut follower, 10)), [], "the next renewal is not due");
    deliver(&mut follower, 20, LeaseMessage::RegistryAddresses { addresses: Vec::new().into() });
    let to_all = tick(&mut follower, 30)
        .into_iter()
        .any(|output| matches!(output, FollowerOutput::ToRegistry { to: None, message: LeaseMessage::Renew { .. } }));
    assert!(to_all);
    deliver(&mut follower, 40, LeaseMessage::RegistryAddresses { addresses: Vec::new().into() });
    assert_eq!(renewals(&tick(&mut follower, 50)), [], "a repeated message causes no further renewal");
}
