//! Replay of an HTTP archive: its requests are sent to the routers at the recorded pace or a multiple of it. A
//! library parses the archive. Host, connection and cookie headers of the recorded site are not sent.

use crate::attempt::{AttemptSpec, HttpClient, build_client, send_attempt};
use crate::errors::{ToolError, file_error};
use crate::tally::{self, Attempt};
use derive_more::{Display, Error};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep_until;

/// Maximum number of requests in an archive.
const MAX_REQUESTS: usize = 100_000;
/// Headers that are not replayed.
const SKIPPED_HEADERS: [&str; 8] =
    ["host", "connection", "content-length", "transfer-encoding", "cookie", "te", "upgrade", "keep-alive"];

/// Reason why an archive cannot be replayed.
#[derive(Debug, Display, Error)]
pub enum ReplayError {
    #[display("{}: not a whole HTTP archive: {reason}", path.display())]
    Unreadable { path: PathBuf, reason: String },
    #[display("{}: contains no requests", path.display())]
    Empty { path: PathBuf },
    #[display("{}: more than {MAX_REQUESTS} requests", path.display())]
    TooMany { path: PathBuf },
    #[display("request {number}: {reason}")]
    Request { number: usize, reason: String },
}

/// Options of `loadgen replay`, as in its help.
#[derive(Clone, Debug, Default)]
pub struct ReplayOptions {
    pub har: PathBuf,
    pub targets: Vec<String>,
    pub out: PathBuf,
    pub speed: f64,
}

/// A request of the archive.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Time since the first request.
    pub offset: Duration,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

/// Reads the requests of an archive, sorted by time.
pub fn read(path: &Path) -> Result<Vec<RecordedRequest>, ReplayError> {
    let unreadable = |reason: String| ReplayError::Unreadable { path: path.to_owned(), reason };
    let archive = har::from_path(path).map_err(|error| unreadable(error.to_string()))?;
    let content = serde_json::to_value(&archive).map_err(|error| unreadable(error.to_string()))?;
    let entries = content["log"]["entries"].as_array().map(Vec::as_slice).unwrap_or_default();
    if entries.is_empty() {
        return Err(ReplayError::Empty { path: path.to_owned() });
    }
    if entries.len() > MAX_REQUESTS {
        return Err(ReplayError::TooMany { path: path.to_owned() });
    }
    let mut list = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let invalid = |reason: String| ReplayError::Request { number: index + 1, reason };
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let at: jiff::Timestamp =
            text(&entry["startedDateTime"]).parse().map_err(|error: jiff::Error| invalid(error.to_string()))?;
        let url: hyper::Uri = text(&entry["request"]["url"])
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| invalid(error.to_string()))?;
        let headers = entry["request"]["headers"].as_array().into_iter().flatten();
        let headers = headers.map(|line| (text(&line["name"]).to_lowercase(), text(&line["value"])));
        let headers =
            headers.filter(|(name, _)| !name.starts_with(':') && !SKIPPED_HEADERS.contains(&name.as_str())).collect();
        let request = RecordedRequest {
            offset: Duration::ZERO,
            method: text(&entry["request"]["method"]),
            path: url.path_and_query().map_or("/".to_owned(), |path| path.as_str().to_owned()),
            headers,
            body: text(&entry["request"]["postData"]["text"]),
        };
        list.push((at, request));
    }
    list.sort_by_key(|(at, _)| *at);
    let first = list[0].0;
    let since = |at: jiff::Timestamp| at.duration_since(first).unsigned_abs();
    Ok(list.into_iter().map(|(at, request)| RecordedRequest { offset: since(at), ..request }).collect())
}

/// Replays the archive, writes the record and prints a summary.
pub fn run(options: &ReplayOptions) -> Result<bool, ToolError> {
    let list = read(&options.har)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ToolError::Runtime)?;
    let attempts = LocalSet::new().block_on(&runtime, send_requests(options, list));
    let lines: String = attempts.iter().filter_map(|a| serde_json::to_string(a).ok()).map(|line| line + "\n").collect();
    std::fs::write(&options.out, lines).map_err(file_error(&options.out))?;
    println!("{}", tally::summary(&attempts));
    Ok(true)
}

async fn send_requests(options: &ReplayOptions, list: Vec<RecordedRequest>) -> Vec<Attempt> {
    let http: HttpClient = build_client();
    let started = Instant::now();
    let mut open = JoinSet::new();
    for (number, request) in list.into_iter().enumerate() {
        sleep_until((started + request.offset.div_f64(options.speed)).into()).await;
        let (http, target) = (http.clone(), options.targets[number % options.targets.len()].clone());
        open.spawn_local(async move {
            let task = format!("har-{}", number + 1);
            let spec = AttemptSpec {
                method: &request.method,
                path: &request.path,
                headers: request.headers.clone(),
                body: request.body.clone(),
                class: "replayed",
                service: "",
                task: &task,
                number: 1,
                target: &target,
            };
            send_attempt(&http, spec).await
        });
    }
    open.join_all().await
}

#[cfg(test)]
mod tests {
    use super::*;

    fn archive(name: &str, text: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("loadgen-{name}-{}.har", std::process::id()));
        std::fs::write(&path, text).unwrap();
        path
    }

    fn entry(at: &str, path: &str) -> String {
        format!(
            r#"{{"startedDateTime":"{at}","time":1,"request":{{"method":"POST","url":"https://example.test{path}","httpVersion":"HTTP/1.1","cookies":[],"headers":[{{"name":"Host","value":"example.test"}},{{"name":"Idempotency-Key","value":"k"}}],"queryString":[],"postData":{{"mimeType":"text/plain","text":"gives 3"}},"headersSize":-1,"bodySize":7}},"response":{{"status":200,"statusText":"OK","httpVersion":"HTTP/1.1","cookies":[],"headers":[],"content":{{"size":0,"mimeType":"text/plain"}},"redirectURL":"","headersSize":-1,"bodySize":0}},"cache":{{}},"timings":{{"send":0,"wait":1,"receive":0}}}}"#
        )
    }

    fn content(entries: &[String]) -> String {
        let creator = r#""version":"1.2","creator":{"name":"x","version":"1"}"#;
        format!(r#"{{"log":{{{creator},"entries":[{}]}}}}"#, entries.join(","))
    }

    #[test]
    fn requests_are_sorted_by_time_and_keep_paths_and_headers() {
        let entries = [entry("2026-01-02T10:00:01.500+01:00", "/b?x=1"), entry("2026-01-02T09:00:00Z", "/a")];
        let path = archive("good", &content(&entries));
        let list = read(&path).unwrap();
        assert_eq!(
            list.iter().map(|t| (t.offset.as_millis(), t.path.as_str())).collect::<Vec<_>>(),
            [(0, "/a"), (1500, "/b?x=1")]
        );
        assert_eq!((list[0].method.as_str(), list[0].body.as_str()), ("POST", "gives 3"));
        assert_eq!(list[0].headers, [("idempotency-key".to_owned(), "k".to_owned())]);
        let _ = std::fs::remove_file(path);
    }

    #[test]
    fn truncated_empty_or_invalid_archive_is_refused_with_one_line() {
        let text = content(&[entry("2026-01-02T09:00:00Z", "/a")]);
        let cut = archive("cut", &text[..text.len() / 2]);
        assert!(matches!(read(&cut), Err(ReplayError::Unreadable { .. })));
        let empty = archive("empty", &content(&[]));
        assert!(matches!(read(&empty), Err(ReplayError::Empty { .. })));
        let invalid = archive("odd", &content(&[entry("yesterday", "/a")]));
        let reason = read(&invalid).unwrap_err().to_string();
        assert!(reason.starts_with("request 1: ") && !reason.contains('\n'), "{reason}");
        [cut, empty, invalid].iter().for_each(|path| _ = std::fs::remove_file(path));
    }
}
