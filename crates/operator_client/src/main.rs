//! `operator_client`: the operators' client.

use hyper::Method;
use lexopt::prelude::*;
use operator_client::{Call, Declared, differences, document, read, resources, send_call, watch};
use serde_json::Value;
use std::fmt::Display;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "heronlinkctl: operators' client

Usage: heronlinkctl [--api ADDRESS] [--token TOKEN | --token-file FILE] [--if-match REVISION|*]
             [--operation ID] [--dry-run] COMMAND

  get [KIND[/TENANT/NAME]]   the configuration, or a part of it
  apply FILE|FOLDER          replace the whole configuration by a file, or by a folder of files
  diff FILE|FOLDER           what apply would change; exit code 0 nothing, 1 something
  patch FILE                 a named patch: {\"name\", \"set\": {..}, \"remove\": [..]}
  set KIND/TENANT/NAME FILE  one resource
  remove KIND/TENANT/NAME    one resource
  operation ID               what became of a change
  status                     one node's view (a registry's API or a router's operations port)
  view KIND[/TENANT/NAME]    a kind as one node holds it: declared, tuned, played
  watch KIND[/TENANT/NAME]   the same, live, one line a change; --from MARK goes on from there
  watch                      one node's whole view, live
  metrics                    one node's metrics

--api and --token may stand in HERON_API and HERON_TOKEN. --dry-run has the server check a change
whole and say what it would come to. Without --if-match, apply, patch, set and
remove read the revision first and change that one. Exit codes: 0 done, 1 refused, 2 wrong use,
3 outcome not known (ask again with the same --operation), 4 not reached.";

/// How long a call may take; a change is answered once every router holds it.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// How a command ends, as scripts read it; the help tells the same.
mod exit_code {
    pub const DONE: u8 = 0;
    /// The server refused, or `diff` found differences.
    pub const REFUSED: u8 = 1;
    pub const WRONG_USE: u8 = 2;
    pub const OUTCOME_NOT_KNOWN: u8 = 3;
    pub const NOT_REACHED: u8 = 4;
}

/// Why a command has no answer to show.
struct Failure {
    exit_code: u8,
    message: String,
}

fn wrong_use(message: impl Display) -> Failure {
    Failure { exit_code: exit_code::WRONG_USE, message: message.to_string() }
}

fn not_reached(message: impl Display) -> Failure {
    Failure { exit_code: exit_code::NOT_REACHED, message: message.to_string() }
}

struct Line {
    api: String,
    token: String,
    if_match: Option<String>,
    operation: Option<String>,
    dry_run: bool,
    from: Option<String>,
    words: Vec<String>,
}

fn parse() -> Result<Option<Line>, String> {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let mut found = Line {
        api: variable("HERON_API"),
        token: variable("HERON_TOKEN"),
        if_match: None,
        operation: None,
        dry_run: false,
        from: None,
        words: Vec::new(),
    };
    let mut line = lexopt::Parser::from_env();
    while let Some(arg) = line.next().map_err(|error| error.to_string())? {
        match arg {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("heronlinkctl {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(word) => found.words.push(word.string().map_err(|error| error.to_string())?),
            Long("dry-run") => found.dry_run = true,
            Long(name) => {
                let name = name.to_owned();
                let value = line.value().and_then(|v| v.string()).map_err(|error| error.to_string())?;
                match name.as_str() {
                    "api" => found.api = value,
                    "token" => found.token = value,
                    "token-file" => {
                        let text = std::fs::read_to_string(&value).map_err(|error| format!("{value}: {error}"))?;
                        found.token = text.trim().to_owned();
                    }
                    "from" => found.from = Some(value),
                    "if-match" => found.if_match = Some(value),
                    "operation" => found.operation = Some(value),
                    _ => return Err(format!("no flag --{name}; see --help")),
                }
            }
            other => return Err(other.unexpected().to_string()),
        }
    }
    if found.api.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("--api {}: allowed is an IP number with a port", found.api));
    }
    Ok(Some(found))
}

fn main() -> ExitCode {
    let line = match parse() {
        Ok(Some(line)) => line,
        Ok(None) => return ExitCode::SUCCESS,
        Err(told) => {
            eprintln!("heronlinkctl: {told}");
            return ExitCode::from(exit_code::WRONG_USE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heronlinkctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(carry_out(line)) {
        Ok(code) => ExitCode::from(code),
        Err(failure) => {
            eprintln!("heronlinkctl: {}", failure.message);
            ExitCode::from(failure.exit_code)
        }
    }
}

/// The exit code of a command that was answered.
type Ended = Result<u8, Failure>;

async fn carry_out(line: Line) -> Ended {
    let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
    let call = |method: Method, path: String, body: Vec<u8>| Call {
        method,
        path,
        body,
        address: line.api.clone(),
        token: line.token.clone(),
        limit: CALL_LIMIT,
        ..Call::default()
    };
    let file = |path: &str| std::fs::read(path).map_err(|error| wrong_use(format!("{path}: {error}")));
    match words[..] {
        ["get"] => show(call(Method::GET, "/v1/configuration".into(), Vec::new())).await,
        ["get", part] => show(call(Method::GET, format!("/v1/{part}"), Vec::new())).await,
        ["operation", id] => show(call(Method::GET, format!("/v1/operations/{id}"), Vec::new())).await,
        ["status"] => show(call(Method::GET, "/v1/status".into(), Vec::new())).await,
        ["metrics"] => show(call(Method::GET, "/metrics".into(), Vec::new())).await,
        ["watch"] => {
            let call = call(Method::GET, "/v1/watch".into(), Vec::new());
            watched(&call).await
        }
        ["apply", path] => {
            let declared = read(Path::new(path)).map_err(wrong_use)?;
            let body = document(&declared).to_string().into_bytes();
            change(&line, call(Method::PUT, "/v1/configuration".into(), body)).await
        }
        ["diff", path] => {
            let wanted = read(Path::new(path)).map_err(wrong_use)?;
            diff(call(Method::GET, "/v1/configuration".into(), Vec::new()), &wanted).await
        }
        ["view", part] => show(call(Method::GET, format!("/v1/view/{part}"), Vec::new())).await,
        ["watch", part] => {
            let from = line.from.as_ref().map(|mark| format!("?from={mark}")).unwrap_or_default();
            let call = call(Method::GET, format!("/v1/watch/{part}{from}"), Vec::new());
            watched(&call).await
        }
        ["patch", path] => change(&line, call(Method::PATCH, "/v1/configuration".into(), file(path)?)).await,
        ["set", name, path] => change(&line, call(Method::PUT, format!("/v1/{name}"), file(path)?)).await,
        ["remove", name] => change(&line, call(Method::DELETE, format!("/v1/{name}"), Vec::new())).await,
        _ => Err(wrong_use("say a command; see --help")),
    }
}

async fn change(line: &Line, mut call: Call) -> Ended {
    if line.dry_run {
        call.path.push_str("?dry-run=true");
    }
    call.operation = line.operation.clone();
    call.if_match = match &line.if_match {
        Some(tag) => Some(tag.clone()),
        None => {
            let read = Call { method: Method::GET, path: "/v1/configuration".into(), body: Vec::new(), ..call.clone() };
            let known = send_call(&read).await.map_err(not_reached)?;
            Some(known.revision.map_or("0".into(), |revision| revision.to_string()))
        }
    };
    show(call).await
}

async fn watched(call: &Call) -> Ended {
    let good = watch(call).await.map_err(not_reached)?;
    Ok(if good { exit_code::DONE } else { exit_code::REFUSED })
}

/// What applying the files would change, one line each.
async fn diff(call: Call, wanted: &Declared) -> Ended {
    let answer = send_call(&call).await.map_err(not_reached)?;
    let now: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status != 200 {
        return Err(not_reached(format!("the configuration cannot be read: {} {now}", answer.status)));
    }
    let lines = differences(&resources(&now), wanted);
    let page: String = lines.iter().map(|line| format!("{line}\n")).collect();
    std::io::stdout().write_all(page.as_bytes()).map_err(|error| not_reached(format!("cannot print: {error}")))?;
    Ok(if lines.is_empty() { exit_code::DONE } else { exit_code::REFUSED })
}

async fn show(call: Call) -> Ended {
    let answer = send_call(&call).await.map_err(not_reached)?;
    let page = match serde_json::from_slice::<Value>(&answer.body) {
        Ok(value) => format!("{value:#}\n"),
        Err(_) => format!("{}\n", String::from_utf8_lossy(&answer.body)),
    };
    std::io::stdout().write_all(page.as_bytes()).map_err(|error| not_reached(format!("cannot print: {error}")))?;
    Ok(match answer.status {
        200..=299 => exit_code::DONE,
        504 => exit_code::OUTCOME_NOT_KNOWN,
        _ => exit_code::REFUSED,
    })
}
