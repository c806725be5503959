//! The check of a whole configuration, fault by fault.

use bindings::check;

#[test]
fn every_fault_of_a_whole_configuration_is_told_with_its_path() {
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
