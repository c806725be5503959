//! What holds of every drawn timetable.

use super::*;
use std::collections::BTreeMap;

const EXTENT: Extent = Extent { seconds: 90, routers: 10, workers: 12 };

fn in_trouble(faults: &[Timed], kind: &str) -> usize {
    let mut down: BTreeMap<String, bool> = BTreeMap::new();
    let mut most = 0;
    for fault in faults {
        let Some((verb, of)) = fault.what.split_once('-') else { continue };
        if of == kind {
            down.insert(fault.which.clone(), !["start", "thaw"].contains(&verb));
            most = most.max(down.values().filter(|is_down| **is_down).count());
        }
    }
    assert!(down.values().all(|is_down| !is_down), "all are back at the end: {down:?}");
    most
}

#[test]
fn one_registry_at_most_and_a_third_of_the_routers_are_in_trouble_and_all_come_back() {
    for seed in 0..200 {
        let faults = draw(seed, EXTENT);
        assert_eq!(in_trouble(&faults, "registry"), 1, "seed {seed}");
        assert!(in_trouble(&faults, "router") <= EXTENT.routers / 3, "seed {seed}");
        let last = faults.last().unwrap().at;
        assert!(last <= Duration::from_secs(EXTENT.seconds), "seed {seed}: {last:?}");
        let touched = faults.iter().filter(|fault| fault.what.ends_with("-router")).map(|fault| fault.which.parse());
        assert!(touched.flatten().all(|router: usize| router >= EXTENT.witnesses()), "seed {seed}");
    }
}

#[test]
fn the_same_seed_draws_the_same_and_another_seed_another() {
    let words = |seed| draw(seed, EXTENT).iter().map(|fault| format!("{fault:?}")).collect::<Vec<_>>();
    assert_eq!(words(7), words(7));
    assert_ne!(words(7), words(8));
}

#[test]
fn every_kind_is_drawn() {
    let drawn: Vec<String> = (0..20).flat_map(|seed| draw(seed, EXTENT)).map(|fault| fault.what).collect();
    for what in [
        "kill-registry",
        "stop-registry",
        "freeze-registry",
        "wipe-registry",
        "kill-router",
        "stop-router",
        "freeze-router",
        "cut",
        "cut-one-way",
        "crash-worker",
        "patch",
    ] {
        assert!(drawn.iter().any(|known| known == what), "{what}");
    }
}
