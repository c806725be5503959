//! The command line, and whether what it asks for is possible on this machine at all.

use crate::proc::{files_allowed, memory_mb};
use crate::workload::Workload;
use config::{ToolArgument, ToolLine};
use std::path::PathBuf;

pub const HELP: &str = "hollow: a core and a few routers among many hollow nodes in one process

Usage: hollow run [options]          a fleet for each number of nodes, and the slopes
       hollow books [options]        a book's building and check, against functions
       hollow homes [options]        looking homes up, against members
       hollow plans [options]        forecast and plan, against awake functions and the window
       hollow passes [options]       a home's tick, against open desks
       hollow tasks [options]        a task through its home, against the bytes of its body
       hollow lists [options]        reading the platform's list, against instances

  --nodes LIST      numbers of nodes, real routers among them [10,50]
  --routers N       real routers [1]
  --functions N     functions bound [1000]; a LIST for books
  --awake N         functions with instances [100]; a LIST for plans and passes
  --instances N     instances of the awake [400]; a LIST for lists
  --bytes LIST      bytes of a task's body, for tasks [1000]
  --older N         small changes made before any node joins, so that the whole configuration is
                    older than the steps the core keeps; 0 to see what it costs where it is not [70]
  --join-ms N       time between two nodes' starts [100]
  --changes N       configuration changes, one after another [3]
  --restarts N      hollow nodes that restart, one after another [3]
  --lose N          hollow nodes of one zone that fall silent for good [0]
  --seconds N       length of the quiet phase [20]
  --mesh            hollow nodes hold links to all others, as routers do
  --zones N         zones [5]
  --seed N          which functions are changed, and the offline series [1]
  --threads N       threads the hollow nodes share [2]
  --out FILE        the result as JSON, and beside it FILE with .txt and .svg in place of .json
  --folder DIR      where data and logs go [a new one below the machine's folder for such]
  --programs DIR    where registry and router are [beside this one]";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Run,
    Books,
    Homes,
    Plans,
    Passes,
    Lists,
    Tasks,
}

#[derive(Clone, Debug)]
pub struct Order {
    pub what: What,
    pub nodes: Vec<usize>,
    pub routers: usize,
    pub functions: Vec<usize>,
    pub awake: Vec<usize>,
    pub instances: Vec<usize>,
    pub bytes: Vec<usize>,
    pub older: usize,
    pub join_ms: u64,
    pub changes: usize,
    pub restarts: usize,
    pub lose: usize,
    pub seconds: u64,
    pub mesh: bool,
    pub zones: usize,
    pub seed: u64,
    pub threads: usize,
    pub out: Option<PathBuf>,
    pub folder: Option<PathBuf>,
    pub programs: PathBuf,
    pub one: bool,
}

impl Order {
    pub fn workload(&self) -> Workload {
        Workload { functions: self.functions[0], awake: self.awake[0], instances: self.instances[0] }
    }
}

fn list(name: &str, words: &str, least: usize, most: usize) -> Result<Vec<usize>, String> {
    let wrong = || format!("--{name} {words}: allowed are numbers from {least} to {most}, parted by commas");
    let numbers: Result<Vec<usize>, _> = words.split(',').map(|word| word.trim().parse::<usize>()).collect();
    let numbers = numbers.map_err(|_| wrong())?;
    if numbers.is_empty() || numbers.iter().any(|n| !(least..=most).contains(n)) { Err(wrong()) } else { Ok(numbers) }
}

fn one(name: &str, words: &str, least: usize, most: usize) -> Result<usize, String> {
    match list(name, words, least, most)?[..] {
        [number] => Ok(number),
        _ => Err(format!("--{name} {words}: one number is allowed here")),
    }
}

pub fn parse(line: lexopt::Parser) -> Result<Option<Order>, String> {
    let beside = std::env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from)).unwrap_or_default();
    let mut order = Order {
        what: What::Run,
        nodes: vec![10, 50],
        routers: 1,
        functions: vec![1000],
        awake: vec![100],
        instances: vec![400],
        bytes: vec![1000],
        older: 70,
        join_ms: 100,
        changes: 3,
        restarts: 3,
        lose: 0,
        seconds: 20,
        mesh: false,
        zones: 5,
        seed: 1,
        threads: 2,
        out: None,
        folder: None,
        programs: beside,
        one: false,
    };
    let mut what = String::new();
    let mut line = ToolLine::new(line, &["mesh", "one"]);
    while let Some(argument) = line.next_argument()? {
        let (name, value) = match argument {
            ToolArgument::Help => {
                println!("{HELP}");
                return Ok(None);
            }
            ToolArgument::Version => {
                println!("hollow {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            ToolArgument::Command(word) => {
                what = word;
                continue;
            }
            ToolArgument::Switch(name) => {
                order.mesh |= name == "mesh";
                order.one |= name == "one";
                continue;
            }
            ToolArgument::Option { name, value } => (name, value),
        };
        match name.as_str() {
            "nodes" => order.nodes = list(&name, &value, 1, 5000)?,
            "routers" => order.routers = one(&name, &value, 0, 8)?,
            "functions" => order.functions = list(&name, &value, 1, 50_000)?,
            "awake" => order.awake = list(&name, &value, 0, 50_000)?,
            "instances" => order.instances = list(&name, &value, 0, 200_000)?,
            "bytes" => order.bytes = list(&name, &value, 0, 1_000_000)?,
            "older" => order.older = one(&name, &value, 0, 1000)?,
            "join-ms" => order.join_ms = one(&name, &value, 1, 10_000)? as u64,
            "changes" => order.changes = one(&name, &value, 0, 1000)?,
            "restarts" => order.restarts = one(&name, &value, 0, 1000)?,
            "lose" => order.lose = one(&name, &value, 0, 5000)?,
            "seconds" => order.seconds = one(&name, &value, 1, 3600)? as u64,
            "zones" => order.zones = one(&name, &value, 1, 64)?,
            "seed" => order.seed = value.parse().map_err(|_| format!("--seed {value}: allowed is a number"))?,
            "threads" => order.threads = one(&name, &value, 1, 16)?,
            "out" => order.out = Some(value.into()),
            "folder" => order.folder = Some(value.into()),
            "programs" => order.programs = value.into(),
            _ => return Err(format!("no flag --{name}; see --help")),
        }
    }
    order.what = match what.as_str() {
        "run" => What::Run,
        "books" => What::Books,
        "homes" => What::Homes,
        "plans" => What::Plans,
        "passes" => What::Passes,
        "lists" => What::Lists,
        "tasks" => What::Tasks,
        _ => return Err("say run, books, homes, plans, passes, lists or tasks; see --help".into()),
    };
    if order.what == What::Run {
        possible(&order, memory_mb(), files_allowed())?;
    }
    Ok(Some(order))
}

/// Memory and open sockets a run comes to, by the shares seen in runs (docs/CAPACITY.md).
pub fn possible(order: &Order, memory_mb: u64, files: u64) -> Result<(), String> {
    if [&order.functions, &order.awake, &order.instances].iter().any(|list| list.len() != 1) {
        return Err("run takes one number of functions, awake and instances".into());
    }
    let Workload { functions, awake, instances } = order.workload();
    if awake > functions || (awake == 0 && instances > 0) {
        return Err(format!("--awake {awake}: allowed is up to --functions, and some if there are instances"));
    }
    let nodes = order.nodes.iter().copied().max().unwrap_or(0);
    let least = order.nodes.iter().copied().min().unwrap_or(0);
    if least <= order.routers || order.lose + order.restarts.min(1) + order.routers >= least {
        return Err(format!("--nodes {least}: more hollow nodes than that are needed for these --routers and --lose"));
    }
    let hollow = nodes - order.routers;
    let links = if order.mesh { hollow * (hollow - 1) } else { 0 };
    let sockets = (hollow * (10 + 6 * order.routers) + 2 * links + 200) as u64;
    if sockets > files {
        return Err(format!("--nodes {nodes}: {sockets} sockets are needed, {files} are allowed to a process here"));
    }
    let needed = (hollow * (functions * 700 + 1_500_000) + links * 60_000) as u64 / 1_000_000 + 600;
    if needed > memory_mb / 2 {
        return Err(format!(
            "--nodes {nodes}: about {needed} MB are needed, half of this machine's {memory_mb} MB is allowed"
        ));
    }
    Ok(())
}
