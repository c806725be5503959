//! Tests of the tuner with hand-computed results.

use super::*;

fn function(sheet: &str) -> Function {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary"}"#;
    let pairs = [("function-bindings/t/f", binding), ("weight-sheets/t/f", sheet.as_bytes())];
    bindings::RouteTable::build(1, 1, pairs.into_iter()).function("t/f").unwrap().clone()
}

fn tuned_after(sheet: &str, measurement: FunctionMeasurement, count: u32) -> (Tuner, Function) {
    let (mut tuner, function) = (Tuner::default(), function(sheet));
    (0..count).for_each(|_| tuner.record(&function, measurement));
    (tuner, function)
}

const LACKING_CAPACITY: FunctionMeasurement =
    FunctionMeasurement { boot: Duration::ZERO, boots: 0, refused: 2, rejections: 0, waiting: 0.0, usage: 0.5 };
const SLOW_BOOT: FunctionMeasurement = FunctionMeasurement {
    boot: Duration::from_secs(40),
    boots: 1,
    refused: 0,
    rejections: 0,
    waiting: 0.0,
    usage: 0.5,
};

#[test]
fn lacking_capacity_lowers_usage_slowly_and_within_bounds() {
    let (tuner, function) = tuned_after("{}", LACKING_CAPACITY, 1);
    assert!((tuner.effective_sheet(&function).target_usage - 0.58).abs() < 1e-9);
    let (tuner, function) = tuned_after("{}", LACKING_CAPACITY, 4);
    assert!((tuner.effective_sheet(&function).target_usage - 0.58).abs() < 1e-9, "changes are at least a minute apart");
    let (tuner, function) = tuned_after("{}", LACKING_CAPACITY, 1000);
    let sheet = tuner.effective_sheet(&function);
    assert_eq!((sheet.target_usage, sheet.sla_hard), (0.4, 800.0));
    assert_eq!(function.sheet.target_usage, 0.6, "the declared sheet is unchanged");
    assert!(tuner.tuned_weights().next().unwrap().1.reason.contains("2 refused"));
}

#[test]
fn calm_function_returns_and_slow_boots_raise_the_startup_delay() {
    let (mut tuner, function) = tuned_after("{}", LACKING_CAPACITY, 1000);
    (0..4000)
        .for_each(|_| tuner.record(&function, FunctionMeasurement { usage: 0.3, ..FunctionMeasurement::default() }));
    let sheet = tuner.effective_sheet(&function);
    assert_eq!((sheet.target_usage, sheet.sla_hard), (0.75, 200.0));
    let (tuner, function) = tuned_after("{}", SLOW_BOOT, 2);
    assert_eq!(tuner.effective_sheet(&function).startup_delay_steps, 1, "not after the first measurements");
    let (tuner, function) = tuned_after("{}", SLOW_BOOT, 100);
    assert_eq!(tuner.effective_sheet(&function).startup_delay_steps, 3);
}

#[test]
fn tuning_can_be_disabled_and_restarts_with_a_new_sheet() {
    let (tuner, function) = tuned_after(r#"{"tuning":{"target_usage":{"on":false}}}"#, LACKING_CAPACITY, 100);
    let sheet = tuner.effective_sheet(&function);
    assert!(sheet.target_usage == 0.6 && sheet.sla_hard > 200.0);
    let (tuner, function) =
        tuned_after(r#"{"tuning":{"on":false}}"#, FunctionMeasurement { boots: 1, ..LACKING_CAPACITY }, 100);
    assert_eq!((tuner.effective_sheet(&function), tuner.tuned_weights().count()), (function.sheet.clone(), 0));
    let (mut tuner, _) = tuned_after("{}", LACKING_CAPACITY, 100);
    let replaced = super::tests::function(r#"{"target_usage":0.7}"#);
    assert_eq!(tuner.effective_sheet(&replaced).target_usage, 0.7);
    tuner.record(&replaced, FunctionMeasurement::default());
    assert_eq!(tuner.tuned_weights().count(), 0);
}

#[test]
fn adopted_weights_are_limited_to_the_bounds() {
    let (tuner, function) = tuned_after("{}", LACKING_CAPACITY, 20);
    let (_, tuned_weights) = tuner.tuned_weights().next().unwrap();
    let mut next = Tuner::default();
    next.adopt(&function, tuned_weights.clone());
    assert_eq!(next.effective_sheet(&function), tuner.effective_sheet(&function));
    next.adopt(&function, TunedWeights { target_usage: 9.0, ..tuned_weights.clone() });
    assert_eq!(next.effective_sheet(&function).target_usage, 0.75);
}
