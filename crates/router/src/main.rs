//! `router`: the data plane's program, one on every machine.

use env::Opening;
use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "meets callers, carries tasks to their homes and runs instances to match the plan";
    let settings = match env::open::<traffic::RouterEnv>("router", about, env!("CARGO_PKG_VERSION")) {
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
        eprintln!("router: setting log_file = {}: {fault}", settings.log_file);
        return ExitCode::from(2);
    }
    match traffic::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("router: {fault}");
            ExitCode::FAILURE
        }
    }
}
