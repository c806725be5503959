//! The command line of the fleet runner.

use crate::faults::{Timed, parse_faults};
use config::{ToolArgument, ToolLine};
use std::path::PathBuf;

pub const HELP: &str = "fleet: a whole deployment on one machine

Usage: fleet up --deployment DIR [options]          until interrupted
       fleet prove --deployment DIR [options]       load, faults, verdict
       fleet soak --deployment DIR [options]        faults in series from a seed, verdict
       fleet smoke --deployment DIR [options]       what callers and operators would try first

  --deployment DIR   folder with deployment.toml, configuration.json, services.json
  --folder DIR       where data, logs and records go [run]
  --programs DIR     where the programs are [beside this one]
  --no-tuning        weight sheets stay as declared
  --no-plans         the fallback alone: registries make no plans
  --routers N        number of routers [the deployment's]
prove and soak:
  --seconds N        length of the load [60]
  --seed N           seed of the load and the platform's chances [1]
  --factor F         all rates times this [1.0]
  --crowd LIST       AT,FOR,TIMES,SERVICE; may be given often
  --fault LIST       AT:WHAT:WHICH[;..], such as 20:kill-registry:0;40:start-registry:0
                     WHAT: kill, stop, start, freeze, thaw, wipe, each -registry or -router;
                     roll-, switch- (start by the other programs, in the oldest format or the newest);
                     fill-registry (its data file cannot grow);
                     crash-worker, drain-worker, undrain-worker; mischief:NAME=SHARE[,..]; patch:NAME;
                     cut:A+B[/C+D], cut-one-way:A+B[/C+D], heal
  --turns SECONDS    turn a route every so often, 0 for never [3]
  --other DIR        programs of another revision, for roll-registry and roll-router
  --refusals N       most own refusals let pass in all [a handful where nothing fails]";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Up,
    Prove,
    Soak,
    Smoke,
}

pub struct Order {
    pub what: What,
    pub deployment: PathBuf,
    pub folder: PathBuf,
    pub programs: PathBuf,
    pub routers: Option<usize>,
    pub plans: bool,
    pub tuning: bool,
    pub seconds: u64,
    pub seed: u64,
    pub factor: f64,
    pub crowds: Vec<String>,
    pub faults: Vec<Timed>,
    pub refusals: Option<usize>,
    pub turns: f64,
    pub other: Option<PathBuf>,
}

pub fn parse(line: lexopt::Parser) -> Result<Option<Order>, String> {
    let beside = std::env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from)).unwrap_or_default();
    let mut order = Order {
        what: What::Up,
        deployment: PathBuf::new(),
        folder: "run".into(),
        programs: beside,
        routers: None,
        plans: true,
        tuning: true,
        seconds: 60,
        seed: 1,
        factor: 1.0,
        crowds: Vec::new(),
        faults: Vec::new(),
        refusals: None,
        turns: 3.0,
        other: None,
    };
    let mut what = String::new();
    let mut line = ToolLine::new(line, &["no-tuning", "no-plans"]);
    while let Some(argument) = line.next_argument()? {
        let (name, value) = match argument {
            ToolArgument::Help => {
                println!("{HELP}");
                return Ok(None);
            }
            ToolArgument::Version => {
                println!("fleet {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            ToolArgument::Command(word) => {
                what = word;
                continue;
            }
            ToolArgument::Switch(name) => {
                order.tuning &= name != "no-tuning";
                order.plans &= name != "no-plans";
                continue;
            }
            ToolArgument::Option { name, value } => (name, value),
        };
        let wrong = |_| format!("--{name} {value}: allowed is a number");
        match name.as_str() {
            "deployment" => order.deployment = value.into(),
            "folder" => order.folder = value.into(),
            "programs" => order.programs = value.into(),
            "routers" => order.routers = Some(value.parse().map_err(wrong)?),
            "seconds" => order.seconds = value.parse().map_err(wrong)?,
            "seed" => order.seed = value.parse().map_err(wrong)?,
            "factor" => order.factor = value.parse().map_err(|_| format!("--factor {value}: allowed is a number"))?,
            "crowd" => order.crowds.push(value),
            "turns" => order.turns = value.parse().map_err(|_| format!("--turns {value}: allowed is a number"))?,
            "other" => order.other = Some(value.into()),
            "fault" => order.faults.extend(parse_faults(&value)?),
            "refusals" => order.refusals = Some(value.parse().map_err(wrong)?),
            _ => return Err(format!("no flag --{name}; see --help")),
        }
    }
    order.what = match what.as_str() {
        "up" => What::Up,
        "prove" => What::Prove,
        "soak" => What::Soak,
        "smoke" => What::Smoke,
        _ => return Err("say up, prove, soak or smoke; see --help".into()),
    };
    Ok(Some(order))
}
