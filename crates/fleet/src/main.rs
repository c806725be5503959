//! `fleet`: a whole deployment on one machine, for trying and proving it: the platform's stand-in,
//! three registries, the routers, the configuration applied; then, if asked, load and faults on a
//! timetable and the checker's outcome. It starts processes, which the product's own never do.

mod command_line;
mod configure;
mod deployment;
mod faults;
mod folder;
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
