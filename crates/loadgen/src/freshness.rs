//! Checks that tasks follow the acknowledged revisions. While the load runs, one route is switched from function
//! to function, so that the instance that ran a task shows which revision was followed. No older revision may be
//! followed 3 s after a newer change was acknowledged, nor 250 ms after the newer one was seen in an answer; and
//! a refused change may never be followed.

use crate::rules::InstanceRecord;
use crate::tally::Attempt;
use checker::{Invocation, Response, find_anomalies};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the acknowledgement of a change from which every task must follow it.
const FOLLOW_LIMIT_MS: u64 = 3000;
/// Time after the first answer under a revision from which no task may follow an older one.
const SLIP_LIMIT_MS: u64 = 250;

/// One change of the route: the times of request and answer, its status, and the function it switched to.
#[derive(Clone, Debug, Deserialize)]
pub struct Change {
    pub asked: u64,
    #[serde(rename = "told")]
    pub answered: u64,
    pub status: u16,
    pub revision: u64,
    pub base: u64,
    pub service: String,
    /// Whether the change was read back after it had been refused.
    #[serde(default)]
    pub read: bool,
}

/// Number of evaluated runs, and descriptions of all violations.
pub struct Freshness {
    pub judged_runs: usize,
    pub outdated: Vec<String>,
    pub slipped_back: Vec<String>,
    pub refused_followed: Vec<String>,
    pub races: Vec<String>,
    pub anomalies: Vec<String>,
}

impl Change {
    /// Returns the change as an invocation; each change is sent once.
    fn invocation(&self) -> Invocation {
        Invocation {
            change: format!("{} asked at {}", self.service, self.asked),
            base: (self.base > 0).then_some(self.base),
            is_valid: true,
            sent: Duration::from_millis(self.asked),
            ended: Duration::from_millis(self.answered),
            response: match self.status {
                200 => Response::Acknowledged { revision: self.revision },
                412 => Response::Stale,
                400..=499 => Response::Invalid,
                _ => Response::Unknown,
            },
        }
    }
}

/// Checks the runs of tasks on the route `path` against the changes of that route.
pub fn check_freshness(attempts: &[Attempt], runs: &[&InstanceRecord], changes: &[Change], path: &str) -> Freshness {
    let mut acknowledged: Vec<&Change> = changes.iter().filter(|change| change.status == 200).collect();
    acknowledged.sort_by_key(|change| change.revision);
    let asked: BTreeMap<&str, &Attempt> =
        attempts.iter().filter(|a| a.path == path).map(|a| (a.label.as_str(), a)).collect();
    // A run followed the newest change to its function that was requested before the run.
    let followed = |run: &InstanceRecord| {
        let same = |change: &&Change| change.service == run.service && change.asked <= run.at;
        changes.iter().filter(same).max_by_key(|change| change.asked)
    };
    let mut first_seen: BTreeMap<u64, u64> = BTreeMap::new();
    let mut followed_runs = Vec::new();
    let read = changes.iter().filter(|change| change.read && change.status != 200);
    let mut refused: Vec<String> = read.map(|change| format!("{} was read back", change.service)).collect();
    for run in runs {
        let Some(attempt) = asked.get(run.task.as_str()) else { continue };
        let Some(change) = followed(run) else { continue };
        match change.status {
            200 => {
                followed_runs.push((run.at, change.revision, run.task.clone()));
                if attempt.status == 200 {
                    let at = first_seen.entry(change.revision).or_insert(u64::MAX);
                    *at = (*at).min(attempt.at + attempt.took);
                }
            }
            400..=499 => refused.push(format!("{} ran at {}, asked on {}", run.task, run.service, change.base)),
            _ => {}
        }
    }
    let required = |at: u64| {
        acknowledged.iter().filter(|c| c.answered + FOLLOW_LIMIT_MS < at).map(|c| c.revision).max().unwrap_or(0)
    };
    let newest = |at: u64| {
        first_seen.iter().filter(|(_, first)| **first + SLIP_LIMIT_MS < at).map(|(r, _)| *r).max().unwrap_or(0)
    };
    let runs_below = |bound: &dyn Fn(u64) -> u64| -> Vec<String> {
        let late = followed_runs.iter().filter(|(at, revision, _)| *revision < bound(*at));
        late.map(|(at, revision, task)| format!("{task} at {at} followed {revision}, not {}", bound(*at))).collect()
    };
    let mut bases: BTreeMap<u64, usize> = BTreeMap::new();
    acknowledged.iter().filter(|change| change.base > 0).for_each(|change| *bases.entry(change.base).or_default() += 1);
    let races = bases.iter().filter(|(_, count)| **count > 1);
    let history: Vec<Invocation> = changes.iter().map(Change::invocation).collect();
    Freshness {
        judged_runs: followed_runs.len(),
        outdated: runs_below(&required),
        slipped_back: runs_below(&newest),
        refused_followed: refused,
        races: races.map(|(base, count)| format!("{count} changes on revision {base}")).collect(),
        anomalies: find_anomalies(&history, &[]).iter().map(|anomaly| format!("{anomaly:?}")).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(asked: u64, status: u16, revision: u64, base: u64, service: &str) -> Change {
        Change { asked, answered: asked + 50, status, revision, base, service: service.into(), read: false }
    }

    fn found(runs: &[(u64, &str)], more: &[Change]) -> Freshness {
        let mut changes =
            vec![change(0, 200, 1, 0, "p/t0"), change(10_000, 200, 2, 1, "p/t1"), change(20_000, 412, 0, 2, "p/t2")];
        changes.extend_from_slice(more);
        let labels: Vec<String> = (0..runs.len()).map(|n| format!("x{n}#1")).collect();
        let attempts: Vec<Attempt> = labels
            .iter()
            .zip(runs)
            .map(|(label, (at, _))| Attempt {
                label: label.clone(),
                path: "/turn".into(),
                at: at - 5,
                took: 30,
                status: 200,
                ..Attempt::default()
            })
            .collect();
        let lines: Vec<InstanceRecord> = labels
            .iter()
            .zip(runs)
            .map(|(label, (at, service))| InstanceRecord {
                at: *at,
                what: "run".into(),
                task: label.clone(),
                service: (*service).into(),
                instance: String::new(),
            })
            .collect();
        check_freshness(&attempts, &lines.iter().collect::<Vec<_>>(), &changes, "/turn")
    }

    #[test]
    fn each_violation_planted_in_a_record_is_reported() {
        let good = found(&[(5000, "p/t0"), (10_030, "p/t1"), (10_200, "p/t0"), (15_000, "p/t1")], &[]);
        assert_eq!(
            (good.judged_runs, good.outdated.len(), good.slipped_back.len(), good.refused_followed.len()),
            (4, 0, 0, 0)
        );
        assert_eq!(found(&[(13_051, "p/t0")], &[]).outdated.len(), 1);
        assert_eq!(found(&[(13_050, "p/t0")], &[]).outdated.len(), 0);
        assert_eq!(found(&[(10_030, "p/t1"), (10_306, "p/t0")], &[]).slipped_back.len(), 1);
        assert_eq!(found(&[(20_100, "p/t2")], &[]).refused_followed.len(), 1);
        assert_eq!(found(&[], &[change(10_001, 200, 3, 1, "p/t3")]).races.len(), 1);
        assert!(found(&[], &[]).races.is_empty());
        // The record lacks the change that won against the one refused at 20 s, which is one anomaly.
        let anomalies = |more: &[Change]| found(&[], more).anomalies.len();
        assert_eq!(anomalies(&[]), 1);
        assert_eq!(anomalies(&[change(19_990, 200, 3, 2, "p/t3")]), 0, "with the winning change the record is correct");
        assert_eq!(
            anomalies(&[change(20_100, 200, 2, 1, "p/t3")]),
            4,
            "a second winner, its revision used twice, a decreasing revision"
        );
        assert_eq!(anomalies(&[change(10_010, 412, 0, 1, "p/t3")]), 1, "another change was first");
        assert_eq!(anomalies(&[change(5000, 412, 0, 1, "p/t3")]), 2, "no other change was first");
        let read = Change { read: true, ..change(30_000, 412, 0, 2, "p/t3") };
        assert_eq!(found(&[], &[read]).refused_followed.len(), 1);
    }
}
