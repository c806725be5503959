//! The bytes of every message and record, as they travel and lie on disk: compared with the files in
//! `golden/`, which were written by the version before names were changed. A test that fails here means that
//! another version could not read what this one writes.

mod samples;

use samples::{chain_messages, forward_messages, lease_messages, plan_messages, records};
use std::fmt::Write;

/// Compares each sample's bytes with the line of its number. `GOLDEN_WRITE=1` writes the file anew.
fn compare(file: &str, samples: Vec<Vec<u8>>) {
    let path = format!("{}/tests/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let lines: Vec<String> = samples
        .iter()
        .map(|bytes| {
            bytes.iter().fold(String::new(), |mut text, byte| {
                let _ = write!(text, "{byte:02x}");
                text
            })
        })
        .collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&path, lines.join("\n") + "\n").expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("the golden file is there");
    let golden: Vec<&str> = golden.lines().collect();
    assert_eq!(golden.len(), lines.len(), "{file}: as many samples as lines");
    for (number, (line, expected)) in lines.iter().zip(golden).enumerate() {
        assert_eq!(line, expected, "{file}: sample {number}");
    }
}

#[test]
fn messages_of_the_chain_have_their_golden_bytes() {
    compare("chain.hex", chain_messages());
}

#[test]
fn messages_of_leases_have_their_golden_bytes() {
    compare("lease.hex", lease_messages());
}

#[test]
fn messages_that_forward_requests_have_their_golden_bytes() {
    compare("forward.hex", forward_messages());
}

#[test]
fn messages_of_plans_have_their_golden_bytes() {
    compare("plan.hex", plan_messages());
}

#[test]
fn commands_replies_and_stored_records_have_their_golden_bytes() {
    compare("records.hex", records());
}
