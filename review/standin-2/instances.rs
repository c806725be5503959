//! The instances of the platform's stand-in: how a request is run or turned away.

use crate::http::{self, Connection, Message};
use crate::platform::{Platform, Run};
use std::io;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the instances do beside the usual.
pub type Behaviour = dyn Fn(&Platform, &Instance, &mut Exchange) -> io::Result<Next> + Send + Sync;

/// How the handling of a request goes on after the behaviour of the case.
pub enum Next {
    /// As a sound instance does.
    Usual,
    /// It was answered; the connection stays open or not.
    Done(bool),
}

/// One request at an instance.
pub struct Exchange<'a> {
    pub connection: &'a mut Connection,
    pub request: &'a Message,
    /// When the connection was accepted.
    pub accepted: Instant,
    /// Bytes that the case still wants to send on this connection.
    pub owed: &'a mut Option<Vec<u8>>,
}

pub struct Instance {
    pub id: String,
    pub number: u64,
    pub service: String,
    pub worker: String,
    pub address: String,
    pub ready: AtomicBool,
    pub stopped: AtomicBool,
    pub running: AtomicUsize,
    /// Answers sent.
    pub answers: AtomicU64,
    /// When connections were accepted lately.
    pub accepted: Mutex<Vec<Instant>>,
}

impl Platform {
    /// Serves one connection to an instance.
    pub fn serve_requests(&self, instance: &Instance, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        let mut connection = Connection::new(stream);
        let accepted = Instant::now();
        instance.accepted.lock().unwrap().push(accepted);
        let mut owed = None;
        while let Some(request) = connection.read()? {
            let exchange = &mut Exchange { connection: &mut connection, request: &request, accepted, owed: &mut owed };
            let goes_on = match (self.behaviour())(self, instance, exchange)? {
                Next::Done(goes_on) => goes_on,
                Next::Usual => self.run_or_turn_away(instance, exchange, 0, &[])?,
            };
            if !goes_on {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles a request as a sound instance does. `held` slots are taken by something else.
    pub fn run_or_turn_away(
        &self,
        instance: &Instance,
        exchange: &mut Exchange,
        held: usize,
        more_headers: &[(&str, &str)],
    ) -> io::Result<bool> {
        let request = exchange.request;
        let target = request.header("Target-Instance");
        if !target.is_empty() && target != instance.id {
            let answer = encode_answer(request, "421 Misdirected", &[("Not-Executed", "1")], b"");
            return io::Write::write_all(&mut exchange.connection.stream, &answer).map(|()| true);
        }
        let slots = self.function(&instance.service).map_or(1, |function| function.slots);
        if instance.running.fetch_add(1, Ordering::SeqCst) + held >= slots {
            instance.running.fetch_sub(1, Ordering::SeqCst);
            self.note_turned_away(instance, request);
            let answer = encode_answer(request, "503 Full", &[("Not-Executed", "1")], b"");
            return io::Write::write_all(&mut exchange.connection.stream, &answer).map(|()| true);
        }
        self.run(instance, request);
        instance.running.fetch_sub(1, Ordering::SeqCst);
        let seal = format!("seal-{}-{}", instance.id, request.header("Request-Id"));
        let headers = [&[("Instance-Seal", seal.as_str())], more_headers].concat();
        let body = format!("ran {}", request.header("Request-Id"));
        let answer = encode_answer(request, "200 OK", &headers, body.as_bytes());
        instance.answers.fetch_add(1, Ordering::Relaxed);
        io::Write::write_all(&mut exchange.connection.stream, &answer)?;
        Ok(!more_headers.contains(&("Connection", "close")))
    }

    /// Number of other connections that are younger than this.
    pub fn count_new_connections(instance: &Instance, exchange: &Exchange, age: Duration) -> usize {
        let mut accepted = instance.accepted.lock().unwrap();
        accepted.retain(|at| at.elapsed() < age);
        accepted.iter().filter(|at| **at != exchange.accepted).count()
    }

    pub fn note_turned_away(&self, instance: &Instance, request: &Message) {
        let request_id = request.header("Request-Id").to_owned();
        self.record.line(&format!("instance {} turned away {request_id}", instance.id));
        instance.answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Works on a request for as long as its query says.
    pub fn run(&self, instance: &Instance, request: &Message) {
        let request_id = request.header("Request-Id").to_owned();
        self.record.line(&format!("instance {} runs {request_id}", instance.id));
        self.runs.lock().unwrap().push(Run { request_id });
        thread::sleep(Duration::from_millis(request.number("work").unwrap_or(50)));
    }
}

pub fn encode_answer(request: &Message, status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let headers = [&[("Request-Id", request.header("Request-Id"))], headers].concat();
    http::encode(&format!("HTTP/1.1 {status}"), &headers, body)
}
