//! Tests of the tuner with hand-computed results.

use super::*;

fn function(sheet: &str) -> Function {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary"}"#;
    let pairs = [("function-bindings/t/f", binding), ("weight-sheets/t/f", sheet.as_bytes())];
    bindings::RouteTable::build(1, 1, pairs.into_iter()).function("t/f").unwrap().clone()
}

fn after(sheet: &str, measure: Measure, count: u32) -> (Tuner, Function) {
    let (mut tuner, function) = (Tuner::default(), function(sheet));
    (0..count).for_each(|_| tuner.take(&function, measure));
    (tuner, function)
}

const SHORT: Measure = Measure { boot: Duration::ZERO, boots: 0, refused: 2, rejections: 0, waiting: 0.0, usage: 0.5 };
const SLOW: Measure =
    Measure { boot: Duration::from_secs(40), boots: 1, refused: 0, rejections: 0, waiting: 0.0, usage: 0.5 };

#[test]
fn a_short_function_is_planned_with_more_capacity_slowly_and_within_its_bounds() {
    let (tuner, function) = after("{}", SHORT, 1);
    assert!((tuner.in_force(&function).target_usage - 0.58).abs() < 1e-9);
    let (tuner, function) = after("{}", SHORT, 4);
    assert!((tuner.in_force(&function).target_usage - 0.58).abs() < 1e-9, "changes are at least a minute apart");
    let (tuner, function) = after("{}", SHORT, 1000);
    let sheet = tuner.in_force(&function);
    assert_eq!((sheet.target_usage, sheet.sla_hard), (0.4, 800.0));
    assert_eq!(function.sheet.target_usage, 0.6, "the declared sheet is unchanged");
    assert!(tuner.tuned().next().unwrap().1.why.contains("2 refused"));
}

#[test]
fn a_calm_one_goes_back_and_slow_boots_are_planned_for() {
    let (mut tuner, function) = after("{}", SHORT, 1000);
    (0..4000).for_each(|_| tuner.take(&function, Measure { usage: 0.3, ..Measure::default() }));
    let sheet = tuner.in_force(&function);
    assert_eq!((sheet.target_usage, sheet.sla_hard), (0.75, 200.0));
    let (tuner, function) = after("{}", SLOW, 2);
    assert_eq!(tuner.in_force(&function).startup_delay_steps, 1, "not after the first measurements");
    let (tuner, function) = after("{}", SLOW, 100);
    assert_eq!(tuner.in_force(&function).startup_delay_steps, 3);
}

#[test]
fn a_field_or_all_of_them_can_be_left_as_declared_and_a_new_sheet_begins_anew() {
    let (tuner, function) = after(r#"{"tuning":{"target_usage":{"on":false}}}"#, SHORT, 100);
    let sheet = tuner.in_force(&function);
    assert!(sheet.target_usage == 0.6 && sheet.sla_hard > 200.0);
    let (tuner, function) = after(r#"{"tuning":{"on":false}}"#, Measure { boots: 1, ..SHORT }, 100);
    assert_eq!((tuner.in_force(&function), tuner.tuned().count()), (function.sheet.clone(), 0));
    let (mut tuner, _) = after("{}", SHORT, 100);
    let anew = super::tests::function(r#"{"target_usage":0.7}"#);
    assert_eq!(tuner.in_force(&anew).target_usage, 0.7);
    tuner.take(&anew, Measure::default());
    assert_eq!(tuner.tuned().count(), 0);
}

#[test]
fn the_next_host_goes_on_from_what_was_in_force_within_the_bounds() {
    let (tuner, function) = after("{}", SHORT, 20);
    let (_, tuned) = tuner.tuned().next().unwrap();
    let mut next = Tuner::default();
    next.adopt(&function, tuned.clone());
    assert_eq!(next.in_force(&function), tuner.in_force(&function));
    next.adopt(&function, Tuned { target_usage: 9.0, ..tuned.clone() });
    assert_eq!(next.in_force(&function).target_usage, 0.75);
}
