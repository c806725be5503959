//! `platform-emulator`: emulates the platform. It has workers in zones with limited memory, a rate limit on calls,
//! lists that lag behind, and instances that take time to start, serve on endpoints of their own and record every
//! task. It can be told to crash or drain workers and to make instances misbehave.

mod api;
mod instance;
mod record;
mod services;
mod starting;
mod state;

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "emulates the platform and its instances";
    config::run_program(
        "platform-emulator",
        about,
        env!("CARGO_PKG_VERSION"),
        |settings: state::EmulatorSettings, _| api::run(settings).map_err(|error| (1, error)),
    )
}
