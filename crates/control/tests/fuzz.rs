//! Randomly corrupted entries and configurations: applying them never panics, the same entry on the same state always
//! has the same effect, and no invalid configuration ever becomes the latest.

use chain::State;
use control::{apply, read_number};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Command, CommandReply, ConfigurationItem, from_bytes, to_bytes};

fn binding(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let text = format!(
        r#"{{"route":"/t{}/f{}","function":"f{}","class":"once","max":{}}}"#,
        rng.random_range(0..3),
        rng.random_range(0..9),
        rng.random_range(0..9),
        rng.random_range(0..30)
    );
    let mut bytes = text.into_bytes();
    if rng.random_ratio(1, 3) {
        let index = rng.random_range(0..bytes.len());
        bytes[index] = rng.random();
    }
    bytes
}

fn command(rng: &mut ChaCha8Rng, round: u64) -> Command {
    let tenant = rng.random_range(0..3);
    match rng.random_range(0..8) {
        0..=2 => {
            let key = format!("function-bindings/t{tenant}/b{}", rng.random_range(0..6));
            let gone = rng.random_ratio(1, 5) as u8;
            let item = ConfigurationItem { key: key.into(), is_removed: gone, value: binding(rng).into() };
            let full = rng.random_ratio(1, 10) as u8;
            Command::Change {
                op: format!("op{round}").into(),
                base: rng.random_range(0..40),
                is_any_base: rng.random_ratio(3, 4) as u8,
                replaces_scope: full,
                scope: if rng.random_bool(0.5) { format!("t{tenant}").into() } else { "".into() },
                items: vec![item].into(),
            }
        }
        3 => Command::Activate { epoch: rng.random_range(0..60) },
        4 => Command::Claim {
            scope: format!("k{}", rng.random_range(0..20)).into(),
            digest: vec![rng.random_range(0..2)].into(),
            member: rng.random_range(0..3),
            incarnation: 1,
            request_id: rng.random_range(0..50),
        },
        5 => Command::Release {
            scope: format!("k{}", rng.random_range(0..20)).into(),
            member: rng.random_range(0..3),
            incarnation: 1,
            request_id: rng.random_range(0..50),
        },
        6 => Command::Tick { number: rng.random_range(0..80) },
        _ => Command::Join {
            id: rng.random_range(0..5),
            incarnation: rng.random_range(0..3),
            address: "".into(),
            zone: "a".into(),
            ops: "".into(),
        },
    }
}

#[test]
fn random_entries_keep_the_state_valid() {
    for seed in 0..6 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = State::new();
        let mut changed = 0;
        for round in 0..3000u64 {
            let mut body = to_bytes(&command(&mut rng, round));
            if rng.random_ratio(1, 6) {
                let index = rng.random_range(0..body.len());
                body[index] ^= 1 << rng.random_range(0..8);
            }
            let (first, second) = (apply(&state, round, &body), apply(&state, round, &body));
            assert!(first.changes == second.changes && first.reply == second.reply, "seed {seed} round {round}");
            let reply = from_bytes::<CommandReply>(&first.reply).expect("every entry has a reply");
            changed += u32::from(matches!(reply, CommandReply::Changed { .. }));
            first.changes.iter().for_each(|change| change.apply_to(&mut state));
            let latest = state.iter().filter_map(|(key, value)| Some((key.strip_prefix("l/")?, &value[..])));
            let faults = bindings::check(latest);
            assert!(faults.is_empty(), "seed {seed} round {round}: {faults:?}");
            assert!(read_number(&state, "c/active") <= read_number(&state, "c/latest"));
        }
        assert!(changed > 100, "seed {seed}: only {changed} changes were accepted");
    }
}
