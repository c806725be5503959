//! Stand-ins of the second review: the platform with its instances, clients, and a small deployment of the project's
//! program. It uses nothing but the standard library. `scene CASE FOLDER` plays one case; see each case's claim.

mod cases;
mod deployment;
mod http;
mod instances;
mod platform;
mod settings;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run: one line for each thing that was sent, answered, run or seen.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    fn create(folder: &str) -> Arc<Record> {
        let file = File::create(Path::new(folder).join("record.txt")).expect("a record");
        Arc::new(Record { file: Mutex::new(file), began: Instant::now() })
    }

    /// Milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.began.elapsed().as_millis());
    }

    /// A line of the record that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} {text}", self.began.elapsed().as_millis());
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = (arguments[1].as_str(), arguments[2].as_str());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(folder);
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        deployment::kill_all();
        std::process::exit(2);
    }));
    let code = cases::play(case, &record, trouble);
    record.say(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code);
}
