//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod first_start;
mod keep_alive;
mod late_refusal;

use crate::Record;
use crate::deployment::Deployment;
use crate::http;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests without an answer above which clients send more slowly.
const MOST_WAITING: u64 = 200;

pub fn play(case: &str, record: &Arc<Record>, trouble: bool) -> i32 {
    match case {
        "keep-alive" => keep_alive::play(record, trouble),
        "late-refusal" => late_refusal::play(record, trouble),
        "first-start" => first_start::play(record, trouble),
        _ => 2,
    }
}

/// What clients sent and what they were answered.
pub struct Clients {
    deployment: Arc<Deployment>,
    record: Arc<Record>,
    sent: AtomicU64,
    /// Status of the answer to each request; 0 where none came.
    pub answers: Mutex<BTreeMap<String, u16>>,
    waiting: AtomicU64,
}

impl Clients {
    pub fn new(deployment: &Arc<Deployment>, record: &Arc<Record>) -> Arc<Clients> {
        Arc::new(Clients {
            deployment: deployment.clone(),
            record: record.clone(),
            sent: AtomicU64::new(0),
            answers: Mutex::default(),
            waiting: AtomicU64::new(0),
        })
    }

    /// Sends a request without waiting for its answer.
    pub fn send(self: &Arc<Clients>, machine: usize, method: &str, service: &str, work_ms: u64) {
        self.send_line(machine, format!("{method} /{service}/x?work={work_ms} HTTP/1.1"));
    }

    fn send_line(self: &Arc<Clients>, machine: usize, line: String) {
        let id = format!("q{}", self.sent.fetch_add(1, Ordering::SeqCst) + 1);
        let clients = self.clone();
        while self.waiting.load(Ordering::SeqCst) > MOST_WAITING {
            thread::sleep(Duration::from_millis(5));
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            clients.record.line(&format!("client sends {id} to machine {machine}: {line}"));
            let headers = [("Host", "review.example"), ("Request-Id", id.as_str()), ("Request-Deadline", "4000")];
            let front = clients.deployment.front(machine);
            let answer = http::call(&front, &line, &headers, b"", Duration::from_millis(4500));
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            match answer {
                Ok(_) => clients.record.line(&format!("client got {status} for {id}")),
                Err(error) => clients.record.line(&format!("client got no answer for {id}: {error}")),
            }
            clients.answers.lock().unwrap().insert(id, status);
            clients.waiting.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Waits for all answers.
    pub fn finish(&self) {
        while self.waiting.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn counts(&self) -> String {
        let mut counts = BTreeMap::new();
        self.answers.lock().unwrap().values().for_each(|status| *counts.entry(*status).or_insert(0u32) += 1);
        let parts: Vec<String> = counts.iter().map(|(status, count)| format!("{status}: {count}")).collect();
        parts.join(", ")
    }
}
