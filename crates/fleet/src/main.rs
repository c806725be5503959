//! `fleet`: runs a whole deployment on one machine, to try and test it: the platform emulator, three
//! registries and the routers, with the configuration applied; then, if requested, load, scheduled faults and
//! the result of the checker. It starts processes, which the programs of the product never do.

mod command_line;
mod configure;
mod deployment;
mod faults;
mod folder;
mod planned_stops;
mod ports;
mod process_monitor;
mod processes;
mod prove;
mod relay;
mod resources;
mod route_changes;
mod smoke;
mod smoke_views;
mod soak_schedule;
mod startup;
mod timeline;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = match command_line::parse(lexopt::Parser::from_env()) {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fleet: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("fleet: {error}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, prove::run(options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("fleet: {error}");
            ExitCode::FAILURE
        }
    }
}
