//! Command line of the fleet runner.

use crate::faults::{ScheduledFault, parse_faults};
use config::{ToolArgument, ToolLine};
use std::path::PathBuf;

pub const HELP: &str = "fleet: runs a whole deployment on one machine

Usage: fleet up --deployment DIR [options]          until interrupted
       fleet prove --deployment DIR [options]       load, scheduled faults, check
       fleet soak --deployment DIR [options]        random faults from a seed, check
       fleet smoke --deployment DIR [options]       basic calls of callers and operators
       fleet stops --deployment DIR [options]       planned stops of routers that run operations for others' callers

  --deployment DIR   folder with deployment.toml, configuration.json, services.json
  --folder DIR       folder for data, logs and records [run]
  --programs DIR     folder of the programs [that of this one]
  --no-tuning        weight sheets stay as declared
  --no-plans         registries make no plans; only the fallback is used
  --routers N        number of routers [as in the deployment]
prove and soak:
  --seconds N        duration of the load [60]
  --seed N           seed of the load and of the platform emulator [1]
  --factor F         factor on all rates [1.0]
  --crowd LIST       AT,FOR,TIMES,SERVICE; may be repeated
  --fault LIST       AT:WHAT:WHICH[;..], such as 20:kill-registry:0;40:start-registry:0
                     WHAT: kill, stop, start, freeze, thaw, wipe, each -registry or -router;
                     roll-, switch- (start with the other programs, in the oldest or the newest format);
                     fill-registry (its data file cannot grow);
                     crash-worker, drain-worker, undrain-worker; mischief:NAME=SHARE[,..]; patch:NAME;
                     cut:A+B[/C+D], cut-one-way:A+B[/C+D], heal
  --turns SECONDS    interval between changes of a route, 0 for none [3]
  --other DIR        programs of another revision, for roll-registry and roll-router
  --refusals N       maximum number of refusals by the fleet itself [a few if nothing fails]";

/// Subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Run until interrupted.
    Up,
    /// Load, scheduled faults and a check.
    Prove,
    /// Load, random faults and a check.
    Soak,
    /// Basic calls of callers and operators.
    Smoke,
    /// Planned stops of routers that run operations for callers of other routers.
    Stops,
}

/// Parsed command line; the fields correspond to the options in `HELP`.
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

/// Parses the command line; returns `None` if only help or the version was printed.
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
        let not_a_number = |_| format!("--{name} {value}: expected a number");
        match name.as_str() {
            "deployment" => options.deployment = value.into(),
            "folder" => options.folder = value.into(),
            "programs" => options.programs = value.into(),
            "routers" => options.routers = Some(value.parse().map_err(not_a_number)?),
            "seconds" => options.seconds = value.parse().map_err(not_a_number)?,
            "seed" => options.seed = value.parse().map_err(not_a_number)?,
            "factor" => options.factor = value.parse().map_err(|_| format!("--factor {value}: expected a number"))?,
            "crowd" => options.crowds.push(value),
            "turns" => options.turns = value.parse().map_err(|_| format!("--turns {value}: expected a number"))?,
            "other" => options.other_programs = Some(value.into()),
            "fault" => options.faults.extend(parse_faults(&value)?),
            "refusals" => options.refusals = Some(value.parse().map_err(not_a_number)?),
            _ => return Err(format!("unknown flag --{name}; see --help")),
        }
    }
    options.mode = match command.as_str() {
        "up" => Mode::Up,
        "prove" => Mode::Prove,
        "soak" => Mode::Soak,
        "smoke" => Mode::Smoke,
        "stops" => Mode::Stops,
        _ => return Err("expected up, prove, soak, smoke or stops; see --help".into()),
    };
    Ok(Some(options))
}
