//! Memory of forwarded requests at their owner: one for which there is none is refused before it runs, and what an
//! answered one took is free again. Requests of the owner's own callers are accounted for at the front.

mod common;

use common::ME;
use common::provider::{OwnerWithProvider, request, six_workers};
use test_case::test_case;
use traffic::{OwnerInput, OwnerOutput, OwnerSettings, RequestMemory};
use wire::{ForwardMessage, NodeId, Outcome};

const OTHER: NodeId = 5;
const SMALL_MEMORY_BYTES: usize = 32 * 1024;
const LARGE_MEMORY_BYTES: usize = 300 * 1024;
const LARGE_BODY_BYTES: usize = 256 * 1024;

fn owner() -> (OwnerWithProvider, RequestMemory) {
    let memory = RequestMemory::new(SMALL_MEMORY_BYTES, LARGE_MEMORY_BYTES);
    let settings = OwnerSettings { memory: memory.clone(), ..OwnerSettings::default() };
    (OwnerWithProvider::with_settings(settings, ME, 0, six_workers()), memory)
}

/// Forwards a request from another router or from this one, and returns the refused requests of the other one.
fn forward(owner: &mut OwnerWithProvider, from: NodeId, task: u64, body_bytes: usize) -> Vec<u64> {
    let message = request(task, vec![b'x'; body_bytes]);
    owner.feed(OwnerInput::Forward { from, message });
    refused(owner)
}

/// Returns the requests that were answered as not run, with a time after which to try again.
fn refused(owner: &mut OwnerWithProvider) -> Vec<u64> {
    let answers = std::mem::take(&mut owner.others);
    let refused = answers.iter().filter_map(|output| match output {
        OwnerOutput::Forward {
            message: ForwardMessage::Answer { task, outcome: Outcome::NotRun, status: 503, retry_after_ms: 1.., .. },
            ..
        } => Some(*task),
        _ => None,
    });
    refused.collect()
}

#[test_case(OTHER, vec![2]; "of another router's caller")]
#[test_case(ME, vec![]; "of a caller of this router")]
fn a_large_request_without_memory_is_refused(from: NodeId, expected: Vec<u64>) {
    let (mut owner, _) = owner();
    assert_eq!(forward(&mut owner, from, 1, LARGE_BODY_BYTES), Vec::<u64>::new());
    assert_eq!(forward(&mut owner, from, 2, LARGE_BODY_BYTES), expected);
}

#[test]
fn large_requests_leave_memory_for_small_ones() {
    let (mut owner, _) = owner();
    forward(&mut owner, OTHER, 1, LARGE_BODY_BYTES);
    assert_eq!(forward(&mut owner, OTHER, 2, 100), Vec::<u64>::new());
}

#[test]
fn memory_is_free_again_once_the_request_is_answered() {
    let (mut owner, memory) = owner();
    forward(&mut owner, OTHER, 1, LARGE_BODY_BYTES);
    assert!(memory.large().reserved_bytes() >= LARGE_BODY_BYTES);
    owner.pass(5000);
    assert_eq!((refused(&mut owner), memory.large().reserved_bytes()), (vec![1], 0));
}
