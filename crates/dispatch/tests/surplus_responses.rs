//! Late copies of earlier responses: none is taken for the response to another request, or to a later sending of the
//! same request.

mod fake_instance;

use dispatch::{DispatchOrder, DispatchOutcome, Dispatcher};
use fake_instance::{Action, FakeInstance, answer, dispatcher, late_copy_then_answer, run, status};
use test_case::test_case;

const COMPLETE: &str = "HTTP/1.1 200 OK\nx-id: {id}\nkeep-alive: timeout=5\ncontent-length: 4\n\ndone";
const FULL: &str = "HTTP/1.1 503 Full\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n";

/// Response to the request `a`.
fn to_a(response: &str) -> String {
    response.replace("{id}", "a")
}

/// Scripts of an instance that answers `a` with `response`, and that sends a second copy of it in the place of the
/// response to the next request on the same connection, whatever that is.
fn copying_scripts(response: &str) -> Vec<Vec<Action>> {
    let copying = vec![answer(response), late_copy_then_answer(&to_a(response), COMPLETE)];
    vec![copying, vec![answer(COMPLETE)]]
}

async fn send(dispatcher: &Dispatcher, instance: &FakeInstance, id: &str) -> DispatchOutcome {
    dispatcher.send(instance.order(id)).await
}

// Guards against a request that runs twice: a late copy of its first refusal was taken for the response to its second
// sending on the same connection, so it was sent a third time.
#[test_case(FULL; "full")]
#[test_case("HTTP/1.1 429 Many\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n"; "too many requests")]
#[test_case("HTTP/1.1 408 Late\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n"; "deadline passed in the queue")]
#[test_case("HTTP/1.1 421 Other\nx-id: {id}\ncontent-length: 0\n\n"; "wrong instance")]
#[test_case("HTTP/1.1 503 Full\nx-id: {id}\ncontent-length: 0\n\n"; "503 that promises nothing")]
#[test_case("HTTP/1.1 500 Failed\nx-id: {id}\ncontent-length: 2\n\nno"; "failure of the instance")]
#[test_case("HTTP/1.1 503 Full\nx-id: {id}\nx-not-run: 1\ntransfer-encoding: chunked\n\n0\n\n"; "chunked refusal")]
fn a_late_copy_of_a_response_is_not_taken_for_the_response_to_a_later_sending(response: &str) {
    run(async {
        let instance = FakeInstance::start(copying_scripts(response)).await;
        let dispatcher = dispatcher();
        send(&dispatcher, &instance, "a").await;
        assert_eq!(status(&send(&dispatcher, &instance, "a").await), 200);
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

#[test]
fn a_late_copy_behind_other_requests_is_not_taken_for_the_response_to_a_later_sending() {
    run(async {
        let copying = vec![answer(FULL), answer(COMPLETE), late_copy_then_answer(&to_a(FULL), COMPLETE)];
        let instance = FakeInstance::start(vec![copying, vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        let outcome = send(&dispatcher, &instance, "a").await;
        assert_eq!(outcome, DispatchOutcome::NotRun { wrong_instance: false });
        assert_eq!(status(&send(&dispatcher, &instance, "b").await), 200);
        assert_eq!(status(&send(&dispatcher, &instance, "a").await), 200);
        assert_eq!(instance.request_connections(), [0, 0, 1]);
    });
}

#[test]
fn a_connection_that_carried_a_request_is_closed_if_the_instance_accepts_no_other() {
    run(async {
        let instance = FakeInstance::start(copying_scripts(FULL)).await;
        let dispatcher = dispatcher();
        let order = || DispatchOrder { max_connections: 1, ..instance.order("a") };
        assert_eq!(dispatcher.send(order()).await, DispatchOutcome::NotRun { wrong_instance: false });
        assert_eq!(status(&dispatcher.send(order()).await), 200);
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

#[test]
fn a_connection_that_carried_a_request_is_kept_for_others() {
    run(async {
        let first = vec![answer(FULL), answer(COMPLETE)];
        let second = vec![answer(COMPLETE), answer(COMPLETE)];
        let instance = FakeInstance::start(vec![first, second, vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "a", "b", "a"] {
            send(&dispatcher, &instance, id).await;
        }
        // Both connections have carried `a` when it is sent for the third time.
        assert_eq!(instance.request_connections(), [0, 1, 1, 2]);
    });
}
