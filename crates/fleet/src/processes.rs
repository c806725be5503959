//! The processes of a fleet: starting each, and stopping each by its own process id.

use crate::relay::Relays;
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Token of the operator of all tenants.
pub const OPERATOR_TOKEN: &str = "fleet-operator-token";

/// A node of the fleet and how it is started.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub program: &'static str,
    /// Address that other nodes dial, where the relay of the node listens.
    pub peer_address: String,
    /// Address where the node itself listens for other nodes.
    pub bind_address: String,
    /// Address for callers of a router or for the API of a registry.
    pub client_address: String,
    /// Address of the operators' status pages.
    pub ops_address: String,
    pub arguments: Vec<String>,
    pub data_folder: Option<PathBuf>,
}

/// Manner in which a node is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// With the programs under test.
    Normal,
    /// With the programs of another revision, in the oldest wire format.
    OtherOldestFormat,
    /// With the programs of another revision, in the newest wire format.
    OtherNewestFormat,
    /// With a data file that cannot grow.
    DiskFull,
}

/// All nodes of the fleet and the processes that run.
pub struct Fleet {
    pub emulator: Node,
    pub registries: Vec<Node>,
    pub routers: Vec<Node>,
    pub running: Vec<(String, Child)>,
    pub folder: PathBuf,
    pub programs: PathBuf,
    /// Folder with the programs of another revision.
    pub other_programs: Option<PathBuf>,
    pub relays: Relays,
    /// Exit codes of processes that have exited.
    pub exits: Vec<(String, Option<i32>)>,
    /// Nodes whose process was signalled to exit.
    pub told_to_stop: BTreeSet<String>,
}

impl Fleet {
    /// Opens the relay of each node at the address that the others dial.
    pub async fn open_relays(&self) -> Result<(), String> {
        for node in self.registries.iter().chain(&self.routers) {
            self.relays.open(&node.name, &node.peer_address, &node.bind_address).await?;
        }
        Ok(())
    }

    /// Returns a registry or router by its number.
    pub fn find_node(&self, kind: &str, number: usize) -> Result<Node, String> {
        let list = if kind == "registry" { &self.registries } else { &self.routers };
        list.get(number).cloned().ok_or_else(|| format!("there is no {kind} {number}"))
    }

    fn open_log(&self, name: &str) -> Result<File, String> {
        let path = self.folder.join("logs").join(format!("{name}.log"));
        OpenOptions::new().create(true).append(true).open(&path).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Starts a node with the programs under test unless it runs.
    pub fn start(&mut self, node: &Node) -> Result<(), String> {
        self.start_in_mode(node, StartMode::Normal)
    }

    /// Waits, without a timeout, until a killed process has exited, which takes only a short time.
    pub fn wait_for_exit(&mut self, name: &str) {
        self.running.retain_mut(|(known, child)| known != name || child.wait().is_err());
    }

    fn command(&self, node: &Node, start: StartMode) -> Result<Command, String> {
        let folder = match (start, &self.other_programs) {
            (StartMode::OtherOldestFormat | StartMode::OtherNewestFormat, None) => {
                return Err("roll and switch need --other".into());
            }
            (StartMode::OtherOldestFormat | StartMode::OtherNewestFormat, Some(other)) => other,
            _ => &self.programs,
        };
        let path = folder.join(node.program);
        let Some(data) = node.data_folder.as_ref().filter(|_| start == StartMode::DiskFull) else {
            return Ok(Command::new(path));
        };
        let size = std::fs::metadata(data.join("registry.redb")).map_or(0, |file| file.len());
        let mut shell = Command::new("sh");
        shell.args(["-c", "trap '' XFSZ; ulimit -f \"$1\"; shift; exec \"$@\"", "sh"]);
        shell.arg((size / 512).to_string()).arg(path);
        Ok(shell)
    }

    /// Starts a node in the given manner unless it runs.
    pub fn start_in_mode(&mut self, node: &Node, start: StartMode) -> Result<(), String> {
        let ended = self.reap();
        self.exits.extend(ended);
        self.told_to_stop.remove(&node.name);
        self.exits.retain(|(name, _)| *name != node.name);
        if self.running.iter().any(|(name, _)| *name == node.name) {
            return Ok(());
        }
        let mut command = self.command(node, start)?;
        let arguments = supported_arguments(&command, &node.arguments);
        let oldest = ["--format".to_owned(), wire::OLDEST_FORMAT.to_string()];
        let format_arguments = if start == StartMode::OtherOldestFormat { oldest.as_slice() } else { &[] };
        let child = command
            .args(arguments)
            .args(format_arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.open_log(&node.name)?)
            .spawn()
            .map_err(|error| format!("{}: {error}", node.program))?;
        self.running.push((node.name.clone(), child));
        Ok(())
    }

    /// Removes processes that have exited and returns their names and exit codes.
    pub fn reap(&mut self) -> Vec<(String, Option<i32>)> {
        let mut ended = Vec::new();
        self.running.retain_mut(|(name, child)| match child.try_wait() {
            Ok(Some(status)) => {
                ended.push((name.clone(), status.code()));
                false
            }
            _ => true,
        });
        ended
    }

    /// Returns a process that exited without having been told to, once for each.
    pub fn take_unexpected_exit(&mut self) -> Option<(String, Option<i32>)> {
        let ended = self.reap();
        self.exits.extend(ended);
        let position = self.exits.iter().position(|(name, _)| !self.told_to_stop.contains(name))?;
        Some(self.exits.remove(position))
    }

    /// Sends a signal, by its name, to one process that this program started.
    pub fn signal(&mut self, name: &str, signal: &str) -> Result<(), String> {
        let Some((_, child)) = self.running.iter().find(|(known, _)| known == name) else { return Ok(()) };
        if ["KILL", "TERM"].contains(&signal) {
            self.told_to_stop.insert(name.to_owned());
        }
        let status = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        status.map(drop).map_err(|error| format!("kill: {error}"))
    }

    /// Tells all processes to stop. Kills those that are still running after 10 s, and the emulator as soon as no
    /// other process is left.
    pub async fn stop_all(&mut self) {
        let names: Vec<String> = self.running.iter().map(|(name, _)| name.clone()).collect();
        for name in names.iter().rev() {
            let _ = self.signal(name, "CONT");
            let _ = self.signal(name, "TERM");
        }
        for _ in 0..100 {
            self.reap();
            if self.running.is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
            if self.running.iter().all(|(name, _)| name == "platform-emulator") {
                break;
            }
        }
        for (_, child) in &mut self.running {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.running.clear();
    }
}

/// Returns the arguments that a program supports. Programs of an earlier revision lack some flags: these are
/// left out, and the tokens are passed with the flag that they have.
fn supported_arguments(command: &Command, arguments: &[String]) -> Vec<String> {
    let is_shell = command.get_program() == "sh";
    let help = Command::new(command.get_program()).arg("--help").stdin(Stdio::null()).output();
    let help = help.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let is_supported = |flag: &str| {
        is_shell || help.is_empty() || [" ", "\n"].iter().any(|end| help.contains(&format!("{flag}{end}")))
    };
    let mut known = Vec::new();
    for pair in arguments.chunks(2) {
        if is_supported(&pair[0]) {
            known.extend_from_slice(pair);
        } else if pair[0] == "--tokens-file" && is_supported("--tokens") {
            known.extend(["--tokens".to_owned(), format!("*={OPERATOR_TOKEN}")]);
        }
    }
    known
}
