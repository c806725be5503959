//! Raw bytes that instances may send back, and the outcomes that the dispatcher reports for them: only a complete answer
//! counts as one, and a request that was never sent is distinguished from one that may have run.

use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use traffic::{DispatchOrder, DispatchOutcome, send_to_instance};
use wire::RequestHead;

fn order(address: String) -> DispatchOrder {
    let head = RequestHead { method: "POST".into(), target: "/f".into(), headers: Vec::new().into() };
    let limit = Duration::from_secs(5);
    let (head, body) = (wire::to_bytes(&head), b"work".to_vec());
    DispatchOrder {
        number: 1,
        instance_id: "i-1".into(),
        address,
        head,
        body: body.into(),
        time_left: limit,
        max_connections: u32::MAX,
    }
}

fn outcome(answer: Vec<u8>) -> DispatchOutcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            while !received.ends_with(b"work") {
                let mut buffer = [0u8; 1024];
                let count = stream.read(&mut buffer).await.unwrap();
                received.extend_from_slice(&buffer[..count]);
            }
            let _ = stream.write_all(&answer).await;
        });
        send_to_instance(order(address)).await
    })
}

fn http_bytes(text: &str) -> Vec<u8> {
    text.replace('\n', "\r\n").into_bytes()
}

#[test_case("HTTP/1.1 200 OK\ncontent-length: 5\n\nwhole", 200, "whole"; "a declared length met")]
#[test_case("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n5\nwhole\n0\n\n", 200, "whole"; "chunks to their end")]
#[test_case("HTTP/1.1 204 No Content\n\n", 204, ""; "no content")]
#[test_case("HTTP/1.1 503 Busy\ncontent-length: 0\n\n", 503, ""; "a refusal by the instance")]
fn a_complete_answer_is_passed_on(answer: &str, expected_status: u16, expected_body: &str) {
    match outcome(http_bytes(answer)) {
        DispatchOutcome::Complete { status, body, turned_away, .. } => {
            assert_eq!(
                (status, body, turned_away),
                (expected_status, expected_body.as_bytes().to_vec().into(), expected_status == 503)
            );
        }
        other => panic!("{other:?}"),
    }
}

#[test_case("HTTP/1.1 200 OK\ncontent-length: 9\n\nshort"; "shorter than declared")]
#[test_case("HTTP/1.1 200 OK\ncontent-length: 5\n\nwhole and more"; "longer than declared")]
#[test_case("HTTP/1.1 200 OK\n\nuntil it closes"; "no length")]
#[test_case("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n5\nwhole\n"; "chunks cut off")]
#[test_case("HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\nzz\nwhole\n0\n\n"; "invalid chunk size")]
#[test_case("HTTP/1.1 200 OK\ncontent-length: 5\ncontent-length: 6\n\nwhole"; "two lengths")]
#[test_case("HTTP/1.1 200 OK\ncontent-length: 99999999\n\nwhole"; "a length over the limit")]
#[test_case("HTTP/1.1 200 OK\ncontent-le"; "a head cut off")]
#[test_case("\u{1}\u{2}garbage\n\n"; "garbage")]
#[test_case(""; "nothing")]
fn an_incomplete_or_malformed_answer_leaves_the_outcome_in_doubt(answer: &str) {
    let outcome = outcome(http_bytes(answer));
    assert!(matches!(outcome, DispatchOutcome::InDoubt { .. }), "{outcome:?}");
}

#[test]
fn an_oversized_answer_is_in_doubt_and_a_closed_listener_is_unreachable() {
    let mut long = http_bytes("HTTP/1.1 200 OK\ncontent-length: 5000000\n\n");
    long.extend(std::iter::repeat_n(b'x', 5_000_000));
    assert!(matches!(outcome(long), DispatchOutcome::InDoubt { .. }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let unreachable = LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        drop(listener);
        send_to_instance(order(address)).await
    });
    assert_eq!(unreachable, DispatchOutcome::Unreachable);
}
