//! `emulator`: the platform's emulator. Workers in zones, with memory, a limit on calls, late lists, instances
//! that take their time to start and then serve on endpoints of their own, and a record of every
//! task they ran. It can be told to crash or drain workers and to make instances misbehave.

mod api;
mod instance;
mod record;
mod services;
mod starting;
mod state;

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "stands in for the platform and its instances";
    config::run_program(
        "platform-emulator",
        about,
        env!("CARGO_PKG_VERSION"),
        |settings: state::EmulatorSettings, _| api::run(settings).map_err(|error| (1, error)),
    )
}
