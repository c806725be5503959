//! `sim`: runs one seed with a log of its events, or many seeds and lists those that violate a rule.

use lexopt::prelude::*;
use sim::{Sort, fingerprint, run};
use std::process::ExitCode;

const HELP: &str = "sim: the simulator

Usage: sim run --seed N [--sort SORT]
       sim sweep [--from N] [--count N] [--sort SORT] [--threads N]
       sim fingerprint [--from N] [--count N] [--sort SORT] [--threads N]
                       one line per seed; equal for two versions of the code that behave alike

--sort: which faults occur [mixed]";

fn main() -> ExitCode {
    match run_command() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("sim: {message}");
            ExitCode::from(2)
        }
    }
}

fn run_command() -> Result<bool, String> {
    let (mut command, mut seed, mut from, mut count, mut threads, mut sort) =
        (String::new(), 1u64, 1u64, 100u64, 8u64, Sort::Mixed);
    let mut line = lexopt::Parser::from_env();
    while let Some(arg) = line.next().map_err(|fault| fault.to_string())? {
        let name = match arg {
            Short('h') | Long("help") => {
                println!("{HELP}\nSORT is one of {}.", Sort::words());
                return Ok(true);
            }
            Value(word) if command.is_empty() => {
                command = word.to_string_lossy().into_owned();
                continue;
            }
            Long(name) => name.to_owned(),
            other => return Err(other.unexpected().to_string()),
        };
        let value = line.value().and_then(|v| v.string()).map_err(|fault| fault.to_string())?;
        let number = || value.parse::<u64>().map_err(|_| format!("--{name} {value}: must be a number"));
        match name.as_str() {
            "seed" => seed = number()?,
            "from" => from = number()?,
            "count" => count = number()?,
            "threads" => threads = number()?.clamp(1, 64),
            "sort" => sort = Sort::from_word(&value).ok_or(format!("--sort {value}: see --help"))?,
            _ => return Err(format!("unknown flag --{name}; see --help")),
        }
    }
    match command.as_str() {
        "run" => {
            let outcome = run(seed, sort, true);
            println!("seed {seed}: {}", outcome.summary);
            outcome.violations.iter().for_each(|fault| println!("BROKEN {fault}"));
            Ok(outcome.violations.is_empty())
        }
        "sweep" => Ok(sweep(from, count, threads, sort)),
        "fingerprint" => {
            fingerprints(from, count, threads, sort);
            Ok(true)
        }
        _ => Err("expected the command run, sweep or fingerprint; see --help".into()),
    }
}

fn sweep(from: u64, count: u64, threads: u64, sort: Sort) -> bool {
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut failed = 0;
                let mut steps = 0;
                for seed in (from..from + count).filter(|seed| seed % threads == thread) {
                    let outcome = run(seed, sort, false);
                    steps += outcome.steps;
                    for fault in outcome.violations.iter().take(1) {
                        println!("seed {seed}: BROKEN {fault}");
                        failed += 1;
                    }
                }
                (failed, steps)
            })
        })
        .collect();
    let (mut failed, mut steps) = (0, 0);
    for thread in workers {
        let (worker_failed, worker_steps) = thread.join().unwrap_or((1, 0));
        failed += worker_failed;
        steps += worker_steps;
    }
    println!("{count} seeds from {from}, {sort:?}: {steps} steps, {failed} with a broken rule");
    failed == 0
}

fn fingerprints(from: u64, count: u64, threads: u64, sort: Sort) {
    let seeds_of = move |thread: u64| (from..from + count).filter(move |seed| seed % threads == thread);
    let workers: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || -> Vec<_> {
                seeds_of(thread).map(|seed| (seed, fingerprint(seed, sort))).collect()
            })
        })
        .collect();
    let mut lines: Vec<_> = workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect();
    lines.sort_unstable();
    for (seed, (checksum, steps)) in lines {
        println!("{sort:?} {seed}: {checksum:08x} after {steps} steps");
    }
}
