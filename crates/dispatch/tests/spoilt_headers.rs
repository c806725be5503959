//! Headers that an instance spoils: whatever their values, each request gets an outcome, and the next one its answer.

mod fake_instance;

use dispatch::DispatchOrder;
use fake_instance::{FakeInstance, answer, dispatcher, run, status};
use std::time::Duration;
use test_case::test_case;

const COMPLETE: &str = "HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 4\n\ndone";
/// Ends the wait for a body that a spoilt header announces.
const SPOILT_TIME_LEFT: Duration = Duration::from_millis(50);
/// Numbers at the ends of their ranges, and values that are no numbers.
const VALUES: [&str; 16] = [
    "",
    "0",
    "-1",
    "0.5",
    "1e400",
    "NaN",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999",
    ",,=,;=,",
    "timeout",
    "\u{e9}\u{2028}",
];

/// Returns a complete response in which a header has this value, in place of the length or beside it.
fn spoil(name: &str, value: &str) -> String {
    let length = "content-length: 4";
    let spoilt = format!("{name}: {value}");
    let lines = if length.starts_with(name) { spoilt } else { format!("{spoilt}\n{length}") };
    COMPLETE.replace(length, &lines)
}

// Guards against a task or a thread that ends in a panic over a header of an instance.
#[test_case("content-length", ""; "length")]
#[test_case("transfer-encoding", ""; "coding")]
#[test_case("transfer-encoding", "chunked, "; "second coding")]
#[test_case("keep-alive", ""; "keep-alive parameters")]
#[test_case("keep-alive", "timeout="; "keep-alive time")]
#[test_case("keep-alive", "timeout=5, max="; "keep-alive limit")]
#[test_case("connection", ""; "connection options")]
#[test_case("content-encoding", ""; "encoding")]
#[test_case("retry-after", ""; "pause")]
#[test_case("x-id", ""; "id")]
#[test_case("x-not-run", ""; "mark of a request that was not run")]
fn a_spoilt_header_leaves_the_next_request_its_answer(name: &str, prefix: &str) {
    for value in VALUES {
        let spoilt = spoil(name, &format!("{prefix}{value}"));
        run(async {
            let first = vec![answer(&spoilt), answer(COMPLETE)];
            let instance = FakeInstance::start(vec![first, vec![answer(COMPLETE)]]).await;
            let dispatcher = dispatcher();
            let spoilt_order = DispatchOrder { time_left: SPOILT_TIME_LEFT, ..instance.order("a") };
            dispatcher.send(spoilt_order).await;
            assert_eq!(status(&dispatcher.send(instance.order("b")).await), 200, "{name}: {prefix}{value}");
        });
    }
}
