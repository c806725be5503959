//! The instances' record, one JSON line per event, with which the checker compares the callers' record. A separate
//! thread writes it through a buffer and flushes it after each burst.

use serde_json::Value;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::mpsc;

/// Handle with which lines are added to the record.
#[derive(Clone)]
pub struct Record {
    lines: mpsc::Sender<Value>,
}

impl Record {
    /// Opens the file and starts the thread that writes it.
    pub fn open(path: &Path) -> Result<Record, String> {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(|error| format!("record {}: {error}", path.display()))?;
        let (lines, inbox) = mpsc::channel::<Value>();
        std::thread::spawn(move || {
            let mut file = BufWriter::new(file);
            while let Ok(line) = inbox.recv() {
                let _ = writeln!(file, "{line}");
                while let Ok(line) = inbox.try_recv() {
                    let _ = writeln!(file, "{line}");
                }
                let _ = file.flush();
            }
        });
        Ok(Record { lines })
    }

    /// Queues a line.
    pub fn write(&self, line: Value) {
        let _ = self.lines.send(line);
    }
}
