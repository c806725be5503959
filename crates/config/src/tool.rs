//! Parses the command line of a tool: one command, switches and options with a value, in any order.

use lexopt::prelude::*;

/// One argument of a tool's command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToolArgument {
    /// `-h` or `--help`.
    Help,
    /// `-V` or `--version`.
    Version,
    /// The command; at most one is accepted.
    Command(String),
    /// An option without a value, by its name.
    Switch(&'static str),
    /// An option with its value.
    Option {
        /// The option's name, without the dashes.
        name: String,
        /// The option's value.
        value: String,
    },
}

/// Parser of a tool's command line, one argument at a time.
pub struct ToolLine {
    parser: lexopt::Parser,
    switches: &'static [&'static str],
    has_command: bool,
}

impl ToolLine {
    /// Creates a parser that accepts only `switches` as options without a value.
    pub fn new(parser: lexopt::Parser, switches: &'static [&'static str]) -> ToolLine {
        ToolLine { parser, switches, has_command: false }
    }

    /// Returns the next argument, or `None` at the end. The error is a message for the user of the tool.
    pub fn next_argument(&mut self) -> Result<Option<ToolArgument>, String> {
        let Some(argument) = self.parser.next().map_err(|error| error.to_string())? else { return Ok(None) };
        let name = match argument {
            Short('h') | Long("help") => return Ok(Some(ToolArgument::Help)),
            Short('V') | Long("version") => return Ok(Some(ToolArgument::Version)),
            Value(argument) if !self.has_command => {
                self.has_command = true;
                return Ok(Some(ToolArgument::Command(argument.to_string_lossy().into_owned())));
            }
            Long(name) => name.to_owned(),
            other => return Err(format!("{}; see --help", other.unexpected())),
        };
        if let Some(switch) = self.switches.iter().find(|switch| **switch == name) {
            return Ok(Some(ToolArgument::Switch(switch)));
        }
        let value = self.parser.value().and_then(|value| value.string()).map_err(|error| error.to_string())?;
        Ok(Some(ToolArgument::Option { name, value }))
    }
}
