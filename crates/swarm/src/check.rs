//! The checker's reading of both records.

use crate::rules::{Run, broken};
use crate::tally::Attempt;
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader};
use std::path::Path;

fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, String> {
    let file = std::fs::File::open(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
    let mut list = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(|fault| fault.to_string())?;
        list.push(serde_json::from_str(&line).map_err(|fault| format!("{}: {fault}: {line}", path.display()))?);
    }
    Ok(list)
}

pub fn run(tasks: &Path, runs: &Path, refusals: Option<usize>) -> Result<bool, String> {
    let attempts: Vec<Attempt> = read(tasks)?;
    let runs: Vec<Run> = read(runs)?;
    let broken = broken(&attempts, &runs, refusals);
    println!("checked {} attempts against {} lines of the instances", attempts.len(), runs.len());
    for line in &broken {
        println!("BROKEN {line}");
    }
    println!("{} rules broken", broken.len());
    Ok(broken.is_empty())
}
