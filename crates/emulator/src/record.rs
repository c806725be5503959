//! The instances' own record, one JSON line a run: what the checker holds the callers' record
//! against. Written through a buffer of its own thread, flushed after each burst.

use serde_json::Value;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::mpsc;

#[derive(Clone)]
pub struct Record {
    lines: mpsc::Sender<Value>,
}

impl Record {
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

    pub fn write(&self, line: Value) {
        let _ = self.lines.send(line);
    }
}
