//! `router`: the program of the data plane; runs once on every machine.

use std::process::ExitCode;
use traffic::{Dialect, RouterSettings};

const ABOUT: &str =
    "accepts requests, forwards tasks to the owners of their functions and runs instances according to the plan";

fn main() -> ExitCode {
    config::run_program("router", ABOUT, env!("CARGO_PKG_VERSION"), |settings: RouterSettings, reread| {
        events::setup(&settings.log_level, &settings.log_file)
            .map_err(|error| (2, format!("setting log_file = {}: {error}", settings.log_file)))?;
        traffic::run(settings, Dialect { reread: Some(reread), ..Dialect::default() })
            .map_err(|error| (1, error.to_string()))
    })
}
