//! Responses under a limit on memory, and chunked responses that arrive in pieces.

mod fake_instance;

use dispatch::{AnswerMemory, DispatchOutcome, Dispatcher, UNRESERVED_ANSWER_BYTES};
use fake_instance::{FakeInstance, answer, dialect, run, with_crlf};
use memory::MemoryBudget;
use std::cell::RefCell;
use std::rc::Rc;
use test_case::test_case;

const CAPACITY_BYTES: usize = dispatch::MAX_ANSWER_BYTES;

fn response(body_bytes: usize) -> String {
    format!("HTTP/1.1 200 OK\nx-id: {{id}}\ncontent-length: {body_bytes}\n\n{}", "x".repeat(body_bytes))
}

fn chunked_response(chunks: usize, chunk_bytes: usize) -> String {
    let chunk = format!("{chunk_bytes:x}\n{}\n", "x".repeat(chunk_bytes));
    format!("HTTP/1.1 200 OK\nx-id: {{id}}\ntransfer-encoding: chunked\n\n{}0\n\n", chunk.repeat(chunks))
}

/// Returns the size of the body that a dispatcher with this memory passes on, and the bytes that are reserved while it is
/// held.
fn body_bytes(response: &str, budget: &MemoryBudget) -> (Option<usize>, usize) {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(response)]]).await;
        let memory = AnswerMemory::new(budget.clone(), Rc::new(|_| {}));
        match Dispatcher::with_memory(dialect(), memory).send(instance.order("a")).await {
            DispatchOutcome::Complete { body, .. } => (Some(body.len()), budget.reserved_bytes()),
            _ => (None, budget.reserved_bytes()),
        }
    })
}

#[test_case(response(0), 0; "empty")]
#[test_case(response(100), 100; "small")]
#[test_case(response(CAPACITY_BYTES), CAPACITY_BYTES; "the largest")]
#[test_case(chunked_response(1, CAPACITY_BYTES), CAPACITY_BYTES; "the largest as one chunk")]
#[test_case(chunked_response(10_000, 20), 200_000; "in tiny chunks")]
#[test_case(chunked_response(5, 20_000), 100_000; "in large chunks")]
fn a_response_reserves_its_memory_until_it_is_dropped(response: String, expected_bytes: usize) {
    let budget = MemoryBudget::new(CAPACITY_BYTES);
    let (bytes, reserved) = body_bytes(&response, &budget);
    assert_eq!(bytes, Some(expected_bytes));
    let expected = if expected_bytes > UNRESERVED_ANSWER_BYTES { expected_bytes } else { 0 };
    assert!(reserved >= expected && (expected > 0 || reserved == 0), "{reserved} bytes are reserved");
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test_case(chunked_response(1, CAPACITY_BYTES + 1); "one chunk too large")]
#[test_case(chunked_response(2, CAPACITY_BYTES / 2 + 1); "too large in all")]
fn a_chunked_response_over_the_limit_is_not_passed_on(response: String) {
    let budget = MemoryBudget::new(CAPACITY_BYTES);
    assert_eq!(body_bytes(&response, &budget), (None, 0));
}

#[test]
fn a_large_response_waits_for_memory_and_reports_that_it_is_missing() {
    run(async {
        let instance = FakeInstance::start(vec![vec![answer(&response(UNRESERVED_ANSWER_BYTES + 1))]]).await;
        let budget = MemoryBudget::new(CAPACITY_BYTES);
        let held = Rc::new(RefCell::new(budget.try_reserve(CAPACITY_BYTES)));
        let release = held.clone();
        // Whoever is told of the shortage frees the memory.
        let report = move |missing_bytes| {
            assert_eq!(missing_bytes, UNRESERVED_ANSWER_BYTES + 1);
            drop(release.borrow_mut().take());
        };
        let dispatcher = Dispatcher::with_memory(dialect(), AnswerMemory::new(budget, Rc::new(report)));
        let outcome = dispatcher.send(instance.order("a")).await;
        assert!(matches!(outcome, DispatchOutcome::Complete { status: 200, .. }), "{outcome:?}");
        assert!(held.borrow().is_none());
    });
}

#[test_case("5\nwhole\n"; "no last chunk")]
#[test_case("5\nwholeX\n0\n\n"; "chunk without its end")]
#[test_case("x\nwhole\n0\n\n"; "size that is no number")]
#[test_case("0\nno header\n\n"; "malformed trailer")]
fn a_malformed_chunked_response_is_not_passed_on(chunks: &str) {
    let text = format!("HTTP/1.1 200 OK\nx-id: {{id}}\ntransfer-encoding: chunked\n\n{chunks}");
    let outcome = run(async {
        let action = fake_instance::answer_and_close(&text);
        let instance = FakeInstance::start(vec![vec![action]]).await;
        fake_instance::dispatcher().send(instance.order("a")).await
    });
    assert!(matches!(outcome, DispatchOutcome::InDoubt { .. }), "{outcome:?} of {}", with_crlf(&text));
}
