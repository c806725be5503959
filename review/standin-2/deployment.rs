//! A small deployment: machines with a registry and a router each, started with the commands of the deploy file.

use crate::Record;
use crate::http;
use crate::settings::{Ports, settings};
use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ROUTER: &str = "router --log-level warn --step 1s --hold 1s --recorded-answer-bytes 512";
const REGISTRY: &str = "registry --log-level warn --step 1s --hold 1s --fits 2 --tuning false";
/// Time after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Machines with a disk, which have a registry.
pub const CORE: usize = 3;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Processes that were started and not yet waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that are left, when a run cannot go on.
pub fn kill_all() {
    if let Ok(started) = STARTED.try_lock() {
        // SAFETY: these are children of this process that have not been waited for.
        started.iter().for_each(|id| {
            let _ = unsafe { kill(*id, SIGKILL) };
        });
    }
}

pub const SIGKILL: i32 = 9;

struct Process {
    role: &'static str,
    child: Option<Child>,
    /// Whether the run itself ended it.
    was_told: bool,
}

pub struct Machine {
    pub number: usize,
    pub ip: String,
    folder: PathBuf,
    processes: Mutex<Vec<Process>>,
}

pub struct Deployment {
    record: Arc<Record>,
    pub ports: Ports,
    program: PathBuf,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    ending: AtomicBool,
    /// Machine and role of each process that ended by itself.
    pub own_ends: Mutex<Vec<(u64, usize, &'static str, String)>>,
}

impl Deployment {
    pub fn start(record: &Arc<Record>, ports: Ports, count: usize, platform: &str, bounds: &str) -> Arc<Deployment> {
        let program = std::env::var("HERONLINK_NODE").unwrap_or("target/release/heronlink-node".into()).into();
        let folder = std::env::temp_dir().join(format!("heronlink-review-2-{}", std::process::id()));
        let ips: Vec<String> = (1..=count).map(|host| format!("127.{}.9.{host}", ports.network)).collect();
        let machines = ips
            .iter()
            .enumerate()
            .map(|(number, ip)| {
                let folder = folder.join(ip);
                for sub in ["registry", "router"] {
                    std::fs::create_dir_all(folder.join(sub)).expect("a folder");
                    let text = settings(number, &ips, ports, sub, platform, &folder.join(sub), bounds);
                    std::fs::write(folder.join(format!("{sub}.conf")), text).expect("a settings file");
                }
                Machine { number, ip: ip.clone(), folder, processes: Mutex::default() }
            })
            .collect();
        let ending = AtomicBool::new(false);
        let own_ends = Mutex::default();
        let deployment =
            Arc::new(Deployment { record: record.clone(), ports, program, folder, machines, ending, own_ends });
        for machine in &deployment.machines {
            if machine.number < CORE {
                deployment.launch(machine, "registry");
            }
        }
        deployment.machines.iter().for_each(|machine| deployment.launch(machine, "router"));
        let watched = deployment.clone();
        thread::spawn(move || watched.watch());
        deployment
    }

    fn launch(&self, machine: &Machine, role: &'static str) {
        let arguments = if role == "router" { ROUTER } else { REGISTRY };
        let log = machine.folder.join(format!("{role}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .args(arguments.split(' '))
            .env("HERONLINK_NODE_FILE", machine.folder.join(format!("{role}.conf")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("start {role} on machine {} as {}", machine.number, child.id()));
        STARTED.lock().unwrap().push(child.id() as i32);
        machine.processes.lock().unwrap().retain(|process| process.role != role);
        machine.processes.lock().unwrap().push(Process { role, child: Some(child), was_told: false });
    }

    /// Starts ended processes again after a short delay.
    fn watch(self: &Arc<Deployment>) {
        while !self.ending.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            for machine in &self.machines {
                let mut ended = Vec::new();
                for process in machine.processes.lock().unwrap().iter_mut() {
                    let Some(child) = process.child.as_mut() else { continue };
                    let id = child.id() as i32;
                    if let Ok(Some(status)) = child.try_wait() {
                        STARTED.lock().unwrap().retain(|known| *known != id);
                        ended.push((process.role, process.was_told, status));
                        process.child = None;
                    }
                }
                for (role, was_told, status) in ended {
                    if self.ending.load(Ordering::SeqCst) {
                        return;
                    }
                    let how = if was_told { "as told" } else { "BY ITSELF" };
                    self.record.say(&format!("{role} on machine {} ended {how}: {status}", machine.number));
                    if !was_told {
                        let log = std::fs::read_to_string(machine.folder.join(format!("{role}.log")));
                        let log = log.unwrap_or_default();
                        let last: Vec<&str> = log.lines().rev().take(6).collect();
                        last.iter().rev().for_each(|line| self.record.line(&format!("    log: {line}")));
                        let now = self.record.now_ms();
                        self.own_ends.lock().unwrap().push((now, machine.number, role, status.to_string()));
                    }
                    let (deployment, number) = (self.clone(), machine.number);
                    thread::spawn(move || {
                        thread::sleep(RESTART_DELAY);
                        if !deployment.ending.load(Ordering::SeqCst) {
                            deployment.launch(&deployment.machines[number], role);
                        }
                    });
                }
            }
        }
    }

    /// Sends a signal to the processes of one machine, or to the one of a role.
    pub fn signal(&self, number: usize, role: Option<&str>, signal: i32) {
        let machine = &self.machines[number];
        for process in machine.processes.lock().unwrap().iter_mut() {
            if role.is_some_and(|role| role != process.role) {
                continue;
            }
            let Some(child) = process.child.as_ref() else { continue };
            process.was_told |= signal == SIGKILL;
            self.record.say(&format!("signal {signal} to {} on machine {number}", process.role));
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// The data file of a machine's registry.
    pub fn data_file(&self, number: usize) -> PathBuf {
        self.machines[number].folder.join("registry").join("registry.redb")
    }

    pub fn front(&self, number: usize) -> String {
        format!("{}:{}", self.machines[number].ip, self.ports.base)
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let address = format!("{}:{}", self.machines[number].ip, self.ports.base + 1);
        let answer =
            http::call(&address, "GET /-/readiness HTTP/1.1", &[("Host", "x")], b"", Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends an order of the operator until it is acknowledged.
    pub fn order(&self, verb: &str, revision: u64, body: &str, tries: usize) -> bool {
        let revision = revision.to_string();
        let headers = [("Host", "x"), ("If-Revision", revision.as_str()), ("Content-Type", "application/json")];
        for attempt in 0..tries {
            let address = format!("{}:{}", self.machines[attempt % CORE].ip, self.ports.base + 2);
            let line = format!("POST /-/Config.{verb} HTTP/1.1");
            match http::call(&address, &line, &headers, body.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) if answer.status() == 200 => return true,
                Ok(answer) => self.record.line(&format!("operator got {}", answer.status())),
                Err(error) => self.record.line(&format!("operator got {error}")),
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Puts the first configuration in force and waits until all routers are ready.
    pub fn configure(&self, configuration: &str) -> bool {
        if !self.order("Replace", 0, configuration, 100) {
            return false;
        }
        self.record.say("configuration acknowledged");
        for _ in 0..150 {
            if (0..self.machines.len()).all(|number| self.is_ready(number)) {
                self.record.say("all routers are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
        thread::sleep(RESTART_DELAY + Duration::from_millis(100));
        for machine in &self.machines {
            for process in machine.processes.lock().unwrap().iter_mut() {
                if let Some(child) = process.child.as_mut() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                process.child = None;
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
