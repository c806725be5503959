//! The check of a whole configuration, fault by fault.

use bindings::{check, check_name};

#[test]
fn every_fault_of_a_complete_configuration_is_reported_with_its_path() {
    let pairs: Vec<(&str, &[u8])> = vec![
        ("function-bindings/a/x", br#"{"route":"/a/x","function":"x","class":"once"}"#),
        ("function-bindings/b/y", br#"{"route":"/a/x","function":"y","class":"ordinary","deadline_ms":0}"#),
        ("function-bindings/b/z", br#"{"route":"/b/z","function":"z","class":"sometimes"}"#),
        ("headcount-plans/b/y", br#"{"min":3,"max":1}"#),
        ("weight-sheets/b/y", br#"{"time_discount":0,"tuning":{"target_usage":{"least":0.9,"most":0.3}}}"#),
        ("weight-sheets/b/z", br#"{"tuning":{"sla_hard":{"most":-1}}}"#),
    ];
    let paths: Vec<String> = check(pairs.into_iter()).into_iter().map(|fault| fault.path).collect();
    let expected = [
        "function-bindings/b/y/deadline_ms",
        "function-bindings/b/y/route",
        "function-bindings/b/z",
        "headcount-plans/b/y/min",
        "weight-sheets/b/y/time_discount",
        "weight-sheets/b/y/tuning/target_usage/least",
        "weight-sheets/b/z/tuning/sla_hard/most",
    ];
    assert_eq!(paths, expected);
}

fn paths(pairs: &[(&str, &str)]) -> Vec<String> {
    check(pairs.iter().map(|(key, value)| (*key, value.as_bytes()))).into_iter().map(|fault| fault.path).collect()
}

#[test]
fn functions_shares_hosts_and_bounds_are_checked_together() {
    let bind = |more: &str| format!(r#"{{"class":"single",{more}}}"#);
    let one = bind(r#""host":"a.example","route":"/x/","function":"f","declared":true"#);
    let same = bind(r#""host":"A.example:80","route":"/x/","function":"g","declared":true"#);
    let other = bind(r#""host":"b.example","route":"/x/","shares":{"f":1,"gone":2},"declared":true"#);
    let nothing = bind(r#""route":"/n/","shares":{"f":0,"h":0}"#);
    let below = bind(r#""route":"/b/","shares":{"f":-1,"h":2}"#);
    let bare = bind(r#""route":"/""#);
    let limits = bind(r#""route":"//a/%20/","function":"f","deadline_ms":600001,"attempts":0"#);
    let found = paths(&[
        ("bounds/t/one", r#"{"head_ms":0}"#),
        ("bounds/t/two", "{}"),
        ("function-bindings/t/a", &one),
        ("function-bindings/t/b", &same),
        ("function-bindings/t/c", &other),
        ("function-bindings/t/d", &nothing),
        ("function-bindings/t/e", &below),
        ("function-bindings/t/f", &bare),
        ("function-bindings/t/g", &limits),
        ("functions/t/f", r#"{"boot_ms":900,"instance_limit":6}"#),
        ("functions/t/i", r#"{"instance_limit":0,"connections":0,"min":4,"max":3}"#),
        ("functions/u/gone", "{}"),
    ]);
    let expected = [
        "bounds/t/one/head_ms",
        "bounds/t/two",
        "function-bindings/t/b/route",
        "function-bindings/t/d/shares",
        "function-bindings/t/e/shares",
        "function-bindings/t/f/function",
        "function-bindings/t/g/deadline_ms",
        "function-bindings/t/g/attempts",
        "functions/t/i/instance_limit",
        "functions/t/i/connections",
        "functions/t/i/min",
        "function-bindings/t/b/function",
        "function-bindings/t/c/function",
    ];
    assert_eq!(found, expected);
}

#[test]
fn names_are_of_plain_characters() {
    let long = "x".repeat(128);
    assert!(["a", "r-2bsp73y", "A.b_C-9", &long].iter().all(|name| check_name(name)));
    let longer = "x".repeat(129);
    assert!(["", "a b", "a/b", "\u{17e}", "a%", &longer].iter().all(|name| !check_name(name)));
}

#[test]
fn a_consumer_that_cannot_be_read_tells_no_key() {
    for value in [r#"{"keys":"secret-1"}"#, r#"{"keys":[],"secret-2":1}"#, r#"{"rank":"secret-3"}"#] {
        let faults = check([("consumers/t/a", value.as_bytes())].into_iter());
        assert_eq!((faults.len(), faults[0].path.as_str()), (1, "consumers/t/a"));
        assert!(!faults[0].fault.contains("secret"), "{faults:?}");
    }
}

#[test]
fn consumers_keys_and_limits_are_checked_and_no_key_is_told() {
    let consumer = |keys: &str, more: &str| format!(r#"{{"keys":[{keys}]{more}}}"#);
    let first = consumer(r#""secret-1","secret-2""#, "");
    let sharing = consumer(r#""secret-3","secret-2""#, "");
    let empty = consumer(r#""""#, r#","rate_per_s":-1,"burst":-0.5"#);
    let unknown = consumer("", r#","colour":"red""#);
    let pairs = [
        ("consumers/t/a", first.as_str()),
        ("consumers/t/b", sharing.as_str()),
        ("consumers/t/c", empty.as_str()),
        ("consumers/t/d", unknown.as_str()),
    ];
    let expected = [
        "consumers/t/b/keys",
        "consumers/t/c/keys",
        "consumers/t/c/rate_per_s",
        "consumers/t/c/burst",
        "consumers/t/d",
    ];
    assert_eq!(paths(&pairs), expected);
    let faults = check(pairs.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert!(faults.iter().all(|fault| !fault.fault.contains("secret")), "{faults:?}");
}
