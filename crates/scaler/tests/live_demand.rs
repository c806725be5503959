//! Tests of the instance count that the current load needs.

use scaler::LiveDemand;
use std::time::Duration;
use test_case::test_case;

fn single_request_load(arrivals: u32, queued: u32, in_flight: u32) -> LiveDemand {
    LiveDemand {
        arrivals,
        rate: f64::from(arrivals) / 0.3,
        queued,
        in_flight,
        usual_response_time: Duration::from_millis(1500),
        capacity: 1.0,
        instance_limit: 1,
        ready: 1,
    }
}

#[test_case(0, 0, 0 => 0; "no load")]
#[test_case(1, 1, 0 => 1; "one request takes one instance")]
#[test_case(1, 0, 1 => 1; "a running request needs no second instance")]
#[test_case(2, 1, 1 => 2; "two concurrent requests take two")]
#[test_case(0, 0, 1 => 1; "a running request keeps its instance")]
#[test_case(3, 0, 1 => 4; "three in a third of a second make a rate, limited by the ready instances")]
fn few_arrivals_are_counted_and_more_make_a_rate(arrivals: u32, queued: u32, in_flight: u32) -> u32 {
    single_request_load(arrivals, queued, in_flight).instances_needed()
}

#[test]
fn steady_rate_is_served_at_the_planned_capacity() {
    let load = LiveDemand {
        arrivals: 200,
        rate: 200.0,
        usual_response_time: Duration::from_millis(120),
        capacity: 4.8,
        instance_limit: 8,
        ready: 4,
        ..LiveDemand::default()
    };
    assert_eq!(load.instances_needed(), 5);
    assert_eq!(LiveDemand { queued: 400, ..load }.instances_needed(), 10, "growth is limited to two more than double");
}
