//! Packed parts as a follower takes them: lost, twice, late or of another step, by seed; what is staged in
//! the end is what was packed, and no more than one part is ever asked for ahead.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wire::{Compressed, ConfigurationEpoch, ConfigurationItem, LeaseMessage, compress, to_bytes};

const TAIL: u64 = 1;
const PART: usize = 700;

fn packed(dice: &mut ChaCha8Rng, number: u64, count: usize) -> Compressed {
    let value = |dice: &mut ChaCha8Rng| (0..40).map(|_| dice.random::<u8>()).collect::<Vec<u8>>();
    let items: Vec<ConfigurationItem> = (0..count)
        .map(|n| ConfigurationItem {
            key: format!("functions/t/f{n}").as_str().into(),
            is_removed: 0,
            value: value(dice).into(),
        })
        .collect();
    compress(&to_bytes(&ConfigurationEpoch { number, revision: number, quorum: vec![9].into(), items: items.into() }))
}

fn part(request_id: u64, full: bool, number: u64, packed: &Compressed, offset: u32) -> LeaseMessage {
    let bytes = packed.bytes.slice(offset as usize, PART);
    let (size, total) = (packed.size, packed.bytes.len() as u32);
    LeaseMessage::Part { request_id, full: full as u8, number, size, packed: total, offset, bytes }
}

/// The core's side over a bad network: answers what is asked, drops a fifth, says a fifth twice.
fn play(
    dice: &mut ChaCha8Rng,
    one: &mut Follower,
    first: Option<LeaseMessage>,
    number: u64,
    packed: &Compressed,
) -> u64 {
    let mut coming = Vec::new();
    for at in (0..20_000).step_by(10) {
        let now = Duration::from_millis(at);
        // Offered anew now and then, as the core does.
        coming.extend(first.clone().filter(|_| at % 700 == 0));
        let mut outs = one.step(now, FollowerInput::Tick);
        for message in std::mem::take(&mut coming) {
            outs.extend(one.step(now, FollowerInput::Registry { from: TAIL, message }));
        }
        let mut requested_at = 0;
        for out in outs {
            let FollowerOutput::ToRegistry { message, .. } = out else { continue };
            match message {
                LeaseMessage::PartRequest { request_id, full, offset, .. } => {
                    requested_at += 1;
                    let times = [0, 2, 1, 1, 1][dice.random_range(0..5)];
                    coming.extend((0..times).map(|_| part(request_id, full != 0, number, packed, offset)));
                }
                LeaseMessage::Staged { number: staged } if staged == number => return at,
                LeaseMessage::Renew { request_id, .. } => {
                    coming.push(LeaseMessage::Proof { request_id, active: number - 1, latest: number, member: 1 })
                }
                _ => {}
            }
        }
        assert!(requested_at <= 2, "one part ahead, and once more what was said twice");
        if one.step_number() == number {
            return at;
        }
    }
    panic!("step {number} never arrived");
}

#[test]
fn a_step_arrives_complete_over_a_bad_network() {
    for seed in 0..40 {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let mut one = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
        let step = packed(&mut dice, 1, 100);
        let first = part(0, false, 1, &step, 0);
        play(&mut dice, &mut one, Some(first), 1, &step);
        assert_eq!(one.staged_number(), 1, "seed {seed}");
        one.step(
            Duration::from_secs(30),
            FollowerInput::Registry { from: TAIL, message: LeaseMessage::Activate { number: 1 } },
        );
        assert_eq!(one.pairs().count(), 100, "seed {seed}");
    }
}

#[test]
fn a_router_that_is_behind_takes_the_complete_configuration_in_parts() {
    for seed in 0..40 {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let mut one = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
        let full = packed(&mut dice, 7, 80);
        // The first proof names a step it has not: it begins to fetch.
        let renewed = one.step(Duration::ZERO, FollowerInput::Tick);
        let request_id = renewed.iter().find_map(|out| match out {
            FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } => Some(*request_id),
            _ => None,
        });
        let message =
            LeaseMessage::Proof { request_id: request_id.expect("it renews at once"), active: 7, latest: 7, member: 1 };
        let outs = one.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message });
        let fetch = outs.iter().find_map(|out| match out {
            FollowerOutput::ToRegistry {
                message: LeaseMessage::PartRequest { request_id, full: 1, offset: 0, .. },
                ..
            } => Some(*request_id),
            _ => None,
        });
        let first = part(fetch.expect("it fetches"), true, 7, &full, 0);
        play(&mut dice, &mut one, Some(first), 7, &full);
        assert_eq!((one.step_number(), one.pairs().count()), (7, 80), "seed {seed}");
    }
}

#[test]
fn a_part_that_lies_about_its_size_stages_nothing() {
    let mut dice = ChaCha8Rng::seed_from_u64(1);
    let mut one = Follower::new(9, 1, "10.0.1.1:1", "a", "", FollowerTiming::default());
    let honest = packed(&mut dice, 1, 4);
    for size in [honest.size - 1, honest.size + 1, u32::MAX] {
        let lie = part(0, false, 1, &Compressed { size, ..honest.clone() }, 0);
        one.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message: lie });
        assert_eq!(one.staged_number(), 0);
    }
    one.step(Duration::ZERO, FollowerInput::Registry { from: TAIL, message: part(0, false, 1, &honest, 0) });
    assert_eq!(one.staged_number(), 1);
}
