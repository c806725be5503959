//! Time spans of faults for the checker: a kill until the start, a freeze until the thaw, a cut until it is
//! healed, mischief until it ends, a crowd while it lasts. Planned stops with the starts after them, and
//! changes, are marked as planned.

use crate::faults::ScheduledFault;
use crate::route_changes::unix_time_ms;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

/// A fault or planned work that has not ended yet.
struct OpenSpan {
    /// Milliseconds of the wall clock.
    from_ms: u64,
    planned: bool,
}

/// A fault or planned work with its start and end.
struct Span {
    /// Milliseconds of the wall clock.
    from_ms: u64,
    /// Milliseconds of the wall clock; the largest number if the span did not end.
    to_ms: u64,
    what: String,
    planned: bool,
}

/// Faults and planned work in a run so far.
#[derive(Default)]
pub struct Timeline {
    open: BTreeMap<String, OpenSpan>,
    spans: Vec<Span>,
}

impl Timeline {
    /// Records an injected fault or its end.
    pub fn record(&mut self, fault: &ScheduledFault) {
        let now = unix_time_ms();
        let (verb, kind) = fault.kind.split_once('-').unwrap_or((fault.kind.as_str(), ""));
        let names = || fault.target.split(',').map(|which| format!("{kind}-{which}"));
        match (verb, kind) {
            ("kill" | "freeze" | "fill", _) => names().for_each(|name| self.begin(name, now, false)),
            ("stop", _) => names().for_each(|name| self.begin(name, now, true)),
            ("roll" | "switch" | "start" | "thaw", _) => names().for_each(|name| self.end(&name, now)),
            ("cut", _) => self.begin("cut".into(), now, false),
            ("heal", _) => self.end("cut", now),
            ("mischief", _) => {
                self.end("mischief", now);
                if !fault.target.is_empty() {
                    self.begin("mischief".into(), now, false);
                }
            }
            ("patch", _) => self.push(now, now, "patch", true),
            _ => self.push(now, now, &fault.kind, false),
        }
    }

    fn begin(&mut self, name: String, now: u64, planned: bool) {
        let known = self.open.entry(name).or_insert(OpenSpan { from_ms: now, planned });
        known.planned &= planned;
    }

    fn push(&mut self, from_ms: u64, to_ms: u64, what: &str, planned: bool) {
        self.spans.push(Span { from_ms, to_ms, what: what.to_owned(), planned });
    }

    fn end(&mut self, name: &str, now: u64) {
        if let Some(OpenSpan { from_ms, planned }) = self.open.remove(name) {
            self.push(from_ms, now, name, planned);
        }
    }

    /// Records a crowd, given as on the command line. During a crowd the fleet may refuse requests although nothing
    /// has failed.
    pub fn record_crowd(&mut self, started: u64, values: &str) {
        let mut parts = values.split(',').map(|part| part.parse::<f64>().unwrap_or(0.0));
        let (at, lasts) = (parts.next().unwrap_or(0.0), parts.next().unwrap_or(0.0));
        let from = started + (at * 1000.0) as u64;
        self.push(from, from + (lasts * 1000.0) as u64, "crowd", false);
    }

    /// Writes one JSON line for each span; spans that did not end come last.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let line = |from: u64, to: u64, what: &str, planned: bool| {
            format!("{}\n", json!({"from": from, "to": to, "what": what, "planned": planned}))
        };
        let ended = self.spans.iter().map(|span| line(span.from_ms, span.to_ms, &span.what, span.planned));
        let open = self.open.iter().map(|(name, span)| line(span.from_ms, u64::MAX, name, span.planned));
        let lines: String = ended.chain(open).collect();
        std::fs::write(path, lines).map_err(|error| format!("{}: {error}", path.display()))
    }
}
