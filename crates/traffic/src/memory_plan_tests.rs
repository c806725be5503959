//! Division of a router's memory, and the memory that single requests need.

use super::*;
use config::{Settings, Source};
use test_case::test_case;

fn settings(memory_mb: usize, file_descriptors: usize) -> RouterSettings {
    let flags = [
        ("address", "10.0.0.1:1".to_owned()),
        ("listen", "10.0.0.1:2".to_owned()),
        ("ops", "10.0.0.1:3".to_owned()),
        ("platform", "10.0.0.1:4".to_owned()),
        ("seeds", "10.0.0.1:5,10.0.0.2:5,10.0.0.3:5".to_owned()),
        ("memory_mb", memory_mb.to_string()),
        ("file_descriptors", file_descriptors.to_string()),
    ];
    let flags = flags.map(|(name, value)| (name.to_owned(), value)).to_vec();
    RouterSettings::read(&Source::new("", flags).expect("flags")).expect("valid settings")
}

/// Returns the bytes that the plan gives to what it counts.
fn planned_bytes(plan: &MemoryPlan) -> usize {
    let budgets = [&plan.requests.small, &plan.requests.large, &plan.forwarded.small, &plan.forwarded.large];
    let answers = [&plan.instance_answers, &plan.arriving_answers];
    let budgets = budgets.into_iter().chain(answers).map(MemoryBudget::capacity_bytes).sum::<usize>();
    plan.connections * CONNECTION_BYTES + budgets
}

#[test_case(96; "the smallest whose parts are not raised for a single request")]
#[test_case(160; "a machine of the large deployments")]
#[test_case(260; "a machine of the small deployments")]
#[test_case(4000; "a large machine")]
fn what_is_held_for_others_leaves_half_of_the_memory(memory_mb: usize) {
    let plan = MemoryPlan::new(&settings(memory_mb, 100_000));
    assert!(planned_bytes(&plan) <= memory_mb * BYTES_PER_MB / 2, "{}", planned_bytes(&plan));
}

#[test_case(32; "the least that is allowed")]
#[test_case(64; "a machine of the tests")]
fn a_single_request_and_a_single_answer_of_the_largest_size_fit(memory_mb: usize) {
    let settings = settings(memory_mb, 1024);
    let plan = MemoryPlan::new(&settings);
    let need = RequestMemory::need(settings.head_bytes, settings.body);
    assert!(plan.requests.try_reserve(need).is_some() && plan.forwarded.try_reserve(need).is_some());
    assert!(plan.instance_answers.try_reserve(dispatch::MAX_ANSWER_BYTES).is_some());
    assert!(plan.arriving_answers.try_reserve(dispatch::MAX_ANSWER_BYTES).is_some());
}

#[test_case(160, 3900, 854; "by memory")]
#[test_case(4000, 3900, 1950; "half of the descriptors")]
#[test_case(4000, 100_000, 4096; "the setting itself")]
fn connections_are_limited_by_memory_and_descriptors(memory_mb: usize, descriptors: usize, expected: usize) {
    assert_eq!(MemoryPlan::new(&settings(memory_mb, descriptors)).connections, expected);
}

#[test]
fn large_requests_leave_the_memory_of_small_ones_alone() {
    let memory = RequestMemory::new(LARGE_REQUEST_BYTES, LARGE_REQUEST_BYTES);
    let large = memory.try_reserve(RequestMemory::need(0, LARGE_REQUEST_BYTES - RECORD_BYTES));
    assert!(large.is_some() && memory.try_reserve(RequestMemory::need(0, LARGE_REQUEST_BYTES)).is_none());
    assert!(memory.try_reserve(RequestMemory::need(100, 100)).is_some());
}
