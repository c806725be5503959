//! Stages of a planned stop over its grace period.

use super::*;
use test_case::test_case;

const GRACE: Duration = Duration::from_millis(5500);

#[test_case(0, true, StopStage::Leaving; "callers are still accepted at first")]
#[test_case(701, true, StopStage::Draining; "the listener closes once other routers own the functions")]
#[test_case(2700, false, StopStage::Leaving; "it stays open while the registries have not taken note")]
#[test_case(2751, false, StopStage::Draining; "it closes after half of the grace period in any case")]
#[test_case(4799, true, StopStage::Draining; "requests may run until shortly before the end")]
#[test_case(4800, true, StopStage::GivingUp; "their outcomes can still be recorded before the end")]
fn stage_after(elapsed_ms: u64, is_handed_over: bool, expected: StopStage) {
    let start = Instant::now();
    let mut stop = PlannedStop::new(start, GRACE);
    assert_eq!(stop.advance(start + Duration::from_millis(elapsed_ms), is_handed_over), expected);
    assert_eq!(stop.deadline(), start + GRACE);
}

#[test]
fn a_stage_is_never_left_backwards() {
    let start = Instant::now();
    let mut stop = PlannedStop::new(start, GRACE);
    assert_eq!(stop.advance(start + Duration::from_millis(800), true), StopStage::Draining);
    assert_eq!(stop.advance(start + Duration::from_millis(900), false), StopStage::Draining);
}

#[test]
fn a_short_grace_period_gives_up_in_its_last_quarter() {
    let start = Instant::now();
    let mut stop = PlannedStop::new(start, Duration::from_secs(1));
    assert_eq!(stop.advance(start + Duration::from_millis(749), true), StopStage::Draining);
    assert_eq!(stop.advance(start + Duration::from_millis(750), true), StopStage::GivingUp);
}
