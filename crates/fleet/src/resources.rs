//! Resource use of the processes over a run, and whether it grows from the first third to the last.

use std::collections::BTreeMap;
use std::fs;

/// Allowed growth from the first third to the last: the use may be multiplied by a factor, plus an extra amount.
struct Allowance {
    what: &'static str,
    factor: f64,
    extra: f64,
}

const ALLOWANCES: [Allowance; 3] = [
    Allowance { what: "memory KB", factor: 1.5, extra: 24.0 * 1024.0 },
    Allowance { what: "descriptors", factor: 1.25, extra: 48.0 },
    Allowance { what: "threads", factor: 1.0, extra: 4.0 },
];

/// Resource use of a process at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Resident memory in KB, open descriptors, threads.
    values: [f64; 3],
}

impl Usage {
    /// Reads the resource use of a process; `None` if it has exited.
    pub fn read(process: u32) -> Option<Usage> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count() as f64;
        Some(Usage { values: [field("VmRSS:")?, descriptors, field("Threads:")?] })
    }
}

/// Samples of resource use, by node name and process id; a restarted node is a new process.
#[derive(Default)]
pub struct Usages {
    samples: BTreeMap<(String, u32), Vec<Usage>>,
    rounds: usize,
}

impl Usages {
    /// Samples the given processes.
    pub fn sample<'a>(&mut self, processes: impl Iterator<Item = (&'a str, u32)>) {
        self.rounds += 1;
        for (name, process) in processes {
            if let Some(usage) = Usage::read(process) {
                self.samples.entry((name.to_owned(), process)).or_default().push(usage);
            }
        }
    }

    /// Returns a line for each resource of each process that ran for at least 90 % of the samples, and the lines of
    /// those whose use grew too much.
    pub fn report(&self) -> (Vec<String>, Vec<String>) {
        let (mut lines, mut growing) = (Vec::new(), Vec::new());
        let long_lived = self.samples.iter().filter(|(_, samples)| samples.len() * 10 >= self.rounds * 9);
        for ((name, _), samples) in long_lived {
            let third = (samples.len() / 3).max(1);
            for (index, allowance) in ALLOWANCES.iter().enumerate() {
                let first = median(&samples[..third], index);
                let last = median(&samples[samples.len() - third..], index);
                let line = format!("{name}: {} {first} in the first third, {last} in the last", allowance.what);
                if last > first * allowance.factor + allowance.extra {
                    growing.push(line.clone());
                }
                lines.push(line);
            }
        }
        (lines, growing)
    }
}

fn median(samples: &[Usage], index: usize) -> f64 {
    let mut values: Vec<f64> = samples.iter().map(|usage| usage.values[index]).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[cfg(test)]
#[path = "resources_tests.rs"]
mod resources_tests;
