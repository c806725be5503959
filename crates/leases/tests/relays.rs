//! A large fleet without its core: all go on serving through a few who ask a majority, with far fewer words
//! than if all asked all, whoever of the relays is lost; and nobody serves once a newer step is held by
//! more than half.

use leases::{Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING, Member, Membership, ServingStatus};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::{Capacity, ConfigurationEpoch, LeaseMessage, NodeId};

const COUNT: NodeId = 79;
const TAIL: NodeId = 1000;

struct Fleet {
    members: BTreeMap<NodeId, Follower>,
    frames: Vec<(Duration, NodeId, NodeId, LeaseMessage)>,
    due: BTreeMap<NodeId, Duration>,
    lost: Vec<NodeId>,
    core: bool,
    now: Duration,
    words: u64,
    dice: ChaCha8Rng,
}

fn stage(number: u64) -> LeaseMessage {
    LeaseMessage::Stage {
        epoch: ConfigurationEpoch {
            number,
            revision: number,
            quorum: (1..=COUNT).collect::<Vec<_>>().into(),
            items: Vec::new().into(),
        },
    }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let line = |id: NodeId| Member {
            id,
            incarnation: 1,
            address: "".into(),
            zone: "a".into(),
            ops: "".into(),
            leaving: 0,
            hashing: HASHING,
            capacity: Capacity { processor_milli: if id <= 6 { 260 } else { 62 }, link_kbit: 2000 },
        };
        let membership = Membership { number: 1, members: (1..=COUNT).map(line).collect::<Vec<_>>().into() };
        let mut fleet = Fleet {
            members: BTreeMap::new(),
            frames: Vec::new(),
            due: BTreeMap::new(),
            lost: Vec::new(),
            core: true,
            now: Duration::ZERO,
            words: 0,
            dice: ChaCha8Rng::seed_from_u64(seed),
        };
        for id in 1..=COUNT {
            fleet.members.insert(id, Follower::new(id, 1, "", "a", "", FollowerTiming::default()));
            let change = membership.change_since(&Membership::default());
            let packed = wire::compress(&wire::to_bytes(&change));
            let (size, body) = (packed.size, packed.bytes);
            fleet.tell(id, TAIL, LeaseMessage::MembershipChange { since: 0, number: 1, size, body });
            fleet.tell(id, TAIL, stage(1));
            fleet.tell(id, TAIL, LeaseMessage::Activate { number: 1 });
        }
        fleet.pass(600);
        fleet
    }

    fn tell(&mut self, to: NodeId, from: NodeId, message: LeaseMessage) {
        let input = match message.is_from_peer() {
            true => FollowerInput::Peer { from, message },
            false => FollowerInput::Registry { from, message },
        };
        self.feed(to, input);
    }

    fn feed(&mut self, id: NodeId, input: FollowerInput) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id).filter(|_| !self.lost.contains(&id)) else { return };
        for out in member.step(now, input) {
            let wait = Duration::from_micros(self.dice.random_range(200..6000));
            match out {
                FollowerOutput::ToPeer { to, message } => {
                    self.words += 1;
                    self.frames.push((now + wait, id, to, message));
                }
                FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } if self.core => {
                    let proof = LeaseMessage::Proof { request_id, active: 1, latest: 1, member: 1 };
                    self.frames.push((now + wait, TAIL, id, proof));
                }
                _ => {}
            }
        }
    }

    /// In steps of 2 ms; each member ticks when it says that something is due, 10 ms apart at least.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 2 {
            self.now += Duration::from_millis(2);
            let now = self.now;
            let mut ready: Vec<_> = self.frames.extract_if(.., |(at, ..)| *at <= now).collect();
            ready.sort_by_key(|(at, ..)| *at);
            ready.into_iter().for_each(|(_, from, to, message)| self.tell(to, from, message));
            for id in 1..=COUNT {
                let ticked = self.due.get(&id).copied().unwrap_or_default();
                if now
                    >= self.members[&id]
                        .due()
                        .clamp(ticked + Duration::from_millis(10), ticked + Duration::from_millis(250))
                {
                    self.due.insert(id, now);
                    self.feed(id, FollowerInput::Tick);
                }
            }
        }
    }

    fn serving(&mut self) -> usize {
        let (now, lost) = (self.now, self.lost.clone());
        let live = self.members.iter_mut().filter(|(id, _)| !lost.contains(id));
        live.filter(|(_, member)| now < member.serves_until()).count()
    }
}

#[test]
fn without_the_core_all_serve_on_few_words() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        assert_eq!(fleet.serving(), 79);
        fleet.core = false;
        fleet.pass(2000);
        let before = fleet.words;
        for _ in 0..100 {
            fleet.pass(10);
            assert_eq!(fleet.serving(), 79, "seed {seed} at {:?}", fleet.now);
        }
        let words = fleet.words - before;
        assert!(words < 8000, "seed {seed}: {words} words in a second; all asking all says 246,480");
    }
}

#[test]
fn relays_that_are_lost_are_gone_round() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        fleet.core = false;
        fleet.pass(2000);
        fleet.lost = vec![1, 2, 40, 41, 42, 43, 44];
        fleet.pass(700);
        let mut gaps = 0;
        for _ in 0..50 {
            fleet.pass(10);
            gaps += 72 - fleet.serving();
        }
        assert_eq!(gaps, 0, "seed {seed}");
    }
}

#[test]
fn nobody_is_proved_once_more_than_half_hold_a_newer_step() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        fleet.core = false;
        fleet.pass(2000);
        for id in 1..=40 {
            fleet.tell(id, TAIL, stage(2));
        }
        fleet.pass(230);
        assert_eq!(fleet.serving(), 0, "seed {seed}");
        fleet.pass(1000);
        let now = fleet.now;
        assert!(
            fleet.members.values_mut().all(|member| member.serving_status_at(now) == ServingStatus::Waiting),
            "seed {seed}"
        );
    }
}
