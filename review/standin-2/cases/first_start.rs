//! All processes of the core are killed at one moment, while their registries create their data files on empty disks.
//! They are started again after a short delay, with the same disks.

use crate::Record;
use crate::deployment::{self, Deployment, SIGKILL};
use crate::instances::{Instance, Next};
use crate::platform::{Function, Platform};
use crate::settings::{self, BOUNDS, Ports, Route};
use std::collections::BTreeMap;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// First starts that are tried, each with empty disks.
const TRIES: usize = 100;
/// How long the deployment is watched after the kill.
const WATCHED: Duration = Duration::from_secs(9);
/// Ends within this time of the kill do not count.
const AFTER_TROUBLE_MS: u64 = 1000;
/// Bounds of the rule: ends, and half of the core.
const ENDS: usize = 3;
const MACHINES: usize = 2;
/// First bytes of a complete data file.
const COMPLETE: &[u8] = b"redb";

fn functions() -> Vec<Function> {
    vec![Function { name: "fn-0".into(), slots: 4, boot_ms: 300, memory_mb: 512 }]
}

/// Whether a data file exists and is not complete.
fn is_being_created(file: &Path) -> bool {
    let mut first = [0; 4];
    match std::fs::File::open(file).and_then(|mut file| file.read_exact(&mut first)) {
        Ok(()) => first != COMPLETE,
        Err(_) => false,
    }
}

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    (0..TRIES).find_map(|number| play_start(record, trouble, number)).unwrap_or(2)
}

/// Plays one first start. Returns `None` if the kill met no registry at that point.
fn play_start(record: &Arc<Record>, trouble: bool, number: usize) -> Option<i32> {
    record.say(&format!("first start {number}, with empty disks"));
    let ports = Ports::find();
    let behaviour = |_: &Platform, _: &Instance, _: &mut crate::instances::Exchange| Ok(Next::Usual);
    let workers = (0..3).map(|number| (format!("w-{number}"), 16_000)).collect();
    let platform = Platform::start(record, ports.network, ports.platform(), functions(), workers, Box::new(behaviour));
    let deployment = Deployment::start(record, ports, deployment::CORE, &platform.address, BOUNDS);
    let files: Vec<_> = (0..deployment::CORE).map(|number| deployment.data_file(number)).collect();
    if trouble {
        let began = Instant::now();
        while !files.iter().any(|file| is_being_created(file)) && began.elapsed() < Duration::from_millis(300) {}
        (0..deployment::CORE).for_each(|number| deployment.signal(number, None, SIGKILL));
    }
    let killed_at = record.now_ms();
    thread::sleep(Duration::from_millis(100));
    let cut = files.iter().filter(|file| is_being_created(file)).count();
    record.say(&format!("data files whose creation was cut off: {cut}"));
    if trouble && cut < MACHINES {
        deployment.end();
        return None;
    }
    thread::sleep(WATCHED);
    let routes = [Route { service: "fn-0", kind: "idempotent", attempts: 2 }];
    let is_acknowledged = deployment.order("Replace", 0, &settings::configuration(&routes, &functions()), 10);
    record.say(&format!("the first configuration is acknowledged: {is_acknowledged}"));
    deployment.end();
    let mut ends: BTreeMap<usize, usize> = BTreeMap::new();
    for (at, machine, ..) in deployment.own_ends.lock().unwrap().iter() {
        *ends.entry(*machine).or_default() += usize::from(*at > killed_at + AFTER_TROUBLE_MS);
    }
    let stuck = ends.values().filter(|count| **count >= ENDS).count();
    record.say(&format!("machines whose registry ended by itself {ENDS} times or more: {stuck}"));
    Some(match () {
        _ if stuck >= MACHINES => 1,
        _ if !trouble && !is_acknowledged => 2,
        _ => 0,
    })
}
