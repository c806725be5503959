//! The rules a caller's record and the instances' record must keep between them.

use crate::spans::is_own_refusal;
use crate::tally::Attempt;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    pub at: u64,
    pub what: String,
    #[serde(default)]
    pub task: String,
    #[serde(default)]
    pub service: String,
    #[serde(default)]
    pub instance: String,
}

const TURNED_MOST: usize = 11;
const LEAVING_MS: u64 = 3000;
const SHOWN: usize = 5;

pub fn broken(attempts: &[Attempt], lines: &[Run], refusals: Option<usize>) -> Vec<String> {
    let runs: Vec<&Run> = lines.iter().filter(|line| line.what == "run").collect();
    let mut faults = Vec::new();
    let mut by_label: BTreeMap<&str, usize> = BTreeMap::new();
    let mut by_task: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &runs {
        *by_label.entry(&run.task).or_default() += 1;
        *by_task.entry(run.task.split('#').next().unwrap_or_default()).or_default() += 1;
    }
    let mut tell = |rule: &str, list: Vec<String>| {
        for line in list.iter().take(SHOWN) {
            faults.push(format!("{rule}: {line}"));
        }
        if list.len() > SHOWN {
            faults.push(format!("{rule}: and {} more", list.len() - SHOWN));
        }
    };
    let once: BTreeSet<&str> = attempts.iter().filter(|a| a.class == "once").map(|a| a.task.as_str()).collect();
    let twice = once.iter().filter(|task| by_task.get(*task).copied().unwrap_or(0) > 1);
    tell("a run-once task ran twice", twice.map(|task| (*task).to_owned()).collect());
    let lied = attempts.iter().filter(|a| a.outcome == "not-run" && by_label.contains_key(a.label.as_str()));
    tell("not-run was told of a task that ran", lied.map(|a| a.label.clone()).collect());
    let wrong = attempts.iter().filter(|a| a.outcome == "answered" && a.status == 200 && !is_own_answer(a, &by_label));
    tell("an answer is not the instance's own", wrong.map(|a| format!("{}: {}", a.label, a.body)).collect());
    let bare = attempts.iter().filter(|a| a.status == 503 && a.outcome == "not-run" && !a.retry_after);
    tell("a refusal without Retry-After", bare.map(|a| a.label.clone()).collect());
    let kept = |a: &&Attempt| a.outcome == "accepted" && !by_task.contains_key(a.task.as_str());
    tell("an accepted task never ran", attempts.iter().filter(kept).map(|a| a.label.clone()).collect());
    let silent = attempts.iter().filter(|a| a.status == 0);
    let silent: Vec<String> = silent.map(|a| format!("{} at {}: {}", a.label, a.target, a.body)).collect();
    println!("attempts without an answer: {}", silent.len());
    tell("too many turn-aways of one function in 5 s", turned_away(lines));
    tell("a task was sent to an instance long known to be leaving", sent_to_leaving(&runs, lines));
    tell("second tries beyond a fifth and 60 in 10 s", second_tries(&runs, lines));
    let own_refusals = attempts.iter().filter(|a| is_own_refusal(a)).count();
    println!("own refusals and unknowns: {own_refusals}");
    if refusals.is_some_and(|most| own_refusals > most) {
        tell("too many own refusals", vec![own_refusals.to_string()]);
    }
    faults
}

fn is_own_answer(attempt: &Attempt, runs: &BTreeMap<&str, usize>) -> bool {
    let told = attempt.body.strip_prefix(&format!("POST {} task=", attempt.path));
    let Some((label, body)) = told.and_then(|rest| rest.split_once(" body=")) else { return false };
    let same_task = label.split('#').next() == Some(&attempt.task);
    same_task && body == format!("{{\"task\":\"{}\"}}", attempt.task) && runs.contains_key(label)
}

fn turned_away(lines: &[Run]) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.what == "turned-away") {
        by_service.entry(&line.service).or_default().push(line.at);
    }
    let mut faults = Vec::new();
    for (service, mut times) in by_service {
        times.sort_unstable();
        if let Some(window) = times.windows(TURNED_MOST + 1).find(|window| window[TURNED_MOST] - window[0] <= 5000) {
            faults.push(format!("{service} from {}", window[0]));
        }
    }
    faults
}

/// Three seconds after the platform first told any of us.
fn sent_to_leaving(runs: &[&Run], lines: &[Run]) -> Vec<String> {
    let leaving = lines.iter().filter(|line| line.what == "told");
    let since: BTreeMap<&str, u64> = leaving.map(|line| (line.instance.as_str(), line.at)).collect();
    let late = |run: &&&Run| since.get(run.instance.as_str()).is_some_and(|at| run.at > at + LEAVING_MS);
    runs.iter().filter(late).map(|run| format!("{} to {}", run.task, run.instance)).collect()
}

fn second_tries(runs: &[&Run], lines: &[Run]) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<(u64, bool)>> = BTreeMap::new();
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let turned = lines.iter().filter(|line| line.what == "turned-away");
    let mut all: Vec<&Run> = runs.iter().copied().chain(turned).collect();
    all.sort_by_key(|run| run.at);
    for run in all {
        let second = !seen.insert(&run.task);
        by_service.entry(&run.service).or_default().push((run.at, second));
    }
    let mut faults = Vec::new();
    for (service, list) in by_service {
        let (mut start, mut firsts, mut seconds) = (0, 0usize, 0usize);
        for (at, second) in &list {
            if *second {
                seconds += 1
            } else {
                firsts += 1
            }
            while list[start].0 + 10_000 < *at {
                if list[start].1 {
                    seconds -= 1
                } else {
                    firsts -= 1
                }
                start += 1;
            }
            if seconds > firsts / 5 + 60 {
                faults.push(format!("{service} at {at}: {seconds} to {firsts}"));
                break;
            }
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    fn attempt(task: &str, class: &str, status: u16, outcome: &str, body: &str) -> Attempt {
        Attempt {
            task: task.into(),
            label: format!("{task}#1"),
            class: class.into(),
            service: "t/f".into(),
            path: "/f".into(),
            took: 1,
            status,
            outcome: outcome.into(),
            body: body.into(),
            ..Attempt::default()
        }
    }

    fn run(at: u64, what: &str, task: &str) -> Run {
        Run { at, what: what.into(), task: task.into(), service: "t/f".into(), instance: "i1".into() }
    }

    fn found(attempts: &[Attempt], runs: &[Run], rule: &str) -> bool {
        broken(attempts, runs, None).iter().any(|line| line.starts_with(rule))
    }

    #[test]
    fn each_rule_catches_a_fault_planted_for_it_and_a_clean_record_passes() {
        let good = "POST /f task=a#1 body={\"task\":\"a\"}";
        let clean = [attempt("a", "once", 200, "answered", good)];
        assert!(broken(&clean, &[run(1, "run", "a#1")], Some(0)).is_empty());
        let twice = [run(1, "run", "a#1"), run(2, "run", "a#2")];
        assert!(found(&clean, &twice, "a run-once task ran twice"));
        let lied = [attempt("a", "ordinary", 503, "not-run", "")];
        assert!(found(&lied, &[run(1, "run", "a#1")], "not-run was told"));
        assert!(found(&lied, &[], "a refusal without Retry-After"));
        let other = [attempt("b", "ordinary", 200, "answered", good)];
        assert!(found(&other, &[run(1, "run", "a#1")], "an answer is not"));
        let lost = [attempt("a", "deferred", 202, "accepted", "")];
        assert!(found(&lost, &[], "an accepted task never ran"));
        let turned: Vec<Run> = (0..12).map(|n| run(n * 400, "turned-away", &format!("x{n}#1"))).collect();
        assert!(found(&[], &turned, "too many turn-aways"));
        assert!(!found(&[], &turned[1..], "too many turn-aways"));
        let many: Vec<Run> = (0..70).map(|n| run(n, "run", "y#1")).collect();
        assert!(found(&[], &many, "second tries"));
        let leaving = [run(0, "told", ""), run(3001, "run", "z#1")];
        assert!(!found(&[], &[run(0, "told", ""), run(3000, "run", "z#1")], "a task was sent to an instance"));
        assert!(found(&[], &leaving, "a task was sent to an instance"));
        let refused = [attempt("a", "ordinary", 504, "unknown", "")];
        assert!(!broken(&refused, &[], Some(0)).is_empty());
    }
}
