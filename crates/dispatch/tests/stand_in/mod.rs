//! An instance that stands in: for each connection it takes, in turn, a script of what to do with
//! each request that comes on it. What it was asked, and on which connection, is kept.

#![allow(dead_code, reason = "each test file uses a part of it")]

use dispatch::{DispatchOrder, DispatchOutcome, Dispatcher, Words};
use hyper::header::HeaderName;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use wire::{HeaderField, RequestHead};

/// What to do with a request; `{id}` stands for the id it came with.
#[derive(Clone)]
pub enum Act {
    Answer(String),
    /// Answers, and then closes.
    Last(String),
    Close,
    Silence,
}

#[derive(Clone, Debug, Default)]
pub struct Asked {
    pub connection: usize,
    pub text: String,
}

pub struct StandIn {
    pub address: String,
    pub asked: Rc<RefCell<Vec<Asked>>>,
    /// Told each time a connection has ended.
    pub ended: Rc<Notify>,
}

pub fn answer(words: &str) -> Act {
    Act::Answer(http(words))
}

pub fn last(words: &str) -> Act {
    Act::Last(http(words))
}

pub fn http(words: &str) -> String {
    words.replace('\n', "\r\n")
}

pub fn words() -> Words {
    let name = |word: &'static str| Some(HeaderName::from_static(word));
    Words {
        request_id: name("x-id"),
        deadline: name("x-left"),
        pinned: name("x-for"),
        not_run: name("x-not-run"),
        ..Words::default()
    }
}

impl StandIn {
    pub async fn start(scripts: Vec<Vec<Act>>) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let stand_in = StandIn { address, asked: Rc::default(), ended: Rc::default() };
        let (asked, ended) = (stand_in.asked.clone(), stand_in.ended.clone());
        spawn_local(async move {
            for (number, script) in scripts.into_iter().enumerate() {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (asked, ended) = (asked.clone(), ended.clone());
                spawn_local(async move {
                    play(stream, number, script, &asked).await;
                    ended.notify_one();
                });
            }
        });
        stand_in
    }

    pub fn order(&self, id: &str) -> DispatchOrder {
        let header =
            |name: &str, value: &str| HeaderField { name: name.into(), value: value.as_bytes().to_vec().into() };
        let headers = vec![header("host", "callers.example"), header("x-id", id), header("x-left", "99999")];
        let head = RequestHead { method: "POST".into(), target: "/f?a=b".into(), headers: headers.into() };
        DispatchOrder {
            number: 1,
            instance: "i-1".into(),
            address: self.address.clone(),
            head: wire::to_bytes(&head),
            body: b"work".to_vec(),
            limit: Duration::from_secs(20),
            connections: 4,
        }
    }

    pub fn asked_on(&self) -> Vec<usize> {
        self.asked.borrow().iter().map(|asked| asked.connection).collect()
    }
}

async fn play(mut stream: TcpStream, connection: usize, script: Vec<Act>, asked: &RefCell<Vec<Asked>>) {
    for act in script {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"work") {
            if !matches!(stream.read_buf(&mut bytes).await, Ok(count) if count > 0) {
                return;
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or_default().to_owned();
        asked.borrow_mut().push(Asked { connection, text });
        match act {
            Act::Answer(words) => drop(stream.write_all(words.replace("{id}", &id).as_bytes()).await),
            Act::Last(words) => return drop(stream.write_all(words.replace("{id}", &id).as_bytes()).await),
            Act::Close => return,
            Act::Silence => break,
        }
    }
    // Until the other side closes.
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
    Dispatcher::new(words())
}
