//! Compares the encoding of every message and record with the files in `golden/`, which were written by an earlier
//! version, before items were renamed. A failure means that other versions can't read what this version sends or
//! stores.

mod samples;

use samples::{chain_messages, forward_messages, lease_messages, plan_messages, records};
use std::fmt::Write;

/// Compares each sample's bytes with the line of the same number. `GOLDEN_WRITE=1` overwrites the file.
fn assert_golden_bytes(file: &str, samples: Vec<Vec<u8>>) {
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
    let golden = std::fs::read_to_string(&path).expect("the golden file can be read");
    let golden: Vec<&str> = golden.lines().collect();
    assert_eq!(golden.len(), lines.len(), "{file}: number of samples and lines");
    for (number, (line, expected)) in lines.iter().zip(golden).enumerate() {
        assert_eq!(line, expected, "{file}: sample {number}");
    }
}

#[test]
fn chain_messages_have_golden_bytes() {
    assert_golden_bytes("chain.hex", chain_messages());
}

#[test]
fn lease_messages_have_golden_bytes() {
    assert_golden_bytes("lease.hex", lease_messages());
}

#[test]
fn forward_messages_have_golden_bytes() {
    assert_golden_bytes("forward.hex", forward_messages());
}

#[test]
fn plan_messages_have_golden_bytes() {
    assert_golden_bytes("plan.hex", plan_messages());
}

#[test]
fn commands_replies_and_stored_records_have_golden_bytes() {
    assert_golden_bytes("records.hex", records());
}
