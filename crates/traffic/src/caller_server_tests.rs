//! What the door makes of requests, and of replies, in either dialect.

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

fn server(words: HttpDialect) -> (CallerServer, Inbox<TrafficMessage>, watch::Sender<CallerLimits>) {
    let (traffic, taken) = inbox(8);
    let (bounds, limits) = watch::channel(limits());
    (CallerServer { traffic, words: Arc::new(words), limits }, taken, bounds)
}

/// Asks, with the reply that the traffic thread would give; what it was asked, and the answer.
fn exchange(words: HttpDialect, request: Request, reply: Reply) -> (Option<Call>, Response) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (server, mut taken, _bounds) = server(words);
        let service = TowerToHyperService::new(router(server));
        let serve = async {
            match taken.next().await {
                Some(TrafficMessage::Task { call, reply: tell }) => {
                    let _ = tell.send(reply);
                    Some(call)
                }
                _ => None,
            }
        };
        let asked = service.call(request);
        drop(service);
        let (call, response) = tokio::join!(serve, asked);
        (call, response.expect("the door answers"))
    })
}

fn request(headers: &[(&'static str, &'static str)], body: &str) -> Request {
    let mut request = Request::builder().method("POST").uri("/a/b?c=d");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Body::from(body.to_owned())).expect("a request")
}

fn done() -> Reply {
    Reply { body: b"done".to_vec(), ..Reply::own(200, Some(Outcome::Answered), "") }
}

fn names(call: &Call) -> Vec<&str> {
    call.head.headers.iter().map(|line| line.name.as_str()).collect()
}

#[test]
fn a_call_has_its_host_its_time_and_the_headers_that_are_not_the_hops() {
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
    let (call, response) = exchange(another_dialect(), request(&headers, "work"), done());
    let call = call.expect("it is let in");
    assert_eq!(
        (call.host.as_str(), call.path.as_str(), call.head.target.as_str()),
        ("A.example:80", "/a/b", "/a/b?c=d")
    );
    let left = call.deadline.expect("told");
    assert!(left <= Duration::from_millis(4000) && left > Duration::from_millis(1000), "{left:?}");
    assert_eq!(names(&call), ["host", "x-id", "x-own", "idempotency-key"]);
    assert_eq!((call.key, call.body), (None, b"work".to_vec()));
    assert!(response.headers().get("heronlink-outcome").is_none());
}

#[test]
fn in_its_own_dialect_a_key_is_read_and_the_outcome_reported() {
    let (call, response) = exchange(HttpDialect::default(), request(&[("idempotency-key", "k")], ""), done());
    assert_eq!(call.and_then(|call| call.key).as_deref(), Some("k"));
    assert_eq!(response.headers()["heronlink-outcome"], "answered");
}

#[test]
fn an_answer_kept_from_an_earlier_request_bears_the_id_of_this_one() {
    let line = wire::HeaderField { name: "x-id".into(), value: b"first".to_vec().into() };
    let head = wire::to_bytes(&AnswerHead { headers: vec![line].into() });
    let kept = Reply { head, ..done() };
    let (_, response) = exchange(another_dialect(), request(&[("x-id", "second")], ""), kept);
    assert_eq!(text(response.headers(), "x-id"), "second");
}

#[test_case(HttpDialect::default() => true; "where the state of a task can be asked")]
#[test_case(another_dialect() => false; "where it cannot")]
fn an_answer_is_put_off_as_preferred(words: HttpDialect) -> bool {
    let (call, _) = exchange(words, request(&[("prefer", "respond-async")], ""), done());
    call.expect("it is let in").respond_async
}

#[test]
fn a_body_beyond_bounds_is_refused_and_ends_the_connection() {
    let (call, response) = exchange(another_dialect(), request(&[], &"x".repeat(65)), done());
    assert!(call.is_none());
    assert_eq!(
        (response.status().as_u16(), &response.headers()["connection"]),
        (413, &HeaderValue::from_static("close"))
    );
}

#[test_case(true, 340 => "0.340"; "in fractions")]
#[test_case(false, 340 => "1"; "in whole seconds")]
#[test_case(false, 1001 => "2"; "never too early")]
#[test_case(true, 0 => "0.050"; "never at once")]
fn a_refusal_tells_when_to_come_back(fractions: bool, ms: u64) -> String {
    let reply = Reply::own(503, Some(Outcome::NotRun), "full").again(Duration::from_millis(ms));
    let (_, response) =
        exchange(HttpDialect { fractional_retry_after: fractions, ..another_dialect() }, request(&[], ""), reply);
    text(response.headers(), "retry-after")
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

#[test]
fn declared_bounds_narrow_the_settings_and_are_told_to_callers() {
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
