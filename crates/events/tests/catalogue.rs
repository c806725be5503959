//! The catalogue of events in the documentation matches the one in code, and event numbers are unique.

use events::EVENTS;

#[test]
fn the_catalogue_in_the_docs_and_the_one_in_code_are_equal() {
    let page = include_str!("../../../docs/events.md");
    let mut listed: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| line.split('|').skip(1).take(3).map(str::trim).collect::<Vec<_>>().join(" "))
        .collect();
    let mut declared: Vec<String> = EVENTS
        .all()
        .iter()
        .map(|e| format!("E{:04} {} {}", e.number, e.level.as_str().to_lowercase(), e.title))
        .collect();
    listed.sort();
    declared.sort();
    assert_eq!(listed, declared);
    declared.dedup_by_key(|line| line[..5].to_owned());
    assert_eq!(declared.len(), EVENTS.all().len());
}
