//! Faults that the check of a complete configuration reports.

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
    let paths: Vec<String> = check(pairs.into_iter()).into_iter().map(|error| error.path).collect();
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

fn error_paths(pairs: &[(&str, &str)]) -> Vec<String> {
    check(pairs.iter().map(|(key, value)| (*key, value.as_bytes()))).into_iter().map(|error| error.path).collect()
}

#[test]
fn faults_of_functions_shares_hosts_and_bounds_are_all_reported() {
    let binding = |fields: &str| format!(r#"{{"class":"single",{fields}}}"#);
    let first = binding(r#""host":"a.example","route":"/x/","function":"f","declared":true"#);
    let same_route = binding(r#""host":"A.example:80","route":"/x/","function":"g","declared":true"#);
    let other_host = binding(r#""host":"b.example","route":"/x/","shares":{"f":1,"gone":2},"declared":true"#);
    let zero_shares = binding(r#""route":"/n/","shares":{"f":0,"h":0}"#);
    let negative_share = binding(r#""route":"/b/","shares":{"f":-1,"h":2}"#);
    let without_function = binding(r#""route":"/""#);
    let invalid_limits = binding(r#""route":"//a/%20/","function":"f","deadline_ms":600001,"attempts":0"#);
    let paths = error_paths(&[
        ("bounds/t/one", r#"{"head_ms":0}"#),
        ("bounds/t/two", "{}"),
        ("function-bindings/t/a", &first),
        ("function-bindings/t/b", &same_route),
        ("function-bindings/t/c", &other_host),
        ("function-bindings/t/d", &zero_shares),
        ("function-bindings/t/e", &negative_share),
        ("function-bindings/t/f", &without_function),
        ("function-bindings/t/g", &invalid_limits),
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
    assert_eq!(paths, expected);
}

#[test]
fn names_are_limited_to_128_plain_characters() {
    let longest = "x".repeat(128);
    assert!(["a", "r-2bsp73y", "A.b_C-9", &longest].iter().all(|name| check_name(name)));
    let too_long = "x".repeat(129);
    assert!(["", "a b", "a/b", "\u{17e}", "a%", &too_long].iter().all(|name| !check_name(name)));
}

#[test]
fn errors_of_malformed_consumers_contain_no_key() {
    for value in [r#"{"keys":"secret-1"}"#, r#"{"keys":[],"secret-2":1}"#, r#"{"rank":"secret-3"}"#] {
        let errors = check([("consumers/t/a", value.as_bytes())].into_iter());
        assert_eq!((errors.len(), errors[0].path.as_str()), (1, "consumers/t/a"));
        assert!(!errors[0].fault.contains("secret"), "{errors:?}");
    }
}

#[test]
fn keys_and_limits_of_consumers_are_checked_without_disclosing_keys() {
    let consumer = |keys: &str, fields: &str| format!(r#"{{"keys":[{keys}]{fields}}}"#);
    let first = consumer(r#""secret-1","secret-2""#, "");
    let shared_key = consumer(r#""secret-3","secret-2""#, "");
    let empty_key = consumer(r#""""#, r#","rate_per_s":-1,"burst":-0.5"#);
    let unknown_field = consumer("", r#","colour":"red""#);
    let pairs = [
        ("consumers/t/a", first.as_str()),
        ("consumers/t/b", shared_key.as_str()),
        ("consumers/t/c", empty_key.as_str()),
        ("consumers/t/d", unknown_field.as_str()),
    ];
    let expected = [
        "consumers/t/b/keys",
        "consumers/t/c/keys",
        "consumers/t/c/rate_per_s",
        "consumers/t/c/burst",
        "consumers/t/d",
    ];
    assert_eq!(error_paths(&pairs), expected);
    let errors = check(pairs.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert!(errors.iter().all(|error| !error.fault.contains("secret")), "{errors:?}");
}
