//! The command line of the load generator and the checker.

use crate::check::CheckOrder;
use crate::load::{Crowd, LoadOrder};
use crate::replay::ReplayOrder;
use config::{ToolArgument, ToolLine};
use std::path::PathBuf;

pub const HELP: &str = "loadgen: load generator and checker

Usage: loadgen load --targets A,B --configuration FILE --services FILE --out FILE [options]
       loadgen replay --har FILE --targets A,B --out FILE [--speed F]
       loadgen check --tasks FILE --runs FILE [options]

load:
  --targets LIST        routers' callers' addresses (loopback only)
  --configuration FILE  the whole configuration, for routes and classes
  --services FILE       services with their rates a second
  --out FILE            record of attempts, one JSON line each
  --seconds N           how long [60]
  --factor F            all rates times this [1.0]
  --seed N              seed of the load [1]
  --repeat SHARE        share of run-once tasks repeated at another router [0.05]
  --eager SHARE         share of callers that try again at once when refused [0.2]
  --crowd AT,FOR,TIMES,SERVICE   a crowd at one service; may be given often
replay:
  --har FILE            an HTTP archive; its requests keep their pace
  --speed F             so many times as fast [1.0]
check:
  --tasks FILE          record of attempts
  --runs FILE           record of the instances
  --changes FILE        turns of a route, as the fleet made them
  --turned PATH         the route that was turned [/probe/turn]
  --spans FILE          what failed or was planned, and when
  --refusals N          most own refusals let pass in all [a handful where nothing fails]";

pub enum Order {
    Help,
    Version,
    Load(LoadOrder),
    Replay(ReplayOrder),
    Check(CheckOrder),
}

pub fn parse(line: lexopt::Parser) -> Result<Order, String> {
    let mut what = None;
    let (mut har, mut speed) = (PathBuf::new(), 1.0);
    let mut load = LoadOrder::default();
    let mut check = CheckOrder { turned: "/probe/turn".into(), ..CheckOrder::default() };
    let mut line = ToolLine::new(line, &[]);
    while let Some(argument) = line.next_argument()? {
        let (name, value) = match argument {
            ToolArgument::Help => return Ok(Order::Help),
            ToolArgument::Version => return Ok(Order::Version),
            ToolArgument::Command(word) => {
                what = Some(word);
                continue;
            }
            ToolArgument::Switch(name) => return Err(format!("no flag --{name}; see --help")),
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
            "turned" => check.turned = value,
            "spans" => check.spans = Some(PathBuf::from(value)),
            "refusals" => check.refusals = Some(number("refusals", &value)?),
            other => return Err(format!("no flag --{other}; see --help")),
        }
    }
    match what.as_deref() {
        Some(what @ ("load" | "replay")) => {
            let loopback = |target: &String| {
                target.parse::<std::net::SocketAddr>().is_ok_and(|address| address.ip().is_loopback())
            };
            if load.targets.is_empty() || !load.targets.iter().all(loopback) {
                return Err("--targets: allowed are loopback addresses with ports".into());
            }
            if what == "replay" {
                if !(0.01..=1000.0).contains(&speed) {
                    return Err(format!("--speed {speed}: allowed is 0.01 to 1000"));
                }
                return Ok(Order::Replay(ReplayOrder { har, targets: load.targets, out: load.out, speed }));
            }
            Ok(Order::Load(load))
        }
        Some("check") => Ok(Order::Check(check)),
        _ => Err("say load, replay or check; see --help".into()),
    }
}

fn number<T: std::str::FromStr>(name: &str, words: &str) -> Result<T, String> {
    words.parse().map_err(|_| format!("--{name} {words}: allowed is a number"))
}

fn crowd(words: &str) -> Result<Crowd, String> {
    let parts: Vec<&str> = words.split(',').collect();
    let [at, lasts, times, service] = parts[..] else {
        return Err(format!("--crowd {words}: allowed is AT,FOR,TIMES,SERVICE"));
    };
    Ok(Crowd {
        at: number("crowd", at)?,
        lasts: number("crowd", lasts)?,
        times: number("crowd", times)?,
        service: service.to_owned(),
    })
}
