//! `registry`: the control plane's program, one on each machine with a disk.

use control::{ControlDialect, RegistryEnv};
use std::process::ExitCode;

const ABOUT: &str = "keeps heronlink's shared state: configuration, holds, the run-once ledger, stored tasks";

fn main() -> ExitCode {
    env::program("registry", ABOUT, env!("CARGO_PKG_VERSION"), |settings: RegistryEnv, reread| {
        events::setup(&settings.log_level, &settings.log_file)
            .map_err(|fault| (2, format!("setting log_file = {}: {fault}", settings.log_file)))?;
        control::run(settings, ControlDialect { reread: Some(reread), ..ControlDialect::default() })
            .map_err(|fault| (1, fault.to_string()))
    })
}
