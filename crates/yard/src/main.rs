//! `yard`: the platform's stand-in. Workers with memory, a limit on calls, late lists, instances
//! that take their time to start and then serve on endpoints of their own, and a record of every
//! task they ran. It can be told to crash or drain workers and to make instances misbehave.

mod api;
mod instance;
mod record;
mod services;
mod state;

use std::process::ExitCode;

fn main() -> ExitCode {
    let settings = match env::open::<state::YardEnv>(
        "yard",
        "stands in for the platform and its instances",
        env!("CARGO_PKG_VERSION"),
    ) {
        env::Opening::Run(settings) => settings,
        env::Opening::Say { words, code } => {
            if code == 0 {
                println!("{words}");
            } else {
                eprintln!("{words}");
            }
            return ExitCode::from(code);
        }
    };
    match api::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("yard: {fault}");
            ExitCode::FAILURE
        }
    }
}
