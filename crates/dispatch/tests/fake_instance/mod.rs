//! Fake instance. The n-th connection that it accepts follows the n-th script, which has one action for each
//! request on that connection. The received requests and their connections are recorded.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use dispatch::{DispatchOrder, DispatchOutcome, Dispatcher, HttpDialect};
use hyper::header::HeaderName;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use wire::{HeaderField, RequestHead};

/// Reaction to a request; `{id}` in a response is replaced by the request's id.
#[derive(Clone)]
pub enum Action {
    Answer(String),
    /// Answers and then closes the connection.
    AnswerAndClose(String),
    /// Sends a late copy of the response to an earlier request, then the response to this one.
    LateCopyThenAnswer(String, String),
    Close,
    NoAnswer,
}

#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    pub connection: usize,
    pub text: String,
}

pub struct FakeInstance {
    pub address: String,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Notified each time a connection has ended.
    pub connection_ended: Rc<Notify>,
}

pub fn answer(text: &str) -> Action {
    Action::Answer(with_crlf(text))
}

pub fn answer_and_close(text: &str) -> Action {
    Action::AnswerAndClose(with_crlf(text))
}

pub fn late_copy_then_answer(copy: &str, text: &str) -> Action {
    Action::LateCopyThenAnswer(with_crlf(copy), with_crlf(text))
}

pub fn with_crlf(text: &str) -> String {
    text.replace('\n', "\r\n")
}

pub fn dialect() -> HttpDialect {
    let name = |name: &'static str| Some(HeaderName::from_static(name));
    HttpDialect {
        request_id: name("x-id"),
        deadline: name("x-left"),
        pinned_instance: name("x-for"),
        not_run: name("x-not-run"),
        ..HttpDialect::default()
    }
}

impl FakeInstance {
    pub async fn start(scripts: Vec<Vec<Action>>) -> FakeInstance {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let instance = FakeInstance { address, received: Rc::default(), connection_ended: Rc::default() };
        let (received, ended) = (instance.received.clone(), instance.connection_ended.clone());
        spawn_local(async move {
            for (number, script) in scripts.into_iter().enumerate() {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (received, ended) = (received.clone(), ended.clone());
                spawn_local(async move {
                    run_script(stream, number, script, &received).await;
                    ended.notify_one();
                });
            }
        });
        instance
    }

    pub fn order(&self, id: &str) -> DispatchOrder {
        let header =
            |name: &str, value: &str| HeaderField { name: name.into(), value: value.as_bytes().to_vec().into() };
        let headers = vec![header("host", "callers.example"), header("x-id", id), header("x-left", "99999")];
        let head = RequestHead { method: "POST".into(), target: "/f?a=b".into(), headers: headers.into() };
        DispatchOrder {
            number: 1,
            instance_id: "i-1".into(),
            address: self.address.clone(),
            head: wire::to_bytes(&head),
            body: b"work".to_vec().into(),
            time_left: Duration::from_secs(20),
            max_connections: 4,
        }
    }

    pub fn request_connections(&self) -> Vec<usize> {
        self.received.borrow().iter().map(|request| request.connection).collect()
    }
}

async fn run_script(
    mut stream: TcpStream,
    connection: usize,
    script: Vec<Action>,
    received: &RefCell<Vec<ReceivedRequest>>,
) {
    for action in script {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"work") {
            if !matches!(stream.read_buf(&mut bytes).await, Ok(count) if count > 0) {
                return;
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or_default().to_owned();
        received.borrow_mut().push(ReceivedRequest { connection, text });
        match action {
            Action::Answer(text) => drop(stream.write_all(text.replace("{id}", &id).as_bytes()).await),
            Action::AnswerAndClose(text) => return drop(stream.write_all(text.replace("{id}", &id).as_bytes()).await),
            Action::LateCopyThenAnswer(copy, text) => {
                drop(stream.write_all(copy.as_bytes()).await);
                drop(stream.write_all(text.replace("{id}", &id).as_bytes()).await)
            }
            Action::Close => return,
            Action::NoAnswer => break,
        }
    }
    // Waits until the other side closes the connection.
    let _ = stream.read(&mut [0u8; 1]).await;
}

pub fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

pub fn status(outcome: &DispatchOutcome) -> u16 {
    match outcome {
        DispatchOutcome::Complete { status, .. } => *status,
        _ => 0,
    }
}

pub fn dispatcher() -> Dispatcher {
    Dispatcher::new(dialect())
}
