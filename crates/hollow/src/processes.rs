//! The real processes of a hollow fleet: three registries and a few routers. Each is ended by its own
//! id, whatever way the run goes.

use crate::line::Order;
use std::fs::File;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};

pub const CLUSTER: &str = "hollow";
pub const TOKEN: &str = "hollow-operator-token";
pub const REGISTRIES: usize = 3;

pub struct Process {
    pub name: String,
    pub api: String,
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports below those the machine deals out, so that none is taken before its owner listens.
pub fn listeners(count: usize) -> Result<Vec<TcpListener>, String> {
    let from = 10_000 + (std::process::id() as u16).wrapping_mul(97) % 18_000;
    let free = (from..32_000).chain(10_000..from).filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    let held: Vec<TcpListener> = free.take(count).collect();
    if held.len() < count { Err(format!("{count} free ports are needed")) } else { Ok(held) }
}

pub fn address(listener: &TcpListener) -> String {
    listener.local_addr().map(|address| address.to_string()).unwrap_or_default()
}

pub fn zone(number: usize, zones: usize) -> String {
    format!("z{}", number % zones)
}

/// A process as it will be: where others dial it, which is its relay, and where it listens itself.
pub struct Drawn {
    pub name: String,
    pub address: String,
    pub behind: String,
    pub api: String,
    pub door: String,
}

fn spawn(order: &Order, folder: &Path, program: &str, drawn: &Drawn, more: &[&str]) -> Result<Process, String> {
    let log = folder.join(format!("{}.log", drawn.name));
    let log = File::create(&log).map_err(|error| format!("{}: {error}", log.display()))?;
    let path = order.programs.join(program);
    let child = Command::new(&path)
        .args(["--cluster", CLUSTER, "--address", &drawn.address, "--bind", &drawn.behind, "--log-level", "warn"])
        .args(more)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(Process { name: drawn.name.clone(), api: drawn.api.clone(), child })
}

pub fn registry(order: &Order, folder: &Path, drawn: &Drawn, number: usize, seeds: &str) -> Result<Process, String> {
    let data = folder.join(&drawn.name).display().to_string();
    let zone = zone(number, order.zones);
    let tokens = format!("*={TOKEN}");
    let more = ["--zone", &zone, "--api", &drawn.api, "--seeds", seeds, "--data", &data, "--tokens", &tokens];
    spawn(order, folder, "registry", drawn, &more)
}

pub fn router(
    order: &Order,
    folder: &Path,
    drawn: &Drawn,
    number: usize,
    seeds: &str,
    platform: &str,
) -> Result<Process, String> {
    let zone = zone(number, order.zones);
    let more =
        ["--zone", &zone, "--ops", &drawn.api, "--listen", &drawn.door, "--seeds", seeds, "--platform", platform];
    spawn(order, folder, "router", drawn, &more)
}
