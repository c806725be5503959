//! The checker's reading of both records.

use crate::errors::{WorkError, at};
use crate::fresh::{Change, freshness};
use crate::rules::{Run, broken};
use crate::spans::{self, Span};
use crate::tally::Attempt;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, WorkError> {
    let file = std::fs::File::open(path).map_err(at(path))?;
    let mut list = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(at(path))?;
        let read = serde_json::from_str(&line);
        list.push(read.map_err(|error| WorkError::Line { path: path.to_owned(), error, line })?);
    }
    Ok(list)
}

#[derive(Clone, Debug, Default)]
pub struct CheckOrder {
    pub tasks: PathBuf,
    pub runs: PathBuf,
    pub changes: Option<PathBuf>,
    pub turned: String,
    pub spans: Option<PathBuf>,
    pub refusals: Option<usize>,
}

pub fn run(order: &CheckOrder) -> Result<bool, WorkError> {
    let attempts: Vec<Attempt> = read(&order.tasks)?;
    let lines: Vec<Run> = read(&order.runs)?;
    let mut broken = broken(&attempts, &lines, order.refusals);
    println!("checked {} attempts against {} lines of the instances", attempts.len(), lines.len());
    if let Some(path) = &order.changes {
        let changes: Vec<Change> = read(path)?;
        let runs: Vec<&Run> = lines.iter().filter(|line| line.what == "run").collect();
        let found = freshness(&attempts, &runs, &changes, &order.turned);
        let acknowledged = changes.iter().filter(|change| change.status == 200).count();
        println!("followed: {} runs over {acknowledged} of {} turns", found.judged, changes.len());
        add(&mut broken, "an older revision 3 s after a newer was acknowledged", &found.old);
        add(&mut broken, "a slip back after a newer revision was seen", &found.slipped);
        add(&mut broken, "a refused change was followed", &found.refused);
        add(&mut broken, "racing changes were both acknowledged", &found.racers);
        add(&mut broken, "the changes are not linearizable", &found.anomalies);
    }
    if let Some(path) = &order.spans {
        let spans: Vec<Span> = read(path)?;
        let recovery = spans::recovery(&attempts, &spans);
        let low =
            recovery.low_seconds.iter().map(|low| format!("second {}: {} of {}", low.second, low.served, low.baseline));
        println!("recovery: {} seconds judged", recovery.judged_seconds);
        add(&mut broken, "below a quarter of the level before, 12 s after the return", &low.collect::<Vec<_>>());
        let (calm, cut, refused) = spans::planned(&attempts, &spans);
        println!("planned stretches: {calm} attempts");
        add(&mut broken, "accepted work was cut or not answered in a planned stretch", &cut);
        add(&mut broken, "own refusals in a planned stretch", &refused);
    }
    for line in &broken {
        println!("BROKEN {line}");
    }
    println!("{} rules broken", broken.len());
    Ok(broken.is_empty())
}

fn add(broken: &mut Vec<String>, rule: &str, list: &[String]) {
    if let Some(first) = list.first() {
        broken.push(format!("{rule}: {} times, first {first}", list.len()));
    }
}
