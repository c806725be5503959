//! Tests of receiving packed parts over a network that loses and duplicates them, by seed. The staged epoch must equal
//! the packed one, and the follower must not request more than one part ahead.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wire::{Compressed, ConfigurationEpoch, ConfigurationItem, LeaseMessage, compress, to_bytes};

const TAIL: u64 = 1;
const PART: usize = 700;

fn packed_epoch(rng: &mut ChaCha8Rng, number: u64, count: usize) -> Compressed {
    let value = |rng: &mut ChaCha8Rng| (0..40).map(|_| rng.random::<u8>()).collect::<Vec<u8>>();
    let items: Vec<ConfigurationItem> = (0..count)
        .map(|n| ConfigurationItem {
            key: format!("functions/t/f{n}").as_str().into(),
            is_removed: 0,
            value: value(rng).into(),
        })
        .collect();
    compress(&to_bytes(&ConfigurationEpoch { number, revision: number, quorum: vec![9].into(), items: items.into() }))
}

fn part(request_id: u64, full: bool, number: u64, packed_epoch: &Compressed, offset: u32) -> LeaseMessage {
    let bytes = packed_epoch.bytes.slice(offset as usize, PART);
    let (size, total) = (packed_epoch.size, packed_epoch.bytes.len() as u32);
    LeaseMessage::Part { request_id, full: full as u8, number, size, compressed_size: total, offset, bytes }
}

/// Simulates the core over an unreliable network that drops a fifth and duplicates a fifth of the answers. Returns when the epoch was staged or activated, in milliseconds.
fn deliver(
    rng: &mut ChaCha8Rng,
    follower: &mut Follower,
    first: Option<LeaseMessage>,
    number: u64,
    packed_epoch: &Compressed,
) -> u64 {
    let mut incoming = Vec::new();
    for at in (0..20_000).step_by(10) {
        let now = Duration::from_millis(at);
        // The first message is repeated every 700 ms, as the core does.
        incoming.extend(first.clone().filter(|_| at % 700 == 0));
        let mut outputs = follower.step(now, FollowerInput::Tick);
        for message in std::mem::take(&mut incoming) {
            outputs.extend(follower.step(now, FollowerInput::Registry { from: TAIL, message }));
        }
        let mut requested_parts = 0;
        for output in outputs {
            let FollowerOutput::ToRegistry { message, .. } = output else { continue };
            match message {
                LeaseMessage::PartRequest { request_id, full, offset, .. } => {
                    requested_parts += 1;
                    let copies = [0, 2, 1, 1, 1][rng.random_range(0..5)];
                    incoming.extend((0..copies).map(|_| part(request_id, full != 0, number, packed_epoch, offset)));
                }
                LeaseMessage::Staged { number: staged } if staged == number => return at,
                LeaseMessage::Renew { request_id, .. } => {
                    incoming.push(LeaseMessage::Proof { request_id, active: number - 1, latest: number, is_member: 1 })
                }
                _ => {}
            }
        }
        assert!(requested_parts <= 2, "at most one part ahead, and one repeat for a duplicate");
        if follower.active_epoch() == number {
            return at;
        }
    }
    panic!("epoch {number} never arrived");
}

#[test]
fn epoch_arrives_complete_over_an_unreliable_network() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut follower = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
        let epoch = packed_epoch(&mut rng, 1, 100);
        let first = part(0, false, 1, &epoch, 0);
        deliver(&mut rng, &mut follower, Some(first), 1, &epoch);
        assert_eq!(follower.staged_epoch(), 1, "seed {seed}");
        follower.step(
            Duration::from_secs(30),
            FollowerInput::Registry { from: TAIL, message: LeaseMessage::Activate { number: 1 } },
        );
        assert_eq!(follower.resources().count(), 100, "seed {seed}");
    }
}

#[test]
fn outdated_router_fetches_the_complete_configuration_in_parts() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut follower = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
        let full = packed_epoch(&mut rng, 7, 80);
        // The first confirmation names an epoch that the follower lacks, so it begins a fetch.
        let renewed = follower.step(Duration::ZERO, FollowerInput::Tick);
        let request_id = renewed.iter().find_map(|output| match output {
            FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } => Some(*request_id),
            _ => None,
        });
        let message = LeaseMessage::Proof {
            request_id: request_id.expect("the follower renews at once"),
            active: 7,
            latest: 7,
            is_member: 1,
        };
        let outputs = follower.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message });
        let fetch = outputs.iter().find_map(|output| match output {
            FollowerOutput::ToRegistry {
                message: LeaseMessage::PartRequest { request_id, full: 1, offset: 0, .. },
                ..
            } => Some(*request_id),
            _ => None,
        });
        let first = part(fetch.expect("the follower begins a fetch"), true, 7, &full, 0);
        deliver(&mut rng, &mut follower, Some(first), 7, &full);
        assert_eq!((follower.active_epoch(), follower.resources().count()), (7, 80), "seed {seed}");
    }
}

#[test]
fn part_with_a_wrong_size_stages_nothing() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut follower = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
    let valid = packed_epoch(&mut rng, 1, 4);
    for size in [valid.size - 1, valid.size + 1, u32::MAX] {
        let wrong_size = part(0, false, 1, &Compressed { size, ..valid.clone() }, 0);
        follower.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message: wrong_size });
        assert_eq!(follower.staged_epoch(), 0);
    }
    follower.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message: part(0, false, 1, &valid, 0) });
    assert_eq!(follower.staged_epoch(), 1);
}
