//! Tests of parsing a tool's command line.

use config::{ToolArgument, ToolLine};

fn parse(arguments: &str) -> Result<Vec<ToolArgument>, String> {
    let mut tool_line = ToolLine::new(config::lexopt::Parser::from_args(arguments.split_whitespace()), &["quick"]);
    let mut read = Vec::new();
    while let Some(argument) = tool_line.next_argument()? {
        read.push(argument);
    }
    Ok(read)
}

fn option(name: &str, value: &str) -> ToolArgument {
    ToolArgument::Option { name: name.into(), value: value.into() }
}

#[test]
fn a_command_switches_and_options_are_read_in_any_order() {
    let expected = vec![option("seed", "7"), ToolArgument::Command("load".into()), ToolArgument::Switch("quick")];
    assert_eq!(parse("--seed 7 load --quick"), Ok(expected));
    assert_eq!(parse("--seed=-1"), Ok(vec![option("seed", "-1")]));
    assert_eq!(parse("-h --version"), Ok(vec![ToolArgument::Help, ToolArgument::Version]));
}

#[test]
fn a_second_command_and_an_option_without_its_value_are_refused() {
    assert!(parse("load again").unwrap_err().ends_with("see --help"));
    assert!(parse("load -x").unwrap_err().ends_with("see --help"));
    assert!(parse("load --seed").unwrap_err().contains("--seed"));
}
