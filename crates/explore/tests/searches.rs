//! Short searches of the modelled cluster find no violation and detect each planted fault. The `explore`
//! program runs longer searches.

use explore::{Budget, Limits, PlantedFault, Report, Scenario, explore, replay, walk};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

const SEED: u64 = 15;

fn budget() -> Budget {
    Budget { entries: 2, confirms: 1, crashes: 1, wipes: 1, drops: 1, silences: 1, passes: 4, leaves: 1, joins: 1 }
}

fn search(scenario: Scenario, planted_fault: PlantedFault, depth: usize) -> Report {
    let start = scenario.build(budget(), planted_fault);
    explore(&start, &Limits { depth, states: 20_000, seconds: 600, probe_every: 0 })
}

fn find_violation(scenario: Scenario, planted_fault: PlantedFault, depth: usize) -> String {
    let report = search(scenario, planted_fault, depth);
    report.finding.map_or_else(String::new, |finding| finding.violation)
}

#[test]
fn exhaustive_search_to_small_depth_finds_no_violation() {
    for (scenario, depth) in
        [(Scenario::Three, 2), (Scenario::Wiped, 2), (Scenario::Learning, 2), (Scenario::Replacing, 2)]
    {
        let report = search(scenario, PlantedFault::None, depth);
        println!("{scenario:?}: {} states, {} distinct", report.explored, report.distinct);
        assert!(report.complete && report.finding.is_none(), "{scenario:?}: {:?}", report.finding);
        assert!(report.distinct < report.explored, "visited states are explored again");
    }
}

#[test]
fn early_sync_report_is_detected() {
    let violation = find_violation(Scenario::Three, PlantedFault::EarlySync, 5);
    assert!(violation.starts_with("(b)"), "{violation}");
}

#[test]
fn forged_vote_is_detected() {
    let violation = find_violation(Scenario::Three, PlantedFault::ForgedVote, 5);
    assert!(violation.starts_with("(d)"), "{violation}");
}

#[test]
fn chain_of_only_a_learner_is_detected() {
    let violation = find_violation(Scenario::Learning, PlantedFault::LoneLearner, 4);
    assert!(violation.starts_with("(e)"), "{violation}");
}

#[test]
fn committed_entry_with_too_few_copies_is_detected() {
    let violation = find_violation(Scenario::Three, PlantedFault::ForgedCopy, 5);
    assert!(violation.starts_with("(b)"), "{violation}");
}

#[test]
fn seeded_walks_find_no_violation() {
    for scenario in [Scenario::Three, Scenario::Wiped, Scenario::Learning, Scenario::Replacing, Scenario::Six] {
        let start = scenario.build(budget(), PlantedFault::None);
        for seed in 1..=3 {
            let finding = walk(&start, seed, 30);
            assert!(finding.is_none(), "{scenario:?} seed {seed}: {finding:?}");
        }
    }
}

/// Fixes the seed, so that every run tries the same sequences.
fn seeded_config() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() }
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    prop_oneof![
        Just(Scenario::Three),
        Just(Scenario::Wiped),
        Just(Scenario::Learning),
        Just(Scenario::Replacing),
        Just(Scenario::Six),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..seeded_config() })]

    /// Each number picks one of the choices of the current state. On failure proptest shrinks the sequence
    /// and prints the shortest one it found.
    #[test]
    fn random_choice_sequences_find_no_violation(
        scenario in scenarios(),
        picks in prop::collection::vec(any::<u16>(), 0..40),
    ) {
        let start = scenario.build(budget(), PlantedFault::None);
        let finding = replay(&start, &picks);
        prop_assert!(finding.is_none(), "{:?}", finding);
    }
}

#[test]
fn failing_sequence_shrinks_to_few_choices() {
    let mut runner = TestRunner::new(ProptestConfig { cases: 200, ..seeded_config() });
    let start = Scenario::Learning.build(budget(), PlantedFault::LoneLearner);
    let outcome = runner.run(&prop::collection::vec(any::<u16>(), 0..60), |picks| {
        let finding = replay(&start, &picks);
        prop_assert!(finding.is_none());
        Ok(())
    });
    let Err(TestError::Fail(_, picks)) = outcome else { panic!("{outcome:?}") };
    println!("shrunk to {} choices: {:?}", picks.len(), replay(&start, &picks));
    assert!((1..=8).contains(&picks.len()), "{picks:?}");
}
