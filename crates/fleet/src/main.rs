//! `fleet`: a whole deployment on one machine, for trying and proving it: the platform's stand-in,
//! three registries, the routers, the configuration applied; then, if asked, load and faults on a
//! timetable and the checker's outcome. It starts processes, which the product's own never do.

mod bring_up;
mod deployment;
mod drawing;
mod faults;
mod folder;
mod line;
mod ports;
mod processes;
mod prove;
mod relay;
mod resources;
mod smoke;
mod smoke_views;
mod soak_schedule;
mod timeline;
mod turns;
mod watch;

use std::process::ExitCode;

fn main() -> ExitCode {
    let order = match line::parse(lexopt::Parser::from_env()) {
        Ok(Some(order)) => order,
        Ok(None) => return ExitCode::SUCCESS,
        Err(told) => {
            eprintln!("fleet: {told}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("fleet: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, prove::run(order)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(told) => {
            eprintln!("fleet: {told}");
            ExitCode::FAILURE
        }
    }
}
