//! What is made of each answer, whole or not, where tasks carry ids.

mod stand_in;

use dispatch::{DispatchOrder, DispatchOutcome, send_to_instance};
use stand_in::{Act, StandIn, answer, dispatcher, last, run, status};
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;

fn outcome(act: Act) -> DispatchOutcome {
    run(async {
        let instance = StandIn::start(vec![vec![act]]).await;
        dispatcher().send(instance.order("a")).await
    })
}

#[test_case("HTTP/1.1 500 Own\nx-id: {id}\ncontent-length: 2\n\nno", 500; "a failure of its own")]
#[test_case("HTTP/1.1 504 Late\nx-id: {id}\ncontent-length: 0\n\n", 504; "its own deadline")]
#[test_case("HTTP/1.1 400 Bad\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", 400; "a request it cannot read")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ntransfer-encoding: chunked\n\n2\nok\n0\n\n", 200; "chunks")]
#[test_case("HTTP/1.1 100 Go on\n\nHTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 0\n\n", 200; "after an interim one")]
fn a_complete_answer_is_passed_on(words: &str, wanted: u16) {
    assert_eq!(status(&outcome(answer(words))), wanted);
}

#[test_case("HTTP/1.1 503 Full\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", false; "full")]
#[test_case("HTTP/1.1 429 Many\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n", false; "too many")]
#[test_case("HTTP/1.1 421 Other\nx-id: {id}\ncontent-length: 0\n\n", true; "another instance")]
fn an_instances_own_reply_says_that_it_did_not_run(words: &str, wrong_instance: bool) {
    assert_eq!(outcome(answer(words)), DispatchOutcome::NotRun { wrong_instance });
}

#[test_case("HTTP/1.1 503 Full\nx-id: {id}\ncontent-length: 0\n\n"; "a promise without the word")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\nx-not-run: 1\ncontent-length: 0\n\n"; "not run and yet answered")]
#[test_case("HTTP/1.1 200 OK\nx-id: other\ncontent-length: 0\n\n"; "another's id")]
#[test_case("HTTP/1.1 200 OK\ncontent-length: 0\n\n"; "no id")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-encoding: gzip\ncontent-length: 0\n\n"; "encoded")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\n\n"; "no length")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 1\ntransfer-encoding: chunked\n\n"; "two lengths")]
#[test_case("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: +1\n\nx"; "a length that is no number")]
#[test_case("HTTP/1.1 101 Switch\nx-id: {id}\n\n"; "another protocol")]
fn what_falls_short_is_in_doubt(words: &str) {
    let detail = outcome(answer(words));
    assert!(matches!(detail, DispatchOutcome::InDoubt { late: false, .. }), "{detail:?}");
}

#[test_case(last("HTTP/1.1 200 OK\nx-id: {id}\ncontent-length: 9\n\ncut"); "a body cut")]
#[test_case(last("HTTP/1.1 200 OK\nx-id: {id}\ntransfer-encoding: chunked\n\n5\nwhole\n"); "chunks cut")]
#[test_case(last("HTTP/1.1 200 OK\nx-"); "a head cut")]
#[test_case(last("\u{1}garbage\n\n"); "garbage")]
#[test_case(Act::Close; "closed without a byte")]
fn what_is_cut_is_in_doubt(act: Act) {
    let detail = outcome(act);
    assert!(matches!(detail, DispatchOutcome::InDoubt { late: false, .. }), "{detail:?}");
}

#[test]
fn silence_ends_with_the_tasks_time() {
    let detail = run(async {
        let instance = StandIn::start(vec![vec![Act::Silence]]).await;
        let limit = Duration::from_millis(30);
        dispatcher().send(DispatchOrder { limit, ..instance.order("a") }).await
    });
    assert!(matches!(detail, DispatchOutcome::InDoubt { late: true, .. }), "{detail:?}");
}

#[test]
fn where_nobody_listens_nothing_is_sent() {
    let detail = run(async {
        let mut order = StandIn::start(Vec::new()).await.order("a");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        order.address = listener.local_addr().expect("bound").to_string();
        drop(listener);
        dispatcher().send(order).await
    });
    assert_eq!(detail, DispatchOutcome::NotSent);
}

#[test]
fn a_head_that_would_break_out_of_its_line_is_never_written() {
    run(async {
        let instance = StandIn::start(vec![vec![Act::Close]]).await;
        let head = wire::RequestHead {
            method: "GET".into(),
            target: "/f HTTP/1.1\r\nx: y".into(),
            headers: Vec::new().into(),
        };
        let order = DispatchOrder { head: wire::to_bytes(&head), ..instance.order("a") };
        assert_eq!(status(&send_to_instance(order).await), 400);
        assert!(instance.asked.borrow().is_empty());
    });
}
