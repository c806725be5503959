//! Connection reuse: which connections are reused, which are dropped, and which request a response belongs to.

mod fake_instance;

use dispatch::DispatchOutcome;
use fake_instance::{Action, FakeInstance, answer, answer_and_close, dispatcher, run, status};
use std::time::Duration;
use test_case::test_case;

const COMPLETE: &str = "HTTP/1.1 200 OK\nx-id: {id}\nkeep-alive: timeout=5\ncontent-length: 4\n\ndone";

fn is_in_doubt(outcome: &DispatchOutcome) -> bool {
    matches!(outcome, DispatchOutcome::InDoubt { timed_out: false, .. })
}

#[test]
fn a_connection_is_reused_for_consecutive_requests() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE), answer(COMPLETE), answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "b", "c"] {
            assert_eq!(status(&dispatcher.send(instance.order(id)).await), 200);
        }
        assert_eq!(instance.request_connections(), [0, 0, 0]);
        let received = instance.received.borrow()[1].text.clone();
        assert!(received.starts_with("POST /f?a=b HTTP/1.1\r\nhost: callers.example\r\nx-id: b\r\n"), "{received}");
        assert!(received.contains("x-left: 20000\r\n") && received.contains("x-for: i-1\r\n"), "{received}");
        assert_eq!(received.matches("x-left").count(), 1, "the caller's own header is not forwarded");
    });
}

#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nconnection: close\ncontent-length: 4\n\ndone"; "it announces the close")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 4\n\ndone and more"; "bytes after the end")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nkeep-alive: timeout=0\ncontent-length: 4\n\ndone"; "keep-alive time of zero")]
#[test_case("HTTP/1.0 200 OK\nx-id: {id}\ncontent-length: 4\n\ndone"; "HTTP/1.0")]
fn a_complete_answer_is_returned_though_its_connection_is_not_reused(first: &str) {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(first)], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "b"] {
            let DispatchOutcome::Complete { status: 200, body, .. } = dispatcher.send(instance.order(id)).await else {
                panic!("{id} is answered")
            };
            assert_eq!(body, b"done"[..]);
        }
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

// Guards against the end of a router: a keep-alive time beyond what a clock can add up to was added to one.
#[test_case("timeout=9223372036854775807"; "2^63 - 1 seconds")]
#[test_case("timeout=18446744073709551615"; "2^64 - 1 seconds")]
#[test_case("timeout=9223372036854000000, max=100"; "a little below what a clock can hold, and a limit")]
#[test_case("max=9223372036854775807, Timeout = 18446744073709551615"; "other parameters and spaces")]
fn a_connection_with_a_huge_keep_alive_time_is_reused(parameters: &str) {
    let first = COMPLETE.replace("timeout=5", parameters);
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(&first), answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "b"] {
            assert_eq!(status(&dispatcher.send(instance.order(id)).await), 200);
        }
        assert_eq!(instance.request_connections(), [0, 0]);
    });
}

#[test]
fn a_surplus_answer_is_not_taken_for_the_next_requests() {
    let surplus = "HTTP/1.1 200 OK\nx-id: a\ncontent-length: 4\n\nlate";
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE), answer(surplus)], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert!(is_in_doubt(&dispatcher.send(instance.order("b")).await));
        assert_eq!(status(&dispatcher.send(instance.order("c")).await), 200);
        assert_eq!(instance.request_connections(), [0, 0, 1]);
    });
}

#[test]
fn a_closed_idle_connection_is_not_used_for_a_request() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer_and_close(COMPLETE)], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        instance.connection_ended.notified().await;
        assert_eq!(status(&dispatcher.send(instance.order("b")).await), 200);
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

#[test]
fn a_close_after_the_request_was_sent_is_in_doubt_and_not_retried() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE), Action::Close], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert!(is_in_doubt(&dispatcher.send(instance.order("b")).await));
        assert_eq!(instance.request_connections(), [0, 0]);
    });
}

#[test]
fn connections_of_a_forgotten_instance_are_not_reused() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE)], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        dispatcher.forget("i-1");
        assert_eq!(status(&dispatcher.send(instance.order("b")).await), 200);
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

#[test]
fn connections_are_not_reused_for_another_instance_at_the_same_address() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE)], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        let mut order = instance.order("b");
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        order.instance_id = "i-2".into();
        assert_eq!(status(&dispatcher.send(order).await), 200);
        assert_eq!(instance.request_connections(), [0, 1]);
    });
}

#[test]
fn the_connection_limit_of_an_instance_is_kept() {
    run(async {
        let instance = FakeInstance::start(vec![vec![Action::NoAnswer], vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        let order = |id| dispatch::DispatchOrder { max_connections: 1, ..instance.order(id) };
        let unanswered = dispatcher.send(order("a"));
        let second = async {
            tokio::task::yield_now().await;
            dispatcher.send(order("b")).await
        };
        let outcome = tokio::select! { biased; outcome = unanswered => outcome, outcome = second => outcome };
        assert_eq!(outcome, DispatchOutcome::NoConnection);
    });
}

#[test]
fn a_connection_opened_by_a_probe_is_reused() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(COMPLETE)]]).await;
        let dispatcher = dispatcher();
        assert!(dispatcher.probe("i-1", &instance.address, Duration::ZERO, Duration::from_secs(20)).await);
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert_eq!(instance.request_connections(), [0]);
    });
}
