//! The command line that all daemons share: `--env FILE`, `--check`, `--help`, `--version`, and a flag for each
//! setting. Parsing only returns what to run or print; the `run_program` functions print it and return an exit code.

use crate::{SettingError, Settings, Source};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::process::ExitCode;

/// Result of parsing the command line.
enum ParsedLine<S> {
    Run(S),
    Print { text: String, exit_code: u8 },
}

/// Reads the settings again from the same sources, with their current values.
pub type Reread<S> = Box<dyn Fn() -> Result<S, String>>;

/// Implements the `main` function of a daemon: reads its settings, then prints what a flag such as `--help`
/// asks for, or calls `work` and waits for it. An error of `work` carries the exit code.
pub fn run_program<S: Settings + 'static>(
    name: &'static str,
    about: &'static str,
    version: &'static str,
    work: impl FnOnce(S, Reread<S>) -> Result<(), (u8, String)>,
) -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    run_program_with_defaults(name, about, version, || Ok(Vec::new()), arguments, work)
}

/// Same as [`run_program`], with defaults from another source, such as a configuration of another format; the
/// settings file and the flags take precedence over them.
pub fn run_program_with_defaults<S: Settings + 'static>(
    name: &'static str,
    about: &'static str,
    version: &'static str,
    defaults: impl Fn() -> Result<Vec<(String, String)>, String> + 'static,
    arguments: Vec<OsString>,
    work: impl FnOnce(S, Reread<S>) -> Result<(), (u8, String)>,
) -> ExitCode {
    let read = move || parse::<S>(name, about, version, defaults()?, lexopt::Parser::from_args(arguments.clone()));
    match read() {
        Ok(ParsedLine::Run(settings)) => {
            let reread = move || match read()? {
                ParsedLine::Run(settings) => Ok(settings),
                ParsedLine::Print { text, .. } => Err(text),
            };
            match work(settings, Box::new(reread)) {
                Ok(()) => ExitCode::SUCCESS,
                Err((code, error)) => {
                    eprintln!("{name}: {error}");
                    ExitCode::from(code)
                }
            }
        }
        Ok(ParsedLine::Print { text, exit_code: 0 }) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(ParsedLine::Print { text, exit_code }) => {
            eprintln!("{text}");
            ExitCode::from(exit_code)
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse<S: Settings>(
    program: &str,
    about: &str,
    version: &str,
    defaults: Vec<(String, String)>,
    mut arguments: lexopt::Parser,
) -> Result<ParsedLine<S>, String> {
    let names: Vec<&str> = S::help().iter().map(|(name, ..)| *name).collect();
    let mut file = String::new();
    let mut flags = Vec::new();
    let mut check_only = false;
    while let Some(arg) = arguments.next().map_err(|error| error.to_string())? {
        match arg {
            Short('h') | Long("help") => {
                return Ok(ParsedLine::Print { text: help_text::<S>(program, about), exit_code: 0 });
            }
            Short('V') | Long("version") => {
                return Ok(ParsedLine::Print { text: format!("{program} {version}"), exit_code: 0 });
            }
            Long("check") => check_only = true,
            Short('e') | Long("env") => {
                let path = arguments.value().map_err(|error| error.to_string())?;
                file = std::fs::read_to_string(&path)
                    .map_err(|error| format!("settings file {}: {error}", path.display()))?;
            }
            Long(flag) => {
                let name = flag.replace('-', "_");
                if !names.contains(&name.as_str()) {
                    return Err(format!("no flag --{flag}; see --help"));
                }
                let value = arguments.value().and_then(|v| v.string()).map_err(|error| error.to_string())?;
                flags.push((name, value));
            }
            other => return Err(other.unexpected().to_string()),
        }
    }
    let settings = Source::new(&file, flags)
        .map(|source| source.with_defaults(defaults))
        .and_then(|source| S::read(&source))
        .map_err(|error: SettingError| error.to_string())?;
    if check_only {
        let lines: Vec<String> = settings.values().iter().map(|(name, value)| format_setting(name, value)).collect();
        return Ok(ParsedLine::Print { text: format!("settings are in order\n{}", lines.join("\n")), exit_code: 0 });
    }
    Ok(ParsedLine::Run(settings))
}

fn help_text<S: Settings>(program: &str, about: &str) -> String {
    let mut text = format!(
        "{program}: {about}\n\nUsage: {program} [--env FILE] [--check] [--SETTING VALUE ...]\n\n\
         -e, --env FILE   read settings from a TOML file; flags take precedence\n\
         --check          check the settings and exit\n\
         -h, --help       print this help\n-V, --version    print the version\n\nSettings (in flag names, '_' becomes '-'):\n"
    );
    for (name, default, about) in S::help() {
        let default = if default.is_empty() { String::new() } else { format!(" [{default}]") };
        text.push_str(&format!("  --{}{default}\n        {about}\n", name.replace('_', "-")));
    }
    text
}

fn format_setting(name: &str, value: &str) -> String {
    match name {
        "tokens" => format!("{name} = ({} given, not shown)", value.split(',').filter(|w| !w.is_empty()).count()),
        _ => format!("{name} = {value}"),
    }
}
