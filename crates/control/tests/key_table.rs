//! Model test of the run-once keys: random claims, releases, recorded answers and ticks, duplicated and reordered, with
//! members that lapse. Within its window a key is granted to at most one claimant, unless that claimant releases it.

use chain::State;
use control::apply;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use wire::{ClaimState, Command, CommandReply, Text, from_bytes, to_bytes};

const KEYS: u64 = 5;
const MEMBERS: u64 = 3;
const WINDOW: u32 = 12;
const ROUNDS: u64 = 4000;

/// Holder of a key in the model, and the recorded answer.
struct HeldKey {
    claimant: (u64, u64),
    until: u64,
    answer: Option<Vec<u8>>,
}

struct Model {
    state: State,
    ticks: u64,
    held: BTreeMap<u64, HeldKey>,
    grants: u64,
}

fn scope(key: u64) -> Text {
    format!("consumer/t/c/k{key}").as_str().into()
}

fn join(id: u64) -> Command {
    Command::Join { id, incarnation: 1, address: "".into(), zone: "a".into(), ops: "".into() }
}

impl Model {
    fn new() -> Model {
        let mut model = Model { state: State::new(), ticks: 0, held: BTreeMap::new(), grants: 0 };
        (0..MEMBERS).for_each(|id| drop(model.execute(&join(id))));
        model
    }

    fn execute(&mut self, command: &Command) -> CommandReply {
        let effect = apply(&self.state, 0, &to_bytes(command));
        effect.changes.iter().for_each(|change| change.apply_to(&mut self.state));
        from_bytes(&effect.reply).expect("a reply")
    }

    fn claim(&mut self, key: u64, member: u64, request_id: u64) {
        let (digest, ticks) = (vec![1].into(), WINDOW);
        let reply = self.execute(&Command::ClaimForTicks {
            scope: scope(key),
            digest,
            member,
            incarnation: 1,
            request_id,
            ticks,
        });
        let CommandReply::Claim { state, answer } = reply else { panic!("a claim's reply") };
        let claimant = (member, request_id);
        let held = self.held.get(&key);
        match state {
            ClaimState::Granted => {
                assert!(
                    held.is_none_or(|held| held.claimant == claimant),
                    "a key was granted to two claimants within its window"
                );
                self.grants += 1;
                let until = self.ticks + u64::from(WINDOW);
                self.held.entry(key).or_insert(HeldKey { claimant, until, answer: None });
            }
            ClaimState::Answered => {
                assert_eq!(
                    held.and_then(|held| held.answer.as_deref()),
                    Some(answer.as_slice()),
                    "the answer is the first one recorded"
                );
            }
            ClaimState::Running | ClaimState::Unknown => {
                assert!(held.is_some_and(|held| held.answer.is_none() && held.claimant != claimant));
            }
            ClaimState::OtherBody | ClaimState::Full => panic!("{state:?}"),
        }
    }

    fn record(&mut self, key: u64, member: u64, request_id: u64) {
        let answer = vec![key as u8, request_id as u8];
        let recorded = answer.clone().into();
        self.execute(&Command::RecordAnswer {
            scope: scope(key),
            member,
            incarnation: 1,
            request_id,
            answer: recorded,
        });
        if let Some(held) = self.held.get_mut(&key).filter(|held| held.claimant == (member, request_id)) {
            held.answer.get_or_insert(answer);
        }
    }

    fn release(&mut self, key: u64, member: u64, request_id: u64) {
        self.execute(&Command::Release { scope: scope(key), member, incarnation: 1, request_id });
        if self.held.get(&key).is_some_and(|held| held.claimant == (member, request_id) && held.answer.is_none()) {
            self.held.remove(&key);
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.execute(&Command::Tick { number: self.ticks });
        let ticks = self.ticks;
        self.held.retain(|_, held| held.until > ticks);
    }

    fn check(&self) {
        let kept = self.state.keys().filter(|key| key.starts_with("k/")).count();
        assert_eq!(kept, self.held.len(), "the keys in the state are those of the model");
        assert_eq!(control::read_number(&self.state, "n/claims"), kept as u64, "the number of keys is correct");
    }
}

#[derive(Clone, Copy)]
enum Step {
    Claim,
    Record,
    Release,
}

#[test]
fn a_key_is_granted_to_one_claimant_within_its_window() {
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut model = Model::new();
        let mut pending_steps: Vec<(Step, u64, u64, u64)> = Vec::new();
        for round in 0..ROUNDS {
            let (key, member) = (rng.random_range(0..KEYS), rng.random_range(0..MEMBERS));
            pending_steps.push((Step::Claim, key, member, round));
            let follow_up = if rng.random_ratio(1, 3) { Step::Release } else { Step::Record };
            pending_steps.push((follow_up, key, member, round));
            if rng.random_ratio(1, 4) {
                let duplicate = *pending_steps.last().expect("the list is not empty");
                pending_steps.push(duplicate);
            }
            pending_steps.shuffle(&mut rng);
            while pending_steps.len() > 6 {
                let (step, key, member, request_id) = pending_steps.remove(0);
                match step {
                    Step::Claim => model.claim(key, member, request_id),
                    Step::Record => model.record(key, member, request_id),
                    Step::Release => model.release(key, member, request_id),
                }
                model.check();
            }
            match rng.random_range(0..12) {
                0..=2 => model.tick(),
                3 => drop(model.execute(&Command::ExpireLease { id: member, incarnation: 1 })),
                4 => drop(model.execute(&join(member))),
                _ => {}
            }
            model.check();
        }
        assert!(model.grants > 200, "seed {seed}: only {} grants", model.grants);
    }
}

#[test]
fn a_claim_without_a_window_is_kept_for_the_default_time() {
    let mut model = Model::new();
    let (scope, digest) = (scope(0), vec![1].into());
    model.execute(&Command::Claim { scope, digest, member: 1, incarnation: 1, request_id: 1 });
    (0..1799).for_each(|_| model.tick());
    assert_eq!(control::read_number(&model.state, "n/claims"), 1);
    model.tick();
    assert_eq!(control::read_number(&model.state, "n/claims"), 0);
    assert!(model.state.keys().all(|key| !key.starts_with("x/")));
}
