//! Open-loop load: tasks are sent on a schedule from the seed, regardless of the outcome of earlier ones. Each
//! attempt is recorded with its own label, which the instance echoes and records.

use crate::attempt::{AttemptSpec, HttpClient, build_client, send_attempt};
use crate::errors::{ToolError, file_error};
use crate::mix::{self, Route};
use crate::tally::{self, Attempt};
use rand::{RngExt, SeedableRng};
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::sleep_until;

/// Maximum number of unfinished tasks; the load fails beyond it.
const MAX_OPEN_TASKS: usize = 20_000;

/// A period in which the rate of one service is multiplied.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub start_s: f64,
    pub duration_s: f64,
    pub factor: f64,
    pub service: String,
}

/// Options of `loadgen load`, as in its help.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    pub targets: Vec<String>,
    pub configuration: PathBuf,
    pub services: PathBuf,
    pub out: PathBuf,
    pub seconds: f64,
    pub factor: f64,
    pub seed: u64,
    pub repeat: f64,
    pub eager: f64,
    pub crowds: Vec<Crowd>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        LoadOptions {
            targets: Vec::new(),
            configuration: PathBuf::new(),
            services: PathBuf::new(),
            out: "tasks.jsonl".into(),
            seconds: 60.0,
            factor: 1.0,
            seed: 1,
            repeat: 0.05,
            eager: 0.2,
            crowds: Vec::new(),
        }
    }
}

/// Sends the load, writes the record and prints a summary.
pub fn run(options: LoadOptions) -> Result<bool, ToolError> {
    let routes = mix::load(&options.configuration, &options.services, options.factor)?;
    let file = std::fs::File::create(&options.out).map_err(file_error(&options.out))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ToolError::Runtime)?;
    let attempts = LocalSet::new().block_on(&runtime, send_load(options, routes, file))?;
    println!("{}", tally::summary(&attempts));
    Ok(true)
}

async fn send_load(options: LoadOptions, routes: Vec<Route>, file: std::fs::File) -> Result<Vec<Attempt>, ToolError> {
    let http: HttpClient = build_client();
    let (sender, mut inbox) = mpsc::channel::<Attempt>(65_536);
    let writer = spawn_local(async move {
        let mut file = BufWriter::new(file);
        let mut all = Vec::new();
        while let Some(attempt) = inbox.recv().await {
            if let Ok(line) = serde_json::to_string(&attempt) {
                let _ = writeln!(file, "{line}");
            }
            all.push(attempt);
        }
        let _ = file.flush();
        all
    });
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(options.seed);
    let started = Instant::now();
    let (mut at, mut number) = (0.0, 0u64);
    let mut open = JoinSet::new();
    loop {
        let (wait, index) = mix::next_task(&mut rng, &routes, &options.crowds, at);
        at += wait;
        if at >= options.seconds {
            break;
        }
        number += 1;
        let route = routes[index].clone();
        let first = rng.random_range(0..options.targets.len());
        let second = rng.random_range(0..options.targets.len());
        let targets = [options.targets[first].clone(), options.targets[second].clone()];
        let task = format!("s{}-{number}", options.seed);
        let repeats = route.class == "once" && rng.random_bool(options.repeat);
        let retries_at_once = rng.random_bool(options.eager);
        sleep_until((started + Duration::from_secs_f64(at)).into()).await;
        while open.try_join_next().is_some() {}
        if open.len() >= MAX_OPEN_TASKS {
            return Err(ToolError::TooManyOpen(MAX_OPEN_TASKS));
        }
        open.spawn_local(run_caller(http.clone(), route, task, targets, repeats, retries_at_once, sender.clone()));
    }
    while open.join_next().await.is_some() {}
    drop(sender);
    writer.await.map_err(ToolError::TaskFailed)
}

async fn run_caller(
    http: HttpClient,
    route: Route,
    task: String,
    targets: [String; 2],
    repeats: bool,
    retries_at_once: bool,
    record: mpsc::Sender<Attempt>,
) {
    if repeats {
        let first_attempt = send_attempt(&http, attempt_spec(&route, &task, 1, &targets[0]));
        let second_attempt = send_attempt(&http, attempt_spec(&route, &task, 2, &targets[1]));
        let (first_attempt, second_attempt) = tokio::join!(first_attempt, second_attempt);
        let _ = record.send(first_attempt).await;
        let _ = record.send(second_attempt).await;
        return;
    }
    let tries = if retries_at_once { 3 } else { 1 };
    for number in 1..=tries {
        let done = send_attempt(&http, attempt_spec(&route, &task, number, &targets[number as usize % 2])).await;
        let is_final = done.status > 0 && done.status < 500;
        let _ = record.send(done).await;
        if is_final {
            return;
        }
    }
}

fn attempt_spec<'a>(route: &'a Route, task: &'a str, number: u32, target: &'a str) -> AttemptSpec<'a> {
    let keyed = (route.class != "ordinary").then(|| ("idempotency-key".to_owned(), task.to_owned()));
    AttemptSpec {
        method: "POST",
        path: &route.path,
        headers: keyed.into_iter().collect(),
        body: format!("{{\"task\":\"{task}\"}}"),
        class: &route.class,
        service: &route.service,
        task,
        number,
        target,
    }
}
