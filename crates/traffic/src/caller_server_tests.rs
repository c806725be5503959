//! Conversion of HTTP requests to calls and of replies to HTTP responses, with the default dialect and with another one.

use super::*;
use axum::http::{HeaderMap, HeaderName};
use http_server::ServerLimits;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;
use kernel::{Inbox, inbox};
use test_case::test_case;

fn limits() -> CallerLimits {
    let time = Duration::from_secs(20);
    let server =
        ServerLimits { connections: 8, head_bytes: 16 * 1024, headers: 64, head_time: time, life: time, grace: time };
    CallerLimits { server, body_bytes: 64, body_time: time, keep_alive: None }
}

fn another_dialect() -> HttpDialect {
    let name = |word: &'static str| Some(HeaderName::from_static(word));
    HttpDialect {
        request_id: name("x-id"),
        deadline: name("x-left"),
        pinned_instance: name("x-for"),
        not_run: name("x-not-run"),
        outcome: None,
        idempotency_key: None,
        api_key: name("x-api-key"),
        consumer: name("x-consumer"),
        format_consumer_name: str::to_owned,
        task_path: None,
        fractional_retry_after: true,
    }
}

fn server(dialect: HttpDialect) -> (CallerServer, Inbox<TrafficMessage>, watch::Sender<CallerLimits>) {
    let (traffic, inbox) = inbox(8);
    let (bounds, limits) = watch::channel(limits());
    let (memory, shortages) = (RequestMemory::default(), http_server::shortages().0);
    (CallerServer { traffic, dialect: Arc::new(dialect), limits, memory, shortages }, inbox, bounds)
}

/// Sends a request, with `reply` as the answer of the traffic thread. Returns the call that the traffic thread got, and the
/// response.
fn exchange(dialect: HttpDialect, request: Request, reply: Reply) -> (Option<Call>, Response) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (server, mut inbox, _bounds) = server(dialect);
        let service = TowerToHyperService::new(router(server));
        let serve = async {
            match inbox.next().await {
                Some(TrafficMessage::Task { call, reply: reply_sender, .. }) => {
                    let _ = reply_sender.send(reply);
                    Some(call)
                }
                _ => None,
            }
        };
        let response = service.call(request);
        drop(service);
        let (call, response) = tokio::join!(serve, response);
        (call, response.expect("the server responds"))
    })
}

fn request(headers: &[(&'static str, &'static str)], body: &str) -> Request {
    let mut request = Request::builder().method("POST").uri("/a/b?c=d");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Body::from(body.to_owned())).expect("a request")
}

fn completed_reply() -> Reply {
    Reply { body: Bytes::from_static(b"done"), ..Reply::from_router(200, Some(Outcome::Answered), "") }
}

fn names(call: &Call) -> Vec<&str> {
    call.head.headers.iter().map(|line| line.name.as_str()).collect()
}

#[test]
fn a_call_has_the_host_the_deadline_and_the_end_to_end_headers() {
    let headers = [
        ("host", "A.example:80"),
        ("x-id", "9c"),
        ("x-left", "4000"),
        ("x-for", "i-1"),
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("idempotency-key", "not a key here"),
    ];
    let (call, response) = exchange(another_dialect(), request(&headers, "work"), completed_reply());
    let call = call.expect("the request is accepted");
    assert_eq!(
        (call.host.as_str(), call.path.as_str(), call.head.target.as_str()),
        ("A.example:80", "/a/b", "/a/b?c=d")
    );
    let left = call.deadline.expect("the call has a deadline");
    assert!(left <= Duration::from_millis(4000) && left > Duration::from_millis(1000), "{left:?}");
    assert_eq!(names(&call), ["host", "x-id", "x-own", "idempotency-key"]);
    assert_eq!((call.key, call.body), (None, Bytes::from_static(b"work")));
    assert!(response.headers().get("heronlink-outcome").is_none());
}

#[test]
fn the_default_dialect_reads_the_idempotency_key_and_reports_the_outcome() {
    let (call, response) =
        exchange(HttpDialect::default(), request(&[("idempotency-key", "k")], ""), completed_reply());
    assert_eq!(call.and_then(|call| call.key).as_deref(), Some("k"));
    assert_eq!(response.headers()["heronlink-outcome"], "answered");
}

#[test]
fn an_answer_recorded_for_an_earlier_request_has_the_id_of_this_one() {
    let line = wire::HeaderField { name: "x-id".into(), value: b"first".to_vec().into() };
    let head = wire::to_bytes(&AnswerHead { headers: vec![line].into() });
    let recorded = Reply { head, ..completed_reply() };
    let (_, response) = exchange(another_dialect(), request(&[("x-id", "second")], ""), recorded);
    assert_eq!(text(response.headers(), "x-id"), "second");
}

#[test_case(HttpDialect::default() => true; "with a task path")]
#[test_case(another_dialect() => false; "without a task path")]
fn respond_async_is_honoured_if_the_dialect_has_a_task_path(dialect: HttpDialect) -> bool {
    let (call, _) = exchange(dialect, request(&[("prefer", "respond-async")], ""), completed_reply());
    call.expect("the request is accepted").respond_async
}

#[test]
fn a_body_over_the_limit_is_refused_and_closes_the_connection() {
    let (call, response) = exchange(another_dialect(), request(&[], &"x".repeat(65)), completed_reply());
    assert!(call.is_none());
    assert_eq!(
        (response.status().as_u16(), &response.headers()["connection"]),
        (413, &HeaderValue::from_static("close"))
    );
}

#[test_case(true, 340 => "0.340"; "in fractions of a second")]
#[test_case(false, 340 => "1"; "in whole seconds")]
#[test_case(false, 1001 => "2"; "rounded up")]
#[test_case(true, 0 => "0.050"; "at least 50 ms")]
fn a_refusal_has_a_retry_after_header(fractions: bool, ms: u64) -> String {
    let reply = Reply::from_router(503, Some(Outcome::NotRun), "full").with_retry_after(Duration::from_millis(ms));
    let (_, response) =
        exchange(HttpDialect { fractional_retry_after: fractions, ..another_dialect() }, request(&[], ""), reply);
    text(response.headers(), "retry-after")
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

#[test]
fn declared_bounds_tighten_the_settings_and_are_announced_to_callers() {
    let bounds = bindings::CallerBounds {
        head_bytes: 12_000,
        body_bytes: 1_000_000,
        head_ms: 3000,
        idle_ms: 15_000,
        ..bindings::CallerBounds::default()
    };
    let within = limits().within(Some(&bounds));
    assert_eq!((within.server.head_bytes, within.body_bytes, within.server.head_time.as_secs()), (12_000, 64, 15));
    assert_eq!(within.keep_alive, Some(HeaderValue::from_static("timeout=14")));
    assert_eq!(limits().within(None).server.head_bytes, 16 * 1024);
}
