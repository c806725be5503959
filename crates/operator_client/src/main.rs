//! `heronlinkctl`: the operators' command line client.

use hyper::Method;
use lexopt::prelude::*;
use operator_client::{
    Call, Declarations, differences, from_document, read_declarations, send_call, to_document, watch,
};
use serde_json::Value;
use std::fmt::Display;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "heronlinkctl: operators' command line client

Usage: heronlinkctl [--api ADDRESS] [--token TOKEN | --token-file FILE] [--if-match REVISION|*]
             [--operation ID] [--dry-run] COMMAND

  get [KIND[/TENANT/NAME]]   the configuration, or a part of it
  apply FILE|FOLDER          replace the whole configuration by a file or a folder of files
  diff FILE|FOLDER           what apply would change; exit code 0 nothing, 1 something
  patch FILE                 apply a named patch: {\"name\", \"set\": {..}, \"remove\": [..]}
  set KIND/TENANT/NAME FILE  create or replace one resource
  remove KIND/TENANT/NAME    remove one resource
  operation ID               outcome of a change
  status                     status of a node (a registry's API or a router's operations port)
  view KIND[/TENANT/NAME]    a kind as a node holds it: declared, tuned, played
  watch KIND[/TENANT/NAME]   the same, live, one line per change; --from MARK resumes there
  watch                      whole view of a node, live
  metrics                    metrics of a node

--api and --token default to HERON_API and HERON_TOKEN. With --dry-run the server checks a change
completely and returns its result without applying it. Without --if-match, apply, patch, set and
remove read the current revision first and are based on it. Exit codes: 0 done, 1 refused,
2 usage error, 3 outcome unknown (repeat with the same --operation), 4 unreachable.";

/// Timeout of a call; a change is answered only when every router holds it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Exit codes for scripts, as listed in the help.
mod exit_code {
    pub const DONE: u8 = 0;
    /// The server refused, or `diff` found differences.
    pub const REFUSED: u8 = 1;
    /// The command line or a file is invalid.
    pub const USAGE_ERROR: u8 = 2;
    /// A change may or may not take effect.
    pub const OUTCOME_UNKNOWN: u8 = 3;
    pub const UNREACHABLE: u8 = 4;
}

/// Reason why a command has no answer to show.
struct Failure {
    exit_code: u8,
    message: String,
}

fn usage_error(message: impl Display) -> Failure {
    Failure { exit_code: exit_code::USAGE_ERROR, message: message.to_string() }
}

fn unreachable_error(message: impl Display) -> Failure {
    Failure { exit_code: exit_code::UNREACHABLE, message: message.to_string() }
}

/// Parsed command line.
struct Options {
    api: String,
    token: String,
    if_match: Option<String>,
    operation: Option<String>,
    dry_run: bool,
    from: Option<String>,
    words: Vec<String>,
}

fn parse() -> Result<Option<Options>, String> {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let mut options = Options {
        api: variable("HERON_API"),
        token: variable("HERON_TOKEN"),
        if_match: None,
        operation: None,
        dry_run: false,
        from: None,
        words: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|error| error.to_string())? {
        match arg {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("heronlinkctl {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(word) => options.words.push(word.string().map_err(|error| error.to_string())?),
            Long("dry-run") => options.dry_run = true,
            Long(name) => {
                let name = name.to_owned();
                let value = parser.value().and_then(|v| v.string()).map_err(|error| error.to_string())?;
                match name.as_str() {
                    "api" => options.api = value,
                    "token" => options.token = value,
                    "token-file" => {
                        let text = std::fs::read_to_string(&value).map_err(|error| format!("{value}: {error}"))?;
                        options.token = text.trim().to_owned();
                    }
                    "from" => options.from = Some(value),
                    "if-match" => options.if_match = Some(value),
                    "operation" => options.operation = Some(value),
                    _ => return Err(format!("unknown flag --{name}; see --help")),
                }
            }
            other => return Err(other.unexpected().to_string()),
        }
    }
    if options.api.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("--api {}: expected an IP address with a port", options.api));
    }
    Ok(Some(options))
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heronlinkctl: {error}");
            return ExitCode::from(exit_code::USAGE_ERROR);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heronlinkctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_command(options)) {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            eprintln!("heronlinkctl: {}", failure.message);
            ExitCode::from(failure.exit_code)
        }
    }
}

/// Exit code of a command that was answered, or the reason why it was not.
type CommandResult = Result<u8, Failure>;

async fn run_command(options: Options) -> CommandResult {
    let words: Vec<&str> = options.words.iter().map(String::as_str).collect();
    let call = |method: Method, path: String, body: Vec<u8>| Call {
        method,
        path,
        body,
        address: options.api.clone(),
        token: options.token.clone(),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    };
    let file = |path: &str| std::fs::read(path).map_err(|error| usage_error(format!("{path}: {error}")));
    match words[..] {
        ["get"] => show(call(Method::GET, "/v1/configuration".into(), Vec::new())).await,
        ["get", part] => show(call(Method::GET, format!("/v1/{part}"), Vec::new())).await,
        ["operation", id] => show(call(Method::GET, format!("/v1/operations/{id}"), Vec::new())).await,
        ["status"] => show(call(Method::GET, "/v1/status".into(), Vec::new())).await,
        ["metrics"] => show(call(Method::GET, "/metrics".into(), Vec::new())).await,
        ["watch"] => {
            let call = call(Method::GET, "/v1/watch".into(), Vec::new());
            run_watch(&call).await
        }
        ["apply", path] => {
            let declarations = read_declarations(Path::new(path)).map_err(usage_error)?;
            let body = to_document(&declarations).to_string().into_bytes();
            change(&options, call(Method::PUT, "/v1/configuration".into(), body)).await
        }
        ["diff", path] => {
            let declarations = read_declarations(Path::new(path)).map_err(usage_error)?;
            diff(call(Method::GET, "/v1/configuration".into(), Vec::new()), &declarations).await
        }
        ["view", part] => show(call(Method::GET, format!("/v1/view/{part}"), Vec::new())).await,
        ["watch", part] => {
            let from = options.from.as_ref().map(|mark| format!("?from={mark}")).unwrap_or_default();
            let call = call(Method::GET, format!("/v1/watch/{part}{from}"), Vec::new());
            run_watch(&call).await
        }
        ["patch", path] => change(&options, call(Method::PATCH, "/v1/configuration".into(), file(path)?)).await,
        ["set", name, path] => change(&options, call(Method::PUT, format!("/v1/{name}"), file(path)?)).await,
        ["remove", name] => change(&options, call(Method::DELETE, format!("/v1/{name}"), Vec::new())).await,
        _ => Err(usage_error("expected a command; see --help")),
    }
}

async fn change(options: &Options, mut call: Call) -> CommandResult {
    if options.dry_run {
        call.path.push_str("?dry-run=true");
    }
    call.operation = options.operation.clone();
    call.if_match = match &options.if_match {
        Some(tag) => Some(tag.clone()),
        None => {
            let read_call =
                Call { method: Method::GET, path: "/v1/configuration".into(), body: Vec::new(), ..call.clone() };
            let known = send_call(&read_call).await.map_err(unreachable_error)?;
            Some(known.revision.map_or("0".into(), |revision| revision.to_string()))
        }
    };
    show(call).await
}

async fn run_watch(call: &Call) -> CommandResult {
    let is_success = watch(call).await.map_err(unreachable_error)?;
    Ok(if is_success { exit_code::DONE } else { exit_code::REFUSED })
}

/// Prints what applying the files would change, one line each.
async fn diff(call: Call, declarations: &Declarations) -> CommandResult {
    let answer = send_call(&call).await.map_err(unreachable_error)?;
    let now: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status != 200 {
        return Err(unreachable_error(format!("the configuration cannot be read: {} {now}", answer.status)));
    }
    let lines = differences(&from_document(&now), declarations);
    let page: String = lines.iter().map(|line| format!("{line}\n")).collect();
    std::io::stdout()
        .write_all(page.as_bytes())
        .map_err(|error| unreachable_error(format!("cannot print: {error}")))?;
    Ok(if lines.is_empty() { exit_code::DONE } else { exit_code::REFUSED })
}

async fn show(call: Call) -> CommandResult {
    let answer = send_call(&call).await.map_err(unreachable_error)?;
    let page = match serde_json::from_slice::<Value>(&answer.body) {
        Ok(value) => format!("{value:#}\n"),
        Err(_) => format!("{}\n", String::from_utf8_lossy(&answer.body)),
    };
    std::io::stdout()
        .write_all(page.as_bytes())
        .map_err(|error| unreachable_error(format!("cannot print: {error}")))?;
    Ok(match answer.status {
        200..=299 => exit_code::DONE,
        504 => exit_code::OUTCOME_UNKNOWN,
        _ => exit_code::REFUSED,
    })
}
