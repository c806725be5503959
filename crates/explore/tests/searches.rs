//! Short searches of the modelled cluster, and that they find each planted fault. Longer ones are
//! behind the flags of `explore`.

use explore::{Budget, Limits, Plant, Report, Scenario, explore, follow, walk};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

const SEED: u64 = 15;

fn budget() -> Budget {
    Budget { entries: 2, confirms: 1, crashes: 1, wipes: 1, drops: 1, silences: 1, passes: 4, leaves: 1, joins: 1 }
}

fn search(scenario: Scenario, plant: Plant, depth: usize) -> Report {
    let start = scenario.build(budget(), plant);
    explore(&start, &Limits { depth, states: 20_000, seconds: 600, probe_every: 0 })
}

fn finding(scenario: Scenario, plant: Plant, depth: usize) -> String {
    let report = search(scenario, plant, depth);
    report.finding.map_or_else(String::new, |finding| finding.told)
}

#[test]
fn no_choices_to_a_small_depth_break_an_invariant() {
    for (scenario, depth) in
        [(Scenario::Three, 2), (Scenario::Wiped, 2), (Scenario::Learning, 2), (Scenario::Replacing, 2)]
    {
        let report = search(scenario, Plant::None, depth);
        println!("{scenario:?}: {} states, {} distinct", report.explored, report.distinct);
        assert!(report.complete && report.finding.is_none(), "{scenario:?}: {:?}", report.finding);
        assert!(report.distinct < report.explored, "states that were visited are skipped");
    }
}

#[test]
fn an_answer_before_the_write_is_synced_is_found() {
    let told = finding(Scenario::Three, Plant::EarlySync, 5);
    assert!(told.starts_with("(b)"), "{told}");
}

#[test]
fn a_majority_that_is_one_vote_short_is_found() {
    let told = finding(Scenario::Three, Plant::ForgedVote, 5);
    assert!(told.starts_with("(d)"), "{told}");
}

#[test]
fn a_learner_that_survives_alone_is_found() {
    let told = finding(Scenario::Learning, Plant::LoneLearner, 4);
    assert!(told.starts_with("(e)"), "{told}");
}

#[test]
fn an_entry_with_too_few_copies_is_found() {
    let told = finding(Scenario::Three, Plant::ForgedCopy, 5);
    assert!(told.starts_with("(b)"), "{told}");
}

#[test]
fn fixed_walks_break_no_invariant() {
    for scenario in [Scenario::Three, Scenario::Wiped, Scenario::Learning, Scenario::Replacing, Scenario::Six] {
        let start = scenario.build(budget(), Plant::None);
        for seed in 1..=3 {
            let finding = walk(&start, seed, 30);
            assert!(finding.is_none(), "{scenario:?} seed {seed}: {finding:?}");
        }
    }
}

/// The same sequences each time; another seed takes others.
fn seeded() -> ProptestConfig {
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
    #![proptest_config(ProptestConfig { cases: 16, ..seeded() })]

    /// Each number picks one of the choices of its state; a failing sequence shrinks. On failure proptest
    /// prints the shortest sequence that it found.
    #[test]
    fn no_sequence_of_choices_breaks_an_invariant(
        scenario in scenarios(),
        picks in prop::collection::vec(any::<u16>(), 0..40),
    ) {
        let start = scenario.build(budget(), Plant::None);
        let finding = follow(&start, &picks);
        prop_assert!(finding.is_none(), "{:?}", finding);
    }
}

#[test]
fn a_failing_sequence_shrinks_to_a_short_one() {
    let mut runner = TestRunner::new(ProptestConfig { cases: 200, ..seeded() });
    let start = Scenario::Learning.build(budget(), Plant::LoneLearner);
    let outcome = runner.run(&prop::collection::vec(any::<u16>(), 0..60), |picks| {
        let finding = follow(&start, &picks);
        prop_assert!(finding.is_none());
        Ok(())
    });
    let Err(TestError::Fail(_, picks)) = outcome else { panic!("{outcome:?}") };
    println!("shrunk to {} choices: {:?}", picks.len(), follow(&start, &picks));
    assert!((1..=8).contains(&picks.len()), "{picks:?}");
}
