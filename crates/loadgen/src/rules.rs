//! Rules that the callers' record and the instances' record must satisfy together.

use crate::spans::is_own_refusal;
use crate::tally::Attempt;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// One line of the instances' record.
#[derive(Clone, Debug, Deserialize)]
pub struct InstanceRecord {
    pub at: u64,
    pub what: String,
    #[serde(default)]
    pub task: String,
    #[serde(default)]
    pub service: String,
    #[serde(default)]
    pub instance: String,
}

/// Maximum number of tasks of one function turned away by its instances in 5 s.
const MAX_TURNED_AWAY: usize = 11;
/// Time after an instance was first listed as leaving from which it must receive no task.
const LEAVING_GRACE_MS: u64 = 3000;
/// Maximum number of violations printed for each rule.
const MAX_SHOWN: usize = 5;

/// Returns a line for each violation. `refusals` is the maximum number of refusals by the fleet itself.
pub fn find_violations(attempts: &[Attempt], lines: &[InstanceRecord], refusals: Option<usize>) -> Vec<String> {
    let runs: Vec<&InstanceRecord> = lines.iter().filter(|line| line.what == "run").collect();
    let mut violations = Vec::new();
    let mut by_label: BTreeMap<&str, usize> = BTreeMap::new();
    let mut by_task: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &runs {
        *by_label.entry(&run.task).or_default() += 1;
        *by_task.entry(run.task.split('#').next().unwrap_or_default()).or_default() += 1;
    }
    let mut add = |rule: &str, list: Vec<String>| {
        for line in list.iter().take(MAX_SHOWN) {
            violations.push(format!("{rule}: {line}"));
        }
        if list.len() > MAX_SHOWN {
            violations.push(format!("{rule}: and {} more", list.len() - MAX_SHOWN));
        }
    };
    let once: BTreeSet<&str> = attempts.iter().filter(|a| a.class == "once").map(|a| a.task.as_str()).collect();
    let twice = once.iter().filter(|task| by_task.get(*task).copied().unwrap_or(0) > 1);
    add("a run-once task ran twice", twice.map(|task| (*task).to_owned()).collect());
    let ran_anyway = attempts.iter().filter(|a| a.outcome == "not-run" && by_label.contains_key(a.label.as_str()));
    add("a task reported as not-run has run", ran_anyway.map(|a| a.label.clone()).collect());
    let foreign_answers =
        attempts.iter().filter(|a| a.outcome == "answered" && a.status == 200 && !is_own_answer(a, &by_label));
    add("an answer is not the instance's own", foreign_answers.map(|a| format!("{}: {}", a.label, a.body)).collect());
    let without_retry_after = attempts.iter().filter(|a| a.status == 503 && a.outcome == "not-run" && !a.retry_after);
    add("a refusal without Retry-After", without_retry_after.map(|a| a.label.clone()).collect());
    let never_ran = |a: &&Attempt| a.outcome == "accepted" && !by_task.contains_key(a.task.as_str());
    add("an accepted task never ran", attempts.iter().filter(never_ran).map(|a| a.label.clone()).collect());
    let unanswered = attempts.iter().filter(|a| a.status == 0);
    let unanswered: Vec<String> = unanswered.map(|a| format!("{} at {}: {}", a.label, a.target, a.body)).collect();
    println!("attempts without an answer: {}", unanswered.len());
    add("too many tasks of one function turned away in 5 s", find_turned_away(lines));
    add("a task was sent to an instance long known to be leaving", find_sent_to_leaving(&runs, lines));
    add("retries beyond a fifth of the first attempts plus 60 in 10 s", find_excess_retries(&runs, lines));
    let own_refusals = attempts.iter().filter(|a| is_own_refusal(a)).count();
    println!("own refusals and unknowns: {own_refusals}");
    if refusals.is_some_and(|max| own_refusals > max) {
        add("too many own refusals", vec![own_refusals.to_string()]);
    }
    violations
}

fn is_own_answer(attempt: &Attempt, runs: &BTreeMap<&str, usize>) -> bool {
    let rest = attempt.body.strip_prefix(&format!("POST {} task=", attempt.path));
    let Some((label, body)) = rest.and_then(|rest| rest.split_once(" body=")) else { return false };
    let same_task = label.split('#').next() == Some(&attempt.task);
    same_task && body == format!("{{\"task\":\"{}\"}}", attempt.task) && runs.contains_key(label)
}

/// Returns functions with too many tasks turned away in 5 s.
fn find_turned_away(lines: &[InstanceRecord]) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.what == "turned-away") {
        by_service.entry(&line.service).or_default().push(line.at);
    }
    let mut violations = Vec::new();
    for (service, mut times) in by_service {
        times.sort_unstable();
        if let Some(window) =
            times.windows(MAX_TURNED_AWAY + 1).find(|window| window[MAX_TURNED_AWAY] - window[0] <= 5000)
        {
            violations.push(format!("{service} from {}", window[0]));
        }
    }
    violations
}

/// Returns tasks sent to an instance more than 3 s after the platform first listed it as leaving to any node.
fn find_sent_to_leaving(runs: &[&InstanceRecord], lines: &[InstanceRecord]) -> Vec<String> {
    let leaving = lines.iter().filter(|line| line.what == "told");
    let since: BTreeMap<&str, u64> = leaving.map(|line| (line.instance.as_str(), line.at)).collect();
    let late =
        |run: &&&InstanceRecord| since.get(run.instance.as_str()).is_some_and(|at| run.at > at + LEAVING_GRACE_MS);
    runs.iter().filter(late).map(|run| format!("{} to {}", run.task, run.instance)).collect()
}

/// Returns functions whose retries in 10 s exceed a fifth of the first attempts plus 60.
fn find_excess_retries(runs: &[&InstanceRecord], lines: &[InstanceRecord]) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<(u64, bool)>> = BTreeMap::new();
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let turned = lines.iter().filter(|line| line.what == "turned-away");
    let mut all: Vec<&InstanceRecord> = runs.iter().copied().chain(turned).collect();
    all.sort_by_key(|run| run.at);
    for run in all {
        let is_retry = !seen.insert(&run.task);
        by_service.entry(&run.service).or_default().push((run.at, is_retry));
    }
    let mut violations = Vec::new();
    for (service, list) in by_service {
        let (mut start, mut first_attempts, mut retries) = (0, 0usize, 0usize);
        for (at, is_retry) in &list {
            if *is_retry {
                retries += 1
            } else {
                first_attempts += 1
            }
            while list[start].0 + 10_000 < *at {
                if list[start].1 {
                    retries -= 1
                } else {
                    first_attempts -= 1
                }
                start += 1;
            }
            if retries > first_attempts / 5 + 60 {
                violations.push(format!("{service} at {at}: {retries} to {first_attempts}"));
                break;
            }
        }
    }
    violations
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

    fn run(at: u64, what: &str, task: &str) -> InstanceRecord {
        InstanceRecord { at, what: what.into(), task: task.into(), service: "t/f".into(), instance: "i1".into() }
    }

    fn has_violation(attempts: &[Attempt], runs: &[InstanceRecord], rule: &str) -> bool {
        find_violations(attempts, runs, None).iter().any(|line| line.starts_with(rule))
    }

    #[test]
    fn each_planted_violation_is_reported_and_a_clean_record_passes() {
        let good = "POST /f task=a#1 body={\"task\":\"a\"}";
        let clean = [attempt("a", "once", 200, "answered", good)];
        assert!(find_violations(&clean, &[run(1, "run", "a#1")], Some(0)).is_empty());
        let twice = [run(1, "run", "a#1"), run(2, "run", "a#2")];
        assert!(has_violation(&clean, &twice, "a run-once task ran twice"));
        let ran_anyway = [attempt("a", "ordinary", 503, "not-run", "")];
        assert!(has_violation(&ran_anyway, &[run(1, "run", "a#1")], "a task reported as not-run"));
        assert!(has_violation(&ran_anyway, &[], "a refusal without Retry-After"));
        let other = [attempt("b", "ordinary", 200, "answered", good)];
        assert!(has_violation(&other, &[run(1, "run", "a#1")], "an answer is not"));
        let lost = [attempt("a", "deferred", 202, "accepted", "")];
        assert!(has_violation(&lost, &[], "an accepted task never ran"));
        let turned: Vec<InstanceRecord> = (0..12).map(|n| run(n * 400, "turned-away", &format!("x{n}#1"))).collect();
        assert!(has_violation(&[], &turned, "too many tasks of one function turned away"));
        assert!(!has_violation(&[], &turned[1..], "too many tasks of one function turned away"));
        let many: Vec<InstanceRecord> = (0..70).map(|n| run(n, "run", "y#1")).collect();
        assert!(has_violation(&[], &many, "retries beyond"));
        let leaving = [run(0, "told", ""), run(3001, "run", "z#1")];
        assert!(!has_violation(&[], &[run(0, "told", ""), run(3000, "run", "z#1")], "a task was sent to an instance"));
        assert!(has_violation(&[], &leaving, "a task was sent to an instance"));
        let refused = [attempt("a", "ordinary", 504, "unknown", "")];
        assert!(!find_violations(&refused, &[], Some(0)).is_empty());
    }
}
