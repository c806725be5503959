//! Entries and configurations bent at random: applying them never panics, the same entry on the
//! same state always does the same, and nothing invalid ever becomes the latest.

use chain::State;
use control::{apply, number};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Command, CommandReply, ConfigurationItem, from_bytes, to_bytes};

fn binding(dice: &mut ChaCha8Rng) -> Vec<u8> {
    let text = format!(
        r#"{{"route":"/t{}/f{}","function":"f{}","class":"once","max":{}}}"#,
        dice.random_range(0..3),
        dice.random_range(0..9),
        dice.random_range(0..9),
        dice.random_range(0..30)
    );
    let mut bytes = text.into_bytes();
    if dice.random_ratio(1, 3) {
        let place = dice.random_range(0..bytes.len());
        bytes[place] = dice.random();
    }
    bytes
}

fn command(dice: &mut ChaCha8Rng, round: u64) -> Command {
    let tenant = dice.random_range(0..3);
    match dice.random_range(0..8) {
        0..=2 => {
            let key = format!("function-bindings/t{tenant}/b{}", dice.random_range(0..6));
            let gone = dice.random_ratio(1, 5) as u8;
            let item = ConfigurationItem { key: key.into(), is_removed: gone, value: binding(dice).into() };
            let full = dice.random_ratio(1, 10) as u8;
            Command::Change {
                op: format!("op{round}").into(),
                base: dice.random_range(0..40),
                is_any_base: dice.random_ratio(3, 4) as u8,
                replaces_scope: full,
                scope: if dice.random_bool(0.5) { format!("t{tenant}").into() } else { "".into() },
                items: vec![item].into(),
            }
        }
        3 => Command::Activate { epoch: dice.random_range(0..60) },
        4 => Command::Claim {
            scope: format!("k{}", dice.random_range(0..20)).into(),
            digest: vec![dice.random_range(0..2)].into(),
            member: dice.random_range(0..3),
            incarnation: 1,
            request_id: dice.random_range(0..50),
        },
        5 => Command::Release {
            scope: format!("k{}", dice.random_range(0..20)).into(),
            member: dice.random_range(0..3),
            incarnation: 1,
            request_id: dice.random_range(0..50),
        },
        6 => Command::Tick { number: dice.random_range(0..80) },
        _ => Command::Join {
            id: dice.random_range(0..5),
            incarnation: dice.random_range(0..3),
            address: "".into(),
            zone: "a".into(),
            ops: "".into(),
        },
    }
}

#[test]
fn entries_at_random_keep_the_state_sound() {
    for seed in 0..6 {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::new();
        let mut changed = 0;
        for round in 0..3000u64 {
            let mut body = to_bytes(&command(&mut dice, round));
            if dice.random_ratio(1, 6) {
                let place = dice.random_range(0..body.len());
                body[place] ^= 1 << dice.random_range(0..8);
            }
            let (one, two) = (apply(&state, round, &body), apply(&state, round, &body));
            assert!(one.changes == two.changes && one.reply == two.reply, "seed {seed} round {round}");
            let reply = from_bytes::<CommandReply>(&one.reply).expect("every entry has a receipt");
            changed += u32::from(matches!(reply, CommandReply::Changed { .. }));
            one.changes.iter().for_each(|change| change.apply_to(&mut state));
            let latest = state.iter().filter_map(|(key, value)| Some((key.strip_prefix("l/")?, &value[..])));
            let faults = bindings::check(latest);
            assert!(faults.is_empty(), "seed {seed} round {round}: {faults:?}");
            assert!(number(&state, "c/active") <= number(&state, "c/latest"));
        }
        assert!(changed > 100, "seed {seed}: only {changed} changes were taken");
    }
}
