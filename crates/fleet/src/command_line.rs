//! The command line of the fleet runner.

use crate::faults::{ScheduledFault, parse_faults};
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
pub enum Mode {
    Up,
    Prove,
    Soak,
    Smoke,
}

pub struct Options {
    pub mode: Mode,
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
    pub faults: Vec<ScheduledFault>,
    pub refusals: Option<usize>,
    pub turns: f64,
    pub other_programs: Option<PathBuf>,
}

pub fn parse(parser: lexopt::Parser) -> Result<Option<Options>, String> {
    let program_folder =
        std::env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from)).unwrap_or_default();
    let mut options = Options {
        mode: Mode::Up,
        deployment: PathBuf::new(),
        folder: "run".into(),
        programs: program_folder,
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
        other_programs: None,
    };
    let mut command = String::new();
    let mut parser = ToolLine::new(parser, &["no-tuning", "no-plans"]);
    while let Some(argument) = parser.next_argument()? {
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
                command = word;
                continue;
            }
            ToolArgument::Switch(name) => {
                options.tuning &= name != "no-tuning";
                options.plans &= name != "no-plans";
                continue;
            }
            ToolArgument::Option { name, value } => (name, value),
        };
        let not_a_number = |_| format!("--{name} {value}: allowed is a number");
        match name.as_str() {
            "deployment" => options.deployment = value.into(),
            "folder" => options.folder = value.into(),
            "programs" => options.programs = value.into(),
            "routers" => options.routers = Some(value.parse().map_err(not_a_number)?),
            "seconds" => options.seconds = value.parse().map_err(not_a_number)?,
            "seed" => options.seed = value.parse().map_err(not_a_number)?,
            "factor" => options.factor = value.parse().map_err(|_| format!("--factor {value}: allowed is a number"))?,
            "crowd" => options.crowds.push(value),
            "turns" => options.turns = value.parse().map_err(|_| format!("--turns {value}: allowed is a number"))?,
            "other" => options.other_programs = Some(value.into()),
            "fault" => options.faults.extend(parse_faults(&value)?),
            "refusals" => options.refusals = Some(value.parse().map_err(not_a_number)?),
            _ => return Err(format!("no flag --{name}; see --help")),
        }
    }
    options.mode = match command.as_str() {
        "up" => Mode::Up,
        "prove" => Mode::Prove,
        "soak" => Mode::Soak,
        "smoke" => Mode::Smoke,
        _ => return Err("say up, prove, soak or smoke; see --help".into()),
    };
    Ok(Some(options))
}
