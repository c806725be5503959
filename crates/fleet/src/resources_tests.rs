//! Growth is reported, noise is not, and a process that started late is not evaluated.

use super::*;

fn usages(memory_kb: impl Fn(usize) -> f64, count: usize) -> Usages {
    let samples = (0..count).map(|round| Usage { values: [memory_kb(round), 40.0, 7.0] }).collect();
    Usages { samples: BTreeMap::from([(("router-0".to_owned(), 1), samples)]), rounds: 60 }
}

#[test]
fn growing_memory_use_is_reported() {
    let (lines, growing) = usages(|round| 20_000.0 + 2000.0 * round as f64, 60).report();
    assert_eq!((lines.len(), growing.len()), (3, 1));
    assert!(growing[0].contains("memory KB"), "{growing:?}");
}

#[test]
fn noise_and_late_processes_are_not_reported() {
    assert!(usages(|round| 20_000.0 + (round % 7) as f64 * 900.0, 60).report().1.is_empty());
    assert!(usages(|round| 20_000.0 * round as f64, 30).report().0.is_empty());
}

#[test]
fn usage_of_this_process_is_read() {
    let usage = Usage::read(std::process::id()).unwrap();
    assert!(usage.values.iter().all(|value| *value > 0.0), "{usage:?}");
}
