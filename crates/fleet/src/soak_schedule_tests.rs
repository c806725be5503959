//! Properties of every drawn schedule.

use super::*;
use std::collections::BTreeMap;

const SIZE: SoakSize = SoakSize { seconds: 90, routers: 10, workers: 12 };

fn max_down(faults: &[ScheduledFault], node_kind: &str) -> usize {
    let mut down: BTreeMap<String, bool> = BTreeMap::new();
    let mut max = 0;
    for fault in faults {
        let Some((verb, of)) = fault.kind.split_once('-') else { continue };
        if of == node_kind {
            down.insert(fault.target.clone(), !["start", "thaw"].contains(&verb));
            max = max.max(down.values().filter(|is_down| **is_down).count());
        }
    }
    assert!(down.values().all(|is_down| !is_down), "not all processes are back at the end: {down:?}");
    max
}

#[test]
fn at_most_one_registry_and_a_third_of_routers_are_down_and_all_return() {
    for seed in 0..200 {
        let faults = draw_schedule(seed, SIZE);
        assert_eq!(max_down(&faults, "registry"), 1, "seed {seed}");
        assert!(max_down(&faults, "router") <= SIZE.routers / 3, "seed {seed}");
        let last = faults.last().unwrap().at;
        assert!(last <= Duration::from_secs(SIZE.seconds), "seed {seed}: {last:?}");
        let touched = faults.iter().filter(|fault| fault.kind.ends_with("-router")).map(|fault| fault.target.parse());
        assert!(touched.flatten().all(|router: usize| router >= SIZE.untouched_routers()), "seed {seed}");
    }
}

#[test]
fn schedule_depends_only_on_the_seed() {
    let words = |seed| draw_schedule(seed, SIZE).iter().map(|fault| format!("{fault:?}")).collect::<Vec<_>>();
    assert_eq!(words(7), words(7));
    assert_ne!(words(7), words(8));
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let drawn: Vec<String> = (0..20).flat_map(|seed| draw_schedule(seed, SIZE)).map(|fault| fault.kind).collect();
    for kind in [
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
        assert!(drawn.iter().any(|known| known == kind), "{kind}");
    }
}
