//! `loadgen`: the load generator and its checker. `loadgen load` sends a seeded open-loop load and records every
//! attempt; `loadgen replay` sends the requests of an HTTP archive; `loadgen check` compares that record with the
//! instances' record of the tasks they ran and prints each violated rule.

mod attempt;
mod check;
mod command_line;
mod errors;
mod freshness;
mod load;
mod mix;
mod replay;
mod rules;
mod spans;
mod tally;

use std::process::ExitCode;

fn main() -> ExitCode {
    match command_line::parse(lexopt::Parser::from_env()) {
        Ok(command_line::Command::Help) => {
            println!("{}", command_line::HELP);
            ExitCode::SUCCESS
        }
        Ok(command_line::Command::Version) => {
            println!("loadgen {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(command_line::Command::Load(options)) => exit_code(load::run(options)),
        Ok(command_line::Command::Replay(options)) => exit_code(replay::run(&options)),
        Ok(command_line::Command::Check(options)) => exit_code(check::run(&options)),
        Err(error) => {
            eprintln!("loadgen: {error}");
            ExitCode::from(2)
        }
    }
}

fn exit_code(result: Result<bool, errors::ToolError>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("loadgen: {error}");
            ExitCode::from(if matches!(error, errors::ToolError::Replay(_)) { 2 } else { 1 })
        }
    }
}
