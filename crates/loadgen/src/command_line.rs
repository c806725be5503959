//! Command line of the load generator and the checker.

use crate::check::CheckOptions;
use crate::load::{Crowd, LoadOptions};
use crate::replay::ReplayOptions;
use config::{ToolArgument, ToolLine};
use std::path::PathBuf;

pub const HELP: &str = "loadgen: load generator and checker

Usage: loadgen load --targets A,B --configuration FILE --services FILE --out FILE [options]
       loadgen replay --har FILE --targets A,B --out FILE [--speed F]
       loadgen check --tasks FILE --runs FILE [options]

load:
  --targets LIST        addresses of the routers for callers (loopback only)
  --configuration FILE  configuration with routes and classes
  --services FILE       services with their rates per second
  --out FILE            record of attempts, one JSON line each
  --seconds N           duration [60]
  --factor F            factor on all rates [1.0]
  --seed N              seed of the load [1]
  --repeat SHARE        share of run-once tasks repeated at another router [0.05]
  --eager SHARE         share of callers that retry a refusal at once [0.2]
  --crowd AT,FOR,TIMES,SERVICE   a crowd at one service; may be repeated
replay:
  --har FILE            HTTP archive, replayed at its own pace
  --speed F             factor on the pace [1.0]
check:
  --tasks FILE          record of attempts
  --runs FILE           record of the instances
  --changes FILE        changes of a route, as recorded by fleet
  --turned PATH         route that was changed [/probe/turn]
  --spans FILE          time spans of faults and planned work
  --refusals N          maximum number of refusals by the fleet itself [a few if nothing fails]";

/// Parsed command line.
pub enum Command {
    Help,
    Version,
    Load(LoadOptions),
    Replay(ReplayOptions),
    Check(CheckOptions),
}

/// Parses the command line.
pub fn parse(parser: lexopt::Parser) -> Result<Command, String> {
    let mut command = None;
    let (mut har, mut speed) = (PathBuf::new(), 1.0);
    let mut load = LoadOptions::default();
    let mut check = CheckOptions { changed_route: "/probe/turn".into(), ..CheckOptions::default() };
    let mut parser = ToolLine::new(parser, &[]);
    while let Some(argument) = parser.next_argument()? {
        let (name, value) = match argument {
            ToolArgument::Help => return Ok(Command::Help),
            ToolArgument::Version => return Ok(Command::Version),
            ToolArgument::Command(word) => {
                command = Some(word);
                continue;
            }
            ToolArgument::Switch(name) => return Err(format!("unknown flag --{name}; see --help")),
            ToolArgument::Option { name, value } => (name, value),
        };
        match name.as_str() {
            "targets" => load.targets = value.split(',').map(str::to_owned).collect(),
            "configuration" => load.configuration = value.into(),
            "services" => load.services = value.into(),
            "out" => load.out = value.into(),
            "har" => har = value.into(),
            "speed" => speed = number("speed", &value)?,
            "seconds" => load.seconds = number("seconds", &value)?,
            "factor" => load.factor = number("factor", &value)?,
            "seed" => load.seed = number("seed", &value)?,
            "repeat" => load.repeat = number("repeat", &value)?,
            "eager" => load.eager = number("eager", &value)?,
            "crowd" => load.crowds.push(crowd(&value)?),
            "tasks" => check.tasks = value.into(),
            "runs" => check.runs = value.into(),
            "changes" => check.changes = Some(PathBuf::from(value)),
            "turned" => check.changed_route = value,
            "spans" => check.spans = Some(PathBuf::from(value)),
            "refusals" => check.refusals = Some(number("refusals", &value)?),
            other => return Err(format!("unknown flag --{other}; see --help")),
        }
    }
    match command.as_deref() {
        Some(command @ ("load" | "replay")) => {
            let loopback = |target: &String| {
                target.parse::<std::net::SocketAddr>().is_ok_and(|address| address.ip().is_loopback())
            };
            if load.targets.is_empty() || !load.targets.iter().all(loopback) {
                return Err("--targets: expected loopback addresses with ports".into());
            }
            if command == "replay" {
                if !(0.01..=1000.0).contains(&speed) {
                    return Err(format!("--speed {speed}: expected 0.01 to 1000"));
                }
                return Ok(Command::Replay(ReplayOptions { har, targets: load.targets, out: load.out, speed }));
            }
            Ok(Command::Load(load))
        }
        Some("check") => Ok(Command::Check(check)),
        _ => Err("expected load, replay or check; see --help".into()),
    }
}

fn number<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("--{name} {text}: expected a number"))
}

fn crowd(text: &str) -> Result<Crowd, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [start, duration, factor, service] = parts[..] else {
        return Err(format!("--crowd {text}: expected AT,FOR,TIMES,SERVICE"));
    };
    Ok(Crowd {
        start_s: number("crowd", start)?,
        duration_s: number("crowd", duration)?,
        factor: number("crowd", factor)?,
        service: service.to_owned(),
    })
}
