//! What failed from when to when, as the checker needs it: a kill until the start, a freeze until the
//! thaw, a cut until it is healed, mischief until it ends, a crowd while it lasts. Planned stops,
//! starts after them and changes are told apart.

use crate::faults::Timed;
use crate::turns::wall_ms;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Default)]
pub struct Timeline {
    open: BTreeMap<String, (u64, bool)>,
    spans: Vec<(u64, u64, String, bool)>,
}

impl Timeline {
    pub fn note(&mut self, fault: &Timed) {
        let now = wall_ms();
        let (verb, kind) = fault.what.split_once('-').unwrap_or((fault.what.as_str(), ""));
        let names = || fault.which.split(',').map(|which| format!("{kind}-{which}"));
        match (verb, kind) {
            ("kill" | "freeze" | "fill", _) => names().for_each(|name| self.begin(name, now, false)),
            ("stop", _) => names().for_each(|name| self.begin(name, now, true)),
            ("roll" | "switch" | "start" | "thaw", _) => names().for_each(|name| self.end(&name, now)),
            ("cut", _) => self.begin("cut".into(), now, false),
            ("heal", _) => self.end("cut", now),
            ("mischief", _) => {
                self.end("mischief", now);
                if !fault.which.is_empty() {
                    self.begin("mischief".into(), now, false);
                }
            }
            ("patch", _) => self.spans.push((now, now, "patch".into(), true)),
            _ => self.spans.push((now, now, fault.what.clone(), false)),
        }
    }

    fn begin(&mut self, name: String, now: u64, planned: bool) {
        let known = self.open.entry(name).or_insert((now, planned));
        known.1 &= planned;
    }

    fn end(&mut self, name: &str, now: u64) {
        if let Some((from, planned)) = self.open.remove(name) {
            self.spans.push((from, now, name.to_owned(), planned));
        }
    }

    /// A crowd, which may bring refusals of our own without anything having failed.
    pub fn crowd(&mut self, begun: u64, words: &str) {
        let mut parts = words.split(',').map(|part| part.parse::<f64>().unwrap_or(0.0));
        let (at, lasts) = (parts.next().unwrap_or(0.0), parts.next().unwrap_or(0.0));
        let from = begun + (at * 1000.0) as u64;
        self.spans.push((from, from + (lasts * 1000.0) as u64, "crowd".into(), false));
    }

    pub fn write(&self, path: &Path) -> Result<(), String> {
        let open = self.open.iter().map(|(name, (from, planned))| (*from, u64::MAX, name.clone(), *planned));
        let lines: String = self
            .spans
            .iter()
            .cloned()
            .chain(open)
            .map(|(from, to, what, planned)| {
                format!("{}\n", json!({"from": from, "to": to, "what": what, "planned": planned}))
            })
            .collect();
        std::fs::write(path, lines).map_err(|fault| format!("{}: {fault}", path.display()))
    }
}
