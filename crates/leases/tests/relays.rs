//! Tests of a large fleet without its core. All routers keep serving through a few relays that query a majority, with
//! far fewer messages than if all queried all, also after relays fail. No router serves once more than half hold a
//! newer epoch.

use leases::{
    Follower, FollowerInput, FollowerOutput, FollowerTiming, HASHING_VERSION, Member, Membership, ServingStatus,
};
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
    last_ticks: BTreeMap<NodeId, Duration>,
    failed: Vec<NodeId>,
    has_core: bool,
    now: Duration,
    messages: u64,
    rng: ChaCha8Rng,
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
        let member = |id: NodeId| Member {
            id,
            incarnation: 1,
            address: "".into(),
            zone: "a".into(),
            ops: "".into(),
            leaving: 0,
            hashing: HASHING_VERSION,
            capacity: Capacity { processor_milli: if id <= 6 { 260 } else { 62 }, link_kbit: 2000 },
        };
        let membership = Membership { number: 1, members: (1..=COUNT).map(member).collect::<Vec<_>>().into() };
        let mut fleet = Fleet {
            members: BTreeMap::new(),
            frames: Vec::new(),
            last_ticks: BTreeMap::new(),
            failed: Vec::new(),
            has_core: true,
            now: Duration::ZERO,
            messages: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for id in 1..=COUNT {
            fleet.members.insert(id, Follower::new(id, 1, "", "a", "", FollowerTiming::default()));
            let change = membership.change_since(&Membership::default());
            let packed = wire::compress(&wire::to_bytes(&change));
            let (size, body) = (packed.size, packed.bytes);
            fleet.deliver(id, TAIL, LeaseMessage::MembershipChange { since: 0, number: 1, size, body });
            fleet.deliver(id, TAIL, stage(1));
            fleet.deliver(id, TAIL, LeaseMessage::Activate { number: 1 });
        }
        fleet.advance(600);
        fleet
    }

    fn deliver(&mut self, to: NodeId, from: NodeId, message: LeaseMessage) {
        let input = match message.is_from_peer() {
            true => FollowerInput::Peer { from, message },
            false => FollowerInput::Registry { from, message },
        };
        self.step_member(to, input);
    }

    fn step_member(&mut self, id: NodeId, input: FollowerInput) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id).filter(|_| !self.failed.contains(&id)) else { return };
        for output in member.step(now, input) {
            let delay = Duration::from_micros(self.rng.random_range(200..6000));
            match output {
                FollowerOutput::ToPeer { to, message } => {
                    self.messages += 1;
                    self.frames.push((now + delay, id, to, message));
                }
                FollowerOutput::ToRegistry { message: LeaseMessage::Renew { request_id, .. }, .. } if self.has_core => {
                    let confirmation = LeaseMessage::Proof { request_id, active: 1, latest: 1, is_member: 1 };
                    self.frames.push((now + delay, TAIL, id, confirmation));
                }
                _ => {}
            }
        }
    }

    /// Advances the time in steps of 2 ms. Each member ticks when its work is due, at intervals of 10 to 250 ms.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 2 {
            self.now += Duration::from_millis(2);
            let now = self.now;
            let mut ready: Vec<_> = self.frames.extract_if(.., |(at, ..)| *at <= now).collect();
            ready.sort_by_key(|(at, ..)| *at);
            ready.into_iter().for_each(|(_, from, to, message)| self.deliver(to, from, message));
            for id in 1..=COUNT {
                let last_tick = self.last_ticks.get(&id).copied().unwrap_or_default();
                if now
                    >= self.members[&id]
                        .due()
                        .clamp(last_tick + Duration::from_millis(10), last_tick + Duration::from_millis(250))
                {
                    self.last_ticks.insert(id, now);
                    self.step_member(id, FollowerInput::Tick);
                }
            }
        }
    }

    fn serving(&mut self) -> usize {
        let (now, failed) = (self.now, self.failed.clone());
        let live = self.members.iter_mut().filter(|(id, _)| !failed.contains(id));
        live.filter(|(_, member)| now < member.serves_until()).count()
    }
}

#[test]
fn without_the_core_all_serve_with_few_messages() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        assert_eq!(fleet.serving(), 79);
        fleet.has_core = false;
        fleet.advance(2000);
        let before = fleet.messages;
        for _ in 0..100 {
            fleet.advance(10);
            assert_eq!(fleet.serving(), 79, "seed {seed} at {:?}", fleet.now);
        }
        let messages = fleet.messages - before;
        assert!(messages < 8000, "seed {seed}: {messages} messages in a second; 246,480 if all query all");
    }
}

#[test]
fn failed_relays_are_replaced() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        fleet.has_core = false;
        fleet.advance(2000);
        fleet.failed = vec![1, 2, 40, 41, 42, 43, 44];
        fleet.advance(700);
        let mut gaps = 0;
        for _ in 0..50 {
            fleet.advance(10);
            gaps += 72 - fleet.serving();
        }
        assert_eq!(gaps, 0, "seed {seed}");
    }
}

#[test]
fn no_router_serves_once_more_than_half_hold_a_newer_epoch() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        fleet.has_core = false;
        fleet.advance(2000);
        for id in 1..=40 {
            fleet.deliver(id, TAIL, stage(2));
        }
        fleet.advance(230);
        assert_eq!(fleet.serving(), 0, "seed {seed}");
        fleet.advance(1000);
        let now = fleet.now;
        assert!(
            fleet.members.values_mut().all(|member| member.serving_status_at(now) == ServingStatus::Waiting),
            "seed {seed}"
        );
    }
}
