//! `registry`: the program of the control plane; runs once on each machine with a disk.

use control::{ControlDialect, RegistrySettings};
use std::process::ExitCode;

const ABOUT: &str = "stores heronlink's shared state: configuration, leases, the run-once ledger, stored tasks";

fn main() -> ExitCode {
    config::run_program("registry", ABOUT, env!("CARGO_PKG_VERSION"), |settings: RegistrySettings, reread| {
        events::setup(&settings.log_level, &settings.log_file)
            .map_err(|error| (2, format!("setting log_file = {}: {error}", settings.log_file)))?;
        control::run(settings, ControlDialect { reread: Some(reread), ..ControlDialect::default() })
            .map_err(|error| (1, error.to_string()))
    })
}
