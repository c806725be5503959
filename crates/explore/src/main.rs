//! `explore`: searches the states of a modelled cluster for a violation of an invariant.

use explore::{Budget, Finding, Limits, PlantedFault, Scenario, explore, walk};
use lexopt::prelude::*;
use std::process::ExitCode;

const HELP: &str = "explore: searches the states of a modelled cluster for a violation of an invariant

Usage: explore all  [--scenario S] [--depth N] [--states N] [--seconds N] [--probe-every N] [BUDGET]
       explore walk [--scenario S] [--from N] [--count N] [--length N] [BUDGET]

--scenario: three, wiped, learning, replacing, six, eight or founding [three]
--plant: none, early-sync, forged-vote, lone-learner or forged-copy [none]
BUDGET: maximum number of each event in a run: --entries --confirms --crashes --wipes --drops --silences
       --passes --leaves --joins";

/// Parsed command line.
struct Flags {
    search: String,
    scenario: Scenario,
    planted_fault: PlantedFault,
    limits: Limits,
    budget: Budget,
    from: u64,
    count: u64,
    length: usize,
}

impl Default for Flags {
    fn default() -> Self {
        Flags {
            search: String::new(),
            scenario: Scenario::Three,
            planted_fault: PlantedFault::None,
            limits: Limits { depth: 6, states: 10_000_000, seconds: 600, probe_every: 0 },
            budget: Budget {
                entries: 2,
                confirms: 1,
                crashes: 1,
                wipes: 1,
                drops: 1,
                silences: 1,
                passes: 3,
                leaves: 1,
                joins: 1,
            },
            from: 1,
            count: 1000,
            length: 60,
        }
    }
}

fn main() -> ExitCode {
    match read_flags().and_then(|flags| flags.map_or(Ok(true), |flags| search(&flags))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("explore: {error}");
            ExitCode::from(2)
        }
    }
}

fn read_flags() -> Result<Option<Flags>, String> {
    let mut flags = Flags::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next().map_err(|error| error.to_string())? {
        let name = match argument {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Value(word) if flags.search.is_empty() => {
                flags.search = word.to_string_lossy().into_owned();
                continue;
            }
            Long(name) => name.to_owned(),
            other => return Err(other.unexpected().to_string()),
        };
        let value = parser.value().and_then(|value| value.string()).map_err(|error| error.to_string())?;
        set_flag(&mut flags, &name, &value)?;
    }
    Ok(Some(flags))
}

fn set_flag(flags: &mut Flags, name: &str, value: &str) -> Result<(), String> {
    match name {
        "scenario" => {
            flags.scenario = Scenario::from_name(value).ok_or(format!("unknown scenario {value}; see --help"))?;
            return Ok(());
        }
        "plant" => {
            flags.planted_fault =
                PlantedFault::from_name(value).ok_or(format!("unknown planted fault {value}; see --help"))?;
            return Ok(());
        }
        _ => {}
    }
    let number = value.parse::<u64>().map_err(|_| format!("--{name} {value}: expected a number"))?;
    let budget = &mut flags.budget;
    match name {
        "depth" => flags.limits.depth = number as usize,
        "seconds" => flags.limits.seconds = number,
        "states" => flags.limits.states = number,
        "probe-every" => flags.limits.probe_every = number,
        "from" => flags.from = number,
        "count" => flags.count = number,
        "length" => flags.length = number as usize,
        "entries" => budget.entries = number as u32,
        "confirms" => budget.confirms = number as u32,
        "crashes" => budget.crashes = number as u32,
        "wipes" => budget.wipes = number as u32,
        "drops" => budget.drops = number as u32,
        "silences" => budget.silences = number as u32,
        "passes" => budget.passes = number as u32,
        "leaves" => budget.leaves = number as u32,
        "joins" => budget.joins = number as u32,
        _ => return Err(format!("unknown flag --{name}; see --help")),
    }
    Ok(())
}

fn search(flags: &Flags) -> Result<bool, String> {
    let start = flags.scenario.build(flags.budget.clone(), flags.planted_fault);
    if let Some(violation) = &start.history.violation {
        println!("BROKEN before the first choice: {violation}");
        return Ok(false);
    }
    match flags.search.as_str() {
        "all" => {
            let report = explore(&start, &flags.limits);
            println!(
                "{:?} depth {}: {} states explored, {} distinct, {} probed, deepest {}, {}, {:.1} s",
                flags.scenario,
                flags.limits.depth,
                report.explored,
                report.distinct,
                report.probed,
                report.deepest,
                if report.complete { "complete" } else { "cut short" },
                report.seconds
            );
            Ok(report.finding.as_ref().is_none_or(print_finding))
        }
        "walk" => {
            let mut failed_walks = 0;
            let seeds = flags.from..flags.from + flags.count;
            for seed in seeds {
                if let Some(finding) = walk(&start, seed, flags.length) {
                    failed_walks += 1;
                    println!("seed {seed}:");
                    print_finding(&finding);
                }
            }
            println!("{:?}: {} walks of {} choices, {failed_walks} broken", flags.scenario, flags.count, flags.length);
            Ok(failed_walks == 0)
        }
        _ => Err("expected all or walk; see --help".into()),
    }
}

fn print_finding(finding: &Finding) -> bool {
    finding.path.iter().for_each(|choice| println!("  {choice}"));
    println!("  BROKEN {}", finding.violation);
    false
}
