//! `loadgen`: the load generator and its checker. `loadgen load` sends a seeded open-loop load and
//! records every attempt; `loadgen replay` sends what an HTTP archive holds; `loadgen check` holds that record against what the instances say they
//! ran and names each broken rule.

mod attempt;
mod check;
mod errors;
mod fresh;
mod line;
mod load;
mod mix;
mod replay;
mod rules;
mod spans;
mod tally;

use std::process::ExitCode;

fn main() -> ExitCode {
    match line::parse(lexopt::Parser::from_env()) {
        Ok(line::Order::Help) => {
            println!("{}", line::HELP);
            ExitCode::SUCCESS
        }
        Ok(line::Order::Version) => {
            println!("loadgen {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(line::Order::Load(order)) => end(load::run(order)),
        Ok(line::Order::Replay(order)) => end(replay::run(&order)),
        Ok(line::Order::Check(order)) => end(check::run(&order)),
        Err(told) => {
            eprintln!("loadgen: {told}");
            ExitCode::from(2)
        }
    }
}

fn end(result: Result<bool, errors::WorkError>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("loadgen: {error}");
            ExitCode::from(if matches!(error, errors::WorkError::Replay(_)) { 2 } else { 1 })
        }
    }
}
