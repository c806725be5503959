//! The check of the callers' record against the instances' record.

use crate::errors::{ToolError, file_error};
use crate::freshness::{Change, check_freshness};
use crate::rules::{InstanceRecord, find_violations};
use crate::spans::{self, Span};
use crate::tally::Attempt;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, ToolError> {
    let file = std::fs::File::open(path).map_err(file_error(path))?;
    let mut list = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(file_error(path))?;
        let read = serde_json::from_str(&line);
        list.push(read.map_err(|error| ToolError::Line { path: path.to_owned(), error, line })?);
    }
    Ok(list)
}

/// Options of `loadgen check`, as in its help.
#[derive(Clone, Debug, Default)]
pub struct CheckOptions {
    pub tasks: PathBuf,
    pub runs: PathBuf,
    pub changes: Option<PathBuf>,
    pub changed_route: String,
    pub spans: Option<PathBuf>,
    pub refusals: Option<usize>,
}

/// Prints each violated rule; returns whether there was none.
pub fn run(options: &CheckOptions) -> Result<bool, ToolError> {
    let attempts: Vec<Attempt> = read(&options.tasks)?;
    let lines: Vec<InstanceRecord> = read(&options.runs)?;
    let mut violations = find_violations(&attempts, &lines, options.refusals);
    println!("checked {} attempts against {} lines of the instances", attempts.len(), lines.len());
    if let Some(path) = &options.changes {
        let changes: Vec<Change> = read(path)?;
        let runs: Vec<&InstanceRecord> = lines.iter().filter(|line| line.what == "run").collect();
        let found = check_freshness(&attempts, &runs, &changes, &options.changed_route);
        let acknowledged = changes.iter().filter(|change| change.status == 200).count();
        println!("followed: {} runs over {acknowledged} of {} changes", found.judged_runs, changes.len());
        add_violation(
            &mut violations,
            "an older revision was followed 3 s after a newer one was acknowledged",
            &found.outdated,
        );
        add_violation(
            &mut violations,
            "an older revision was followed after a newer one was seen",
            &found.slipped_back,
        );
        add_violation(&mut violations, "a refused change was followed", &found.refused_followed);
        add_violation(&mut violations, "racing changes were both acknowledged", &found.races);
        add_violation(&mut violations, "the changes are not linearizable", &found.anomalies);
    }
    if let Some(path) = &options.spans {
        let spans: Vec<Span> = read(path)?;
        let recovery = spans::check_recovery(&attempts, &spans);
        let low =
            recovery.low_seconds.iter().map(|low| format!("second {}: {} of {}", low.second, low.served, low.baseline));
        println!("recovery: {} seconds judged", recovery.judged_seconds);
        add_violation(
            &mut violations,
            "below a quarter of the level before, 12 s after the return",
            &low.collect::<Vec<_>>(),
        );
        let (calm, cut, refused) = spans::check_planned(&attempts, &spans);
        println!("planned stretches: {calm} attempts");
        add_violation(&mut violations, "accepted work was cut or not answered in a planned stretch", &cut);
        add_violation(&mut violations, "own refusals in a planned stretch", &refused);
    }
    for line in &violations {
        println!("BROKEN {line}");
    }
    println!("{} rules broken", violations.len());
    Ok(violations.is_empty())
}

fn add_violation(violations: &mut Vec<String>, rule: &str, list: &[String]) {
    if let Some(first) = list.first() {
        violations.push(format!("{rule}: {} times, first {first}", list.len()));
    }
}
