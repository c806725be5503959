//! Expected waits, compared with values calculated by hand.

use super::*;
use crate::allowances::Allowances;
use crate::instance::InstanceEvent;
use bindings::RouteTable;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(100);

/// Builds a scheduler with two slots per instance, 500 ms per answer and 1 s per start.
fn scheduler(ready: u32, busy: u32, starting: u32) -> FunctionScheduler {
    let binding: &[u8] = br#"{"route":"/t/f","function":"f","class":"ordinary","instance_limit":2}"#;
    let routes = RouteTable::build(1, 1, [("function-bindings/t/f", binding)].into_iter());
    let mut scheduler =
        FunctionScheduler::new(NOW, routes.function("t/f").expect("bound").clone(), 1, &Allowances::default());
    scheduler.record_answer_time(Duration::from_millis(500));
    for number in 0..ready + starting {
        let mut instance = Instance::new(NOW - Duration::from_millis(400), "127.0.0.1:1");
        if number < ready {
            instance.apply(InstanceEvent::Ready);
            instance.busy = busy;
        }
        scheduler.instances.insert(number.to_string(), instance);
    }
    scheduler
}

#[test_case(1, 1, 0, 0 => 0; "a slot is free")]
#[test_case(1, 2, 0, 0 => 250; "one of two slots becomes free")]
#[test_case(1, 2, 0, 3 => 1000; "behind three others")]
#[test_case(0, 0, 1, 1 => 600; "an instance starts")]
#[test_case(0, 0, 1, 3 => 1100; "it starts and works for a while")]
#[test_case(0, 0, 0, 0 => 1000; "no instance yet")]
#[test_case(1, 2, 1, 7 => 1050; "some slots become free and some instances start")]
fn expected_wait_matches_hand_calculation(ready: u32, busy: u32, starting: u32, ahead: usize) -> u128 {
    scheduler(ready, busy, starting).expected_wait(NOW, ahead).as_millis()
}
