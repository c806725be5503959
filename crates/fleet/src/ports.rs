//! Ports of the nodes of a fleet: free ports of the machine, or those of the previous fleet in the same folder,
//! so that nodes keep their addresses, and thereby their node ids, over a restart.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::Path;

/// File in the folder that records the ports.
const PORTS_FILE: &str = "ports";
/// Range below the ephemeral ports of the machine, so that no connection takes a port before its node listens.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Distance between the first ports tried by fleets with consecutive process ids, which may start at the same time.
const SEARCH_OFFSET: u16 = 97;

/// Returns `count` addresses with free ports, starting with the ports recorded in the folder.
pub fn reserve_ports(folder: &Path, count: usize) -> Result<Vec<String>, String> {
    let path = folder.join(PORTS_FILE);
    let previous = std::fs::read_to_string(&path).unwrap_or_default();
    let previous: Vec<u16> = previous.lines().filter_map(|line| line.parse().ok()).take(count).collect();
    let ports = match bind_all(&previous) {
        Some(listeners) if !previous.is_empty() => reserve_more(listeners, count)?,
        _ => reserve_more(Vec::new(), count)?,
    };
    let lines: Vec<String> = ports.iter().map(u16::to_string).collect();
    std::fs::write(&path, lines.join("\n")).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(ports.iter().map(|port| format!("127.0.0.1:{port}")).collect())
}

/// Binds all of these ports; returns `None` if one is in use.
fn bind_all(ports: &[u16]) -> Option<Vec<TcpListener>> {
    ports.iter().map(|port| TcpListener::bind(("127.0.0.1", *port)).ok()).collect()
}

/// Adds free ports up to `count`. All stay bound until the last is found, so that none is returned twice.
fn reserve_more(mut listeners: Vec<TcpListener>, count: usize) -> Result<Vec<u16>, String> {
    let port_of = |listener: &TcpListener| listener.local_addr().map_or(0, |address| address.port());
    let reserved: BTreeSet<u16> = listeners.iter().map(port_of).collect();
    let width = PORT_RANGE.end - PORT_RANGE.start;
    let first = PORT_RANGE.start + (std::process::id() as u16).wrapping_mul(SEARCH_OFFSET) % width;
    let candidates = (first..PORT_RANGE.end).chain(PORT_RANGE.start..first).filter(|port| !reserved.contains(port));
    for port in candidates {
        if listeners.len() == count {
            break;
        }
        listeners.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    if listeners.len() < count {
        return Err(format!("fewer than {count} free ports are available"));
    }
    Ok(listeners.iter().map(port_of).collect())
}

#[cfg(test)]
#[path = "ports_tests.rs"]
mod ports_tests;
