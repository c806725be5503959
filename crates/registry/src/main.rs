//! `registry`: the control plane's program, one on each machine with a disk.

use env::Opening;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "keeps heronlink's shared state: configuration, holds, the run-once ledger, stored tasks";
    let settings = match env::open::<control::RegistryEnv>("registry", about, env!("CARGO_PKG_VERSION")) {
        Opening::Run(settings) => settings,
        Opening::Say { words, code: 0 } => {
            println!("{words}");
            return ExitCode::SUCCESS;
        }
        Opening::Say { words, code } => {
            eprintln!("{words}");
            return ExitCode::from(code);
        }
    };
    if let Err(fault) = events::setup(&settings.log_level, &settings.log_file) {
        eprintln!("registry: setting log_file = {}: {fault}", settings.log_file);
        return ExitCode::from(2);
    }
    match control::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("registry: {fault}");
            ExitCode::FAILURE
        }
    }
}
