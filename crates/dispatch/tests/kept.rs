//! Connections that are kept: which are used again, which are dropped, and whose an answer is.

mod stand_in;

use dispatch::DispatchOutcome;
use stand_in::{Act, StandIn, answer, dispatcher, last, run, status};
use std::time::Duration;
use test_case::test_case;

const GOOD: &str = "HTTP/1.1 200 OK\nx-id: {id}\nkeep-alive: timeout=5\ncontent-length: 4\n\ndone";

fn in_doubt(outcome: &DispatchOutcome) -> bool {
    matches!(outcome, DispatchOutcome::InDoubt { late: false, .. })
}

#[test]
fn a_connection_carries_one_request_after_another() {
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD), answer(GOOD), answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "b", "c"] {
            assert_eq!(status(&dispatcher.send(instance.order(id)).await), 200);
        }
        assert_eq!(instance.asked_on(), [0, 0, 0]);
        let asked = instance.asked.borrow()[1].text.clone();
        assert!(asked.starts_with("POST /f?a=b HTTP/1.1\r\nhost: callers.example\r\nx-id: b\r\n"), "{asked}");
        assert!(asked.contains("x-left: 20000\r\n") && asked.contains("x-for: i-1\r\n"), "{asked}");
        assert_eq!(asked.matches("x-left").count(), 1, "the caller's own is not passed on");
    });
}

#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nconnection: close\ncontent-length: 4\n\ndone"; "it says that it closes")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 4\n\ndone and more"; "bytes after the end")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nkeep-alive: timeout=0\ncontent-length: 4\n\ndone"; "it is kept for no time")]
#[test_case("HTTP/1.0 200 OK\nx-id: {id}\ncontent-length: 4\n\ndone"; "an old version")]
fn a_complete_answer_stands_though_its_connection_is_dropped(first: &str) {
    run(async {
        let instance = StandIn::start(vec![vec![answer(first)], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        for id in ["a", "b"] {
            let DispatchOutcome::Complete { status: 200, body, .. } = dispatcher.send(instance.order(id)).await else {
                panic!("{id} is answered")
            };
            assert_eq!(body, b"done");
        }
        assert_eq!(instance.asked_on(), [0, 1]);
    });
}

#[test]
fn a_surplus_answer_belongs_to_nobody() {
    let surplus = "HTTP/1.1 200 OK\nx-id: a\ncontent-length: 4\n\nlate";
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD), answer(surplus)], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert!(in_doubt(&dispatcher.send(instance.order("b")).await));
        assert_eq!(status(&dispatcher.send(instance.order("c")).await), 200);
        assert_eq!(instance.asked_on(), [0, 0, 1]);
    });
}

#[test]
fn a_kept_connection_that_closed_is_seen_before_a_request_is_lost_on_it() {
    run(async {
        let instance = StandIn::start(vec![vec![last(GOOD)], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        instance.ended.notified().await;
        assert_eq!(status(&dispatcher.send(instance.order("b")).await), 200);
        assert_eq!(instance.asked_on(), [0, 1]);
    });
}

#[test]
fn a_close_after_the_request_left_is_a_doubt_and_tried_on_no_other_connection() {
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD), Act::Close], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert!(in_doubt(&dispatcher.send(instance.order("b")).await));
        assert_eq!(instance.asked_on(), [0, 0]);
    });
}

#[test]
fn an_instance_that_is_forgotten_keeps_no_connection() {
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD)], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        dispatcher.forget("i-1");
        assert_eq!(status(&dispatcher.send(instance.order("b")).await), 200);
        assert_eq!(instance.asked_on(), [0, 1]);
    });
}

#[test]
fn an_address_that_another_instance_took_over_is_connected_anew() {
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD)], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        let mut order = instance.order("b");
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        order.instance = "i-2".into();
        assert_eq!(status(&dispatcher.send(order).await), 200);
        assert_eq!(instance.asked_on(), [0, 1]);
    });
}

#[test]
fn no_more_connections_are_opened_than_the_instance_takes() {
    run(async {
        let instance = StandIn::start(vec![vec![Act::Silence], vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        let order = |id| dispatch::DispatchOrder { connections: 1, ..instance.order(id) };
        let silent = dispatcher.send(order("a"));
        let second = async {
            tokio::task::yield_now().await;
            dispatcher.send(order("b")).await
        };
        let detail = tokio::select! { biased; detail = silent => detail, detail = second => detail };
        assert_eq!(detail, DispatchOutcome::Crowded);
    });
}

#[test]
fn a_probes_connection_is_kept_for_use() {
    run(async {
        let instance = StandIn::start(vec![vec![answer(GOOD)]]).await;
        let dispatcher = dispatcher();
        assert!(dispatcher.probe("i-1", &instance.address, Duration::ZERO, Duration::from_secs(20)).await);
        assert_eq!(status(&dispatcher.send(instance.order("a")).await), 200);
        assert_eq!(instance.asked_on(), [0]);
    });
}
