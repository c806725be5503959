//! Ports of a fleet's nodes: free ones are asked of the machine, and those of the fleet before in the same folder
//! are used again, so that machines keep their addresses, and so their identities, over a restart.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::Path;

const FILE: &str = "ports";
/// Below those that the machine deals out to connections, so that none is taken before its node listens.
const ALLOWED: std::ops::Range<u16> = 10_000..32_000;
/// Fleets that start at once begin their search this far apart.
const SPREAD: u16 = 97;

/// So many addresses with free ports, first those that are written in the folder.
pub fn take_ports(folder: &Path, count: usize) -> Result<Vec<String>, String> {
    let path = folder.join(FILE);
    let known = std::fs::read_to_string(&path).unwrap_or_default();
    let known: Vec<u16> = known.lines().filter_map(|line| line.parse().ok()).take(count).collect();
    let ports = match listeners(&known) {
        Some(held) if !known.is_empty() => extended(held, count)?,
        _ => extended(Vec::new(), count)?,
    };
    let lines: Vec<String> = ports.iter().map(u16::to_string).collect();
    std::fs::write(&path, lines.join("\n")).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(ports.iter().map(|port| format!("127.0.0.1:{port}")).collect())
}

/// Listeners at all of these ports, or none if one is taken.
fn listeners(ports: &[u16]) -> Option<Vec<TcpListener>> {
    ports.iter().map(|port| TcpListener::bind(("127.0.0.1", *port)).ok()).collect()
}

/// Ports that are held until all are found, so that none is given twice.
fn extended(mut held: Vec<TcpListener>, count: usize) -> Result<Vec<u16>, String> {
    let port_of = |listener: &TcpListener| listener.local_addr().map_or(0, |address| address.port());
    let taken: BTreeSet<u16> = held.iter().map(port_of).collect();
    let width = ALLOWED.end - ALLOWED.start;
    let first = ALLOWED.start + (std::process::id() as u16).wrapping_mul(SPREAD) % width;
    let candidates = (first..ALLOWED.end).chain(ALLOWED.start..first).filter(|port| !taken.contains(port));
    for port in candidates {
        if held.len() == count {
            break;
        }
        held.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    if held.len() < count {
        return Err(format!("{count} free ports are needed"));
    }
    Ok(held.iter().map(port_of).collect())
}

#[cfg(test)]
#[path = "ports_tests.rs"]
mod ports_tests;
