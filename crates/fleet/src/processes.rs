//! The processes of a fleet: how each is started, and how it is ended by its own id.

use crate::relay::Relays;
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const TOKEN: &str = "fleet-operator-token";

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub program: &'static str,
    pub peer: String,
    pub bind: String,
    pub door: String,
    pub ops: String,
    pub arguments: Vec<String>,
    pub data: Option<PathBuf>,
}

/// How a node is started: as always, by the programs of another revision, or without room on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    Plain,
    /// By the other programs, speaking the oldest format, and then the newest.
    Other,
    Switched,
    Full,
}

pub struct Fleet {
    pub emulator: Node,
    pub registries: Vec<Node>,
    pub routers: Vec<Node>,
    pub running: Vec<(String, Child)>,
    pub folder: PathBuf,
    pub programs: PathBuf,
    pub other: Option<PathBuf>,
    pub relays: Relays,
    pub ended: Vec<(String, Option<i32>)>,
    pub asked: BTreeSet<String>,
}

impl Fleet {
    /// Opens each node's relay, at the address the others dial.
    pub async fn open_relays(&self) -> Result<(), String> {
        for node in self.registries.iter().chain(&self.routers) {
            self.relays.open(&node.name, &node.peer, &node.bind).await?;
        }
        Ok(())
    }

    pub fn node(&self, kind: &str, number: usize) -> Result<Node, String> {
        let list = if kind == "registry" { &self.registries } else { &self.routers };
        list.get(number).cloned().ok_or_else(|| format!("there is no {kind} {number}"))
    }

    fn log(&self, name: &str) -> Result<File, String> {
        let path = self.folder.join("logs").join(format!("{name}.log"));
        OpenOptions::new().create(true).append(true).open(&path).map_err(|fault| format!("{}: {fault}", path.display()))
    }

    pub fn start(&mut self, node: &Node) -> Result<(), String> {
        self.start_as(node, Start::Plain)
    }

    /// Waits until a process that was killed is gone; a kill is not long in coming.
    pub fn wait_for(&mut self, name: &str) {
        self.running.retain_mut(|(known, child)| known != name || child.wait().is_err());
    }

    fn command(&self, node: &Node, start: Start) -> Result<Command, String> {
        let folder = match (start, &self.other) {
            (Start::Other | Start::Switched, None) => return Err("--other is needed to roll".into()),
            (Start::Other | Start::Switched, Some(other)) => other,
            _ => &self.programs,
        };
        let path = folder.join(node.program);
        let Some(data) = node.data.as_ref().filter(|_| start == Start::Full) else { return Ok(Command::new(path)) };
        let size = std::fs::metadata(data.join("registry.redb")).map_or(0, |file| file.len());
        let mut shell = Command::new("sh");
        shell.args(["-c", "trap '' XFSZ; ulimit -f \"$1\"; shift; exec \"$@\"", "sh"]);
        shell.arg((size / 512).to_string()).arg(path);
        Ok(shell)
    }

    pub fn start_as(&mut self, node: &Node, start: Start) -> Result<(), String> {
        let ended = self.reap();
        self.ended.extend(ended);
        self.asked.remove(&node.name);
        self.ended.retain(|(name, _)| *name != node.name);
        if self.running.iter().any(|(name, _)| *name == node.name) {
            return Ok(());
        }
        let mut command = self.command(node, start)?;
        let arguments = known_arguments(&command, &node.arguments);
        let oldest = ["--format".to_owned(), wire::OLDEST_FORMAT.to_string()];
        let more = if start == Start::Other { oldest.as_slice() } else { &[] };
        let child = command
            .args(arguments)
            .args(more)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log(&node.name)?)
            .spawn()
            .map_err(|fault| format!("{}: {fault}", node.program))?;
        self.running.push((node.name.clone(), child));
        Ok(())
    }

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

    /// A process that ended though nothing was asked of it.
    pub fn ended_unasked(&mut self) -> Option<(String, Option<i32>)> {
        let ended = self.reap();
        self.ended.extend(ended);
        let place = self.ended.iter().position(|(name, _)| !self.asked.contains(name))?;
        Some(self.ended.remove(place))
    }

    /// Sends a signal, by its name, to one process this runner started.
    pub fn signal(&mut self, name: &str, signal: &str) -> Result<(), String> {
        let Some((_, child)) = self.running.iter().find(|(known, _)| known == name) else { return Ok(()) };
        if ["KILL", "TERM"].contains(&signal) {
            self.asked.insert(name.to_owned());
        }
        let status = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        status.map(drop).map_err(|fault| format!("kill: {fault}"))
    }

    pub async fn end_all(&mut self) {
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

/// Programs of an earlier revision do not know every flag; those are left out, and tokens are given in
/// the way they know.
fn known_arguments(command: &Command, arguments: &[String]) -> Vec<String> {
    let shell = command.get_program() == "sh";
    let help = Command::new(command.get_program()).arg("--help").stdin(Stdio::null()).output();
    let help = help.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let knows =
        |flag: &str| shell || help.is_empty() || [" ", "\n"].iter().any(|end| help.contains(&format!("{flag}{end}")));
    let mut known = Vec::new();
    for pair in arguments.chunks(2) {
        if knows(&pair[0]) {
            known.extend_from_slice(pair);
        } else if pair[0] == "--tokens-file" && knows("--tokens") {
            known.extend(["--tokens".to_owned(), format!("*={TOKEN}")]);
        }
    }
    known
}
