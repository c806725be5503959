//! Bodies that are read under limits of size, time and memory.

use super::*;
use crate::test_router::limits;
use futures_lite::stream;
use http_body::Frame;
use http_body_util::StreamBody;
use std::convert::Infallible;
use test_case::test_case;

const NO_TIME: Duration = Duration::ZERO;
const MAX_BYTES: usize = 256 * 1024;

/// Reads a body with so many bytes of memory for large requests; returns what was read and the memory that is reserved
/// afterwards.
fn read(memory: &RequestMemory, body: Body) -> Result<Bytes, BodyError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (connection, shortages) = (ConnectionHandle::default(), http_server::shortages().0);
    let reader = BodyReader { memory, shortages: &shortages, connection: &connection };
    // A body that lacks memory would wait for as long as its time allows.
    let limits = CallerLimits { body_bytes: MAX_BYTES, body_time: NO_TIME, ..limits() };
    runtime.block_on(reader.read(body, &limits))
}

fn pieces(count: usize, piece_bytes: usize) -> Body {
    let piece = Bytes::from(vec![b'x'; piece_bytes]);
    let frames = (0..count).map(move |_| Ok::<_, Infallible>(Frame::data(piece.clone())));
    Body::new(StreamBody::new(stream::iter(frames)))
}

#[test_case(1, 0; "empty")]
#[test_case(1, 1; "one byte")]
#[test_case(5000, 1; "single bytes")]
#[test_case(3, 64 * 1024; "large pieces")]
#[test_case(1, MAX_BYTES; "the largest body")]
fn a_body_is_read_completely_and_gives_its_memory_back(count: usize, piece_bytes: usize) {
    let memory = RequestMemory::new(0, MAX_BYTES);
    let body = read(&memory, pieces(count, piece_bytes)).expect("the body is read");
    assert_eq!(body, vec![b'x'; count * piece_bytes]);
    assert_eq!(memory.large().reserved_bytes() > 0, body.len() > UNRESERVED_BODY_BYTES);
    assert!(memory.large().reserved_bytes() <= MAX_BYTES, "no more than the largest body");
    drop(body);
    assert_eq!(memory.large().reserved_bytes(), 0);
}

#[test]
fn a_body_that_is_longer_than_allowed_gives_its_memory_back() {
    let memory = RequestMemory::new(0, MAX_BYTES);
    assert_eq!(read(&memory, pieces(2, MAX_BYTES / 2 + 1)), Err(BodyError::TooLong));
    assert_eq!(memory.large().reserved_bytes(), 0);
}

#[test]
fn a_body_that_finds_no_memory_in_time_is_refused() {
    let memory = RequestMemory::new(0, MAX_BYTES);
    let other = memory.large().try_reserve(1).expect("free memory");
    assert_eq!(read(&memory, pieces(1, MAX_BYTES)), Err(BodyError::TooSlow));
    drop(other);
    assert_eq!((memory.large().reserved_bytes(), memory.large().shortages()), (0, 1));
}

#[test]
fn a_declared_length_over_the_limit_is_refused_before_anything_is_read() {
    let memory = RequestMemory::new(0, 0);
    assert_eq!(read(&memory, Body::from(vec![b'x'; MAX_BYTES + 1])), Err(BodyError::TooLong));
}

#[test]
fn a_small_body_needs_no_memory_of_large_requests() {
    let memory = RequestMemory::new(0, 0);
    assert_eq!(read(&memory, pieces(UNRESERVED_BODY_BYTES, 1)).map(|body| body.len()), Ok(UNRESERVED_BODY_BYTES));
}
