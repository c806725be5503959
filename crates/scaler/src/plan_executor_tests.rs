//! Tests of plan execution and plan requests.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn state(running: u32, queued: u32) -> FunctionState {
    FunctionState { running, queued, capacity: 3.0, min: 0, max: 9, may_request_plan: true, ..FunctionState::default() }
}

#[test]
fn plan_is_executed_by_elapsed_step_and_requested_when_it_has_run_out() {
    let (timing, mut executor) = (PlanRequestTiming::default(), PlanExecutor::default());
    assert_eq!(executor.step(SECOND, 1, state(4, 0), &timing), Decision { desired: 4, requests_plan: true });
    assert!(executor.accept_plan(SECOND, 1, 5, vec![3, 6], 15 * SECOND));
    assert_eq!(executor.step(10 * SECOND, 2, state(4, 0), &timing), Decision { desired: 3, requests_plan: false });
    assert_eq!(executor.step(17 * SECOND, 3, state(3, 0), &timing), Decision { desired: 6, requests_plan: false });
    assert_eq!(executor.step(32 * SECOND, 4, state(6, 0), &timing), Decision { desired: 6, requests_plan: true });
    assert!(!executor.accept_plan(32 * SECOND, 4, 4, vec![1], 15 * SECOND), "a plan with an older fence");
    assert!(!executor.accept_plan(32 * SECOND, 3, 6, vec![1], 15 * SECOND), "an answer to an older request");
}

#[test]
fn after_one_retry_the_count_is_kept_and_one_instance_starts_under_demand() {
    let (timing, mut executor) = (PlanRequestTiming::default(), PlanExecutor::default());
    let mut plan_requests = 0;
    for tenths in 0..70u32 {
        let now = tenths * SECOND / 10;
        plan_requests += u32::from(executor.step(now, u64::from(tenths), state(2, 0), &timing).requests_plan);
    }
    assert_eq!((plan_requests, executor.fallbacks), (2, 1));
    assert_eq!(executor.step(7 * SECOND, 99, state(0, 1), &timing).desired, 1);
    assert_eq!(executor.step(7 * SECOND, 99, state(0, 0), &timing).desired, 0);
}

#[test]
fn a_fixed_count_overrides_the_plan_and_requests_none() {
    let (timing, mut executor) = (PlanRequestTiming::default(), PlanExecutor::default());
    executor.step(SECOND, 1, state(1, 0), &timing);
    executor.accept_plan(SECOND, 1, 1, vec![9; 4], 15 * SECOND);
    let fixed = FunctionState { fixed: Some(3), ..state(1, 50) };
    assert_eq!(executor.step(2 * SECOND, 2, fixed, &timing), Decision { desired: 3, requests_plan: false });
    assert_eq!(executor.step(99 * SECOND, 3, fixed, &timing), Decision { desired: 3, requests_plan: false });
}

#[test]
fn an_instance_started_for_queued_requests_is_kept_while_they_wait() {
    let (timing, mut executor) = (PlanRequestTiming::default(), PlanExecutor::default());
    executor.step(SECOND, 1, state(0, 0), &timing);
    executor.accept_plan(SECOND, 1, 1, vec![0; 8], 15 * SECOND);
    assert_eq!(executor.step(2 * SECOND, 2, state(0, 4), &timing).desired, 1);
    let starting = FunctionState { starting: 1, ..state(0, 4) };
    assert_eq!(executor.step(3 * SECOND, 3, starting, &timing).desired, 1);
    assert_eq!(executor.step(4 * SECOND, 4, state(1, 0), &timing).desired, 0);
}

#[test]
fn queued_requests_beyond_the_plan_request_a_new_one_at_most_once_a_second() {
    let (timing, mut executor) = (PlanRequestTiming::default(), PlanExecutor::default());
    executor.step(SECOND, 1, state(1, 0), &timing);
    executor.accept_plan(SECOND, 1, 1, vec![1; 8], 15 * SECOND);
    let mut plan_requests = 0;
    for tenths in 0..30u32 {
        let now = 2 * SECOND + tenths * SECOND / 10;
        let decision = executor.step(now, u64::from(100 + tenths), state(1, 7), &timing);
        if decision.requests_plan {
            plan_requests += 1;
            executor.accept_plan(now, u64::from(100 + tenths), 1, vec![1; 8], 15 * SECOND);
        }
    }
    assert_eq!((plan_requests, executor.early_requests), (3, 3));
}
