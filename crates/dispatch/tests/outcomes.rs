//! Outcomes of complete, truncated and malformed responses, for tasks with request ids.

mod fake_instance;

use dispatch::{DispatchOrder, DispatchOutcome, send_to_instance};
use fake_instance::{Action, FakeInstance, answer, answer_and_close, dispatcher, run, status};
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;

fn outcome(action: Action) -> DispatchOutcome {
    run(async {
        let instance = FakeInstance::start(vec![vec![action]]).await;
        dispatcher().send(instance.order("a")).await
    })
}

#[test_case("HTTP/1.1 500 Own\nx-id: {id}\ncontent-length: 2\n\nno", 500; "failure of the instance")]
#[test_case("HTTP/1.1 504 Late\nx-id: {id}\ncontent-length: 0\n\n", 504; "deadline exceeded at the instance")]
#[test_case("HTTP/1.1 400 Bad\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", 400; "malformed request")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ntransfer-encoding: chunked\n\n2\nok\n0\n\n", 200; "chunked body")]
#[test_case("HTTP/1.1 100 Go on\n\nHTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 0\n\n", 200; "interim response first")]
fn a_complete_answer_is_passed_on(response: &str, expected: u16) {
    assert_eq!(status(&outcome(answer(response))), expected);
}

#[test_case("HTTP/1.1 503 Full\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", false; "full")]
#[test_case("HTTP/1.1 429 Many\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", false; "too many")]
#[test_case("HTTP/1.1 421 Other\nx-id: {id}\ncontent-length: 0\n\n", true; "wrong instance")]
fn a_rejection_marked_as_not_run_is_reported_as_not_run(response: &str, wrong_instance: bool) {
    assert_eq!(outcome(answer(response)), DispatchOutcome::NotRun { wrong_instance });
}

#[test_case("HTTP/1.1 503 Full\nx-id: {id}\ncontent-length: 0\n\n"; "503 without the not-run header")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n"; "success with the not-run header")]
#[test_case("HTTP/1.1 200 OK\nx-id: other\ncontent-length: 0\n\n"; "id of another request")]
#[test_case("HTTP/1.1 200 OK\ncontent-length: 0\n\n"; "no id")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-encoding: gzip\ncontent-length: 0\n\n"; "unrequested encoding")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\n\n"; "no length")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 1\ntransfer-encoding: chunked\n\n"; "two lengths")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: +1\n\nx"; "length with a sign")]
#[test_case("HTTP/1.1 101 Switch\nx-id: {id}\n\n"; "protocol switch")]
fn an_unverifiable_answer_is_in_doubt(response: &str) {
    let outcome = outcome(answer(response));
    assert!(matches!(outcome, DispatchOutcome::InDoubt { timed_out: false, .. }), "{outcome:?}");
}

#[test_case(answer_and_close("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 9\n\ncut"); "cut body")]
#[test_case(answer_and_close("HTTP/1.1 200 OK\nx-id: {id}\ntransfer-encoding: chunked\n\n5\nwhole\n"); "cut chunks")]
#[test_case(answer_and_close("HTTP/1.1 200 OK\nx-"); "cut head")]
#[test_case(answer_and_close("\u{1}garbage\n\n"); "garbage")]
#[test_case(Action::Close; "closed without a response")]
fn a_truncated_answer_is_in_doubt(action: Action) {
    let outcome = outcome(action);
    assert!(matches!(outcome, DispatchOutcome::InDoubt { timed_out: false, .. }), "{outcome:?}");
}

#[test]
fn an_unanswered_request_times_out_in_doubt() {
    let outcome = run(async {
        let instance = FakeInstance::start(vec![vec![Action::NoAnswer]]).await;
        let time_left = Duration::from_millis(30);
        dispatcher().send(DispatchOrder { time_left, ..instance.order("a") }).await
    });
    assert!(matches!(outcome, DispatchOutcome::InDoubt { timed_out: true, .. }), "{outcome:?}");
}

#[test]
fn a_refused_connection_is_reported_as_unreachable() {
    let outcome = run(async {
        let mut order = FakeInstance::start(Vec::new()).await.order("a");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        order.address = listener.local_addr().expect("bound").to_string();
        drop(listener);
        dispatcher().send(order).await
    });
    assert_eq!(outcome, DispatchOutcome::Unreachable);
}

#[test]
fn a_request_head_with_line_breaks_is_rejected_and_not_sent() {
    run(async {
        let instance = FakeInstance::start(vec![vec![Action::Close]]).await;
        let head = wire::RequestHead {
            method: "GET".into(),
            target: "/f HTTP/1.1\r\nx: y".into(),
            headers: Vec::new().into(),
        };
        let order = DispatchOrder { head: wire::to_bytes(&head), ..instance.order("a") };
        assert_eq!(status(&send_to_instance(order).await), 400);
        assert!(instance.received.borrow().is_empty());
    });
}
