//! The follower's promises, one by one.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING, Member, Membership, ServingStatus};
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, ConfigurationItem, LeaseMessage};

const ME: u64 = 9;
const TAIL: u64 = 1;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn follower(incarnation: u64) -> Follower {
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

fn tell(follower: &mut Follower, at: u64, message: LeaseMessage) -> Vec<FollowerOutput> {
    follower.step(ms(at), FollowerInput::Registry { from: TAIL, message })
}

fn proof(request_id: u64, active: u64, latest: u64) -> LeaseMessage {
    LeaseMessage::Proof { request_id, active, latest, member: 1 }
}

fn step(number: u64) -> LeaseMessage {
    let item = ConfigurationItem { key: "headcount-plans/t/f".into(), is_removed: 0, value: b"{}".to_vec().into() };
    let step = ConfigurationEpoch { number, revision: number, quorum: vec![ME, 8, 7].into(), items: vec![item].into() };
    LeaseMessage::Stage { epoch: step }
}

#[test]
fn a_proof_counts_from_when_it_was_asked_and_a_staged_step_shortens_it() {
    let mut one = follower(1);
    let request_id = renewals(&tick(&mut one, 0))[0];
    tell(&mut one, 900, proof(request_id, 0, 0));
    assert_eq!(one.serving_status_at(ms(1499)), ServingStatus::ByCore);
    assert_eq!(one.serving_status_at(ms(1500)), ServingStatus::Waiting);
    let request_id = renewals(&tick(&mut one, 2000))[0];
    tell(&mut one, 2010, proof(request_id, 0, 0));
    assert_eq!(one.serving_status_at(ms(2300)), ServingStatus::ByCore);
    tell(&mut one, 2020, step(1));
    assert_eq!(one.serving_status_at(ms(2199)), ServingStatus::ByCore);
    assert_eq!(one.serving_status_at(ms(2200)), ServingStatus::Waiting);
    assert_eq!(one.serves_until(), ms(2200));
}

#[test]
fn a_proof_of_another_step_or_asked_by_another_incarnation_is_none() {
    let mut one = follower(1);
    let request_id = renewals(&tick(&mut one, 0))[0];
    let mut two = follower(2);
    assert!(renewals(&tick(&mut two, 0))[0] != request_id);
    tell(&mut two, 10, proof(request_id, 0, 0));
    assert_eq!(two.serving_status_at(ms(20)), ServingStatus::Waiting);
    tell(&mut one, 10, proof(request_id, 5, 5));
    assert_eq!(one.serving_status_at(ms(20)), ServingStatus::Waiting);
}

#[test]
fn leaving_is_said_again_until_the_membership_shows_it() {
    let mut one = follower(1);
    let says = |outputs: &[FollowerOutput]| {
        outputs.iter().any(|o| matches!(o, FollowerOutput::ToRegistry { message: LeaseMessage::Leaving, .. }))
    };
    let membership = |number: u64, leaving: u8| {
        let (address, zone, ops, capacity) = ("".into(), "a".into(), "".into(), Capacity::default());
        let line = Member { id: ME, incarnation: 1, address, zone, ops, leaving, hashing: HASHING, capacity };
        let body = wire::to_bytes(&Membership { number, members: vec![line].into() });
        LeaseMessage::Membership { number, body: body.into() }
    };
    tell(&mut one, 0, membership(1, 0));
    assert!(says(&one.step(ms(10), FollowerInput::Leave)));
    assert!(says(&tick(&mut one, 300)) && says(&tick(&mut one, 600)));
    tell(&mut one, 700, membership(2, 1));
    assert!(!says(&tick(&mut one, 1000)));
}

#[test]
fn peers_prove_only_by_a_majority_that_holds_nothing_newer() {
    let mut one = follower(1);
    let request_id = renewals(&tick(&mut one, 0))[0];
    tell(&mut one, 5, proof(request_id, 0, 0));
    tell(&mut one, 6, step(1));
    tell(&mut one, 7, LeaseMessage::Activate { number: 1 });
    let request_id = renewals(&tick(&mut one, 10))[0];
    tell(&mut one, 15, proof(request_id, 1, 1));
    let mut last_ask = |at: u64| {
        let outputs = tick(&mut one, at);
        let peer = outputs.iter().find_map(|o| match o {
            FollowerOutput::ToPeer { message: LeaseMessage::PeerRequest { request_id, .. }, .. } => Some(*request_id),
            _ => None,
        });
        peer.expect("without the core, peers are asked")
    };
    let first = last_ask(3000);
    let answer = |request_id, latest| LeaseMessage::PeerReply { request_id, active: 1, latest, membership: 0 };
    one.step(ms(3001), FollowerInput::Peer { from: 8, message: answer(first, 2) });
    assert_eq!(one.serving_status_at(ms(3002)), ServingStatus::Waiting);
    one.step(ms(3003), FollowerInput::Peer { from: 55, message: answer(first, 1) });
    assert_eq!(one.serving_status_at(ms(3004)), ServingStatus::Waiting, "a machine outside the quorum");
    one.step(ms(3005), FollowerInput::Peer { from: 7, message: answer(first, 1) });
    assert_eq!(one.serving_status_at(ms(3006)), ServingStatus::ByPeers);
    assert_eq!(one.serving_status_at(ms(3200)), ServingStatus::Waiting, "200 ms from when it was asked");
}

#[test]
fn a_tail_that_says_it_is_none_any_more_is_left_at_once_for_all_registries() {
    let mut follower = follower(1);
    let requested_at = renewals(&tick(&mut follower, 0));
    tell(&mut follower, 5, proof(requested_at[0], 0, 0));
    assert_eq!(renewals(&tick(&mut follower, 10)), [], "the next renewal is not due");
    tell(&mut follower, 20, LeaseMessage::RegistryAddresses { addresses: Vec::new().into() });
    let to_all = tick(&mut follower, 30)
        .into_iter()
        .any(|output| matches!(output, FollowerOutput::ToRegistry { to: None, message: LeaseMessage::Renew { .. } }));
    assert!(to_all);
    tell(&mut follower, 40, LeaseMessage::RegistryAddresses { addresses: Vec::new().into() });
    assert_eq!(renewals(&tick(&mut follower, 50)), [], "said again, it makes no more renewals");
}
