//! The open loop: tasks leave on the seed's schedule whatever became of the ones before. Each
//! attempt is recorded with its own label, which the instance echoes and records.

use crate::attempt::{AttemptSpec, Http, attempt, client};
use crate::errors::{WorkError, at};
use crate::mix::{self, Route};
use crate::tally::{self, Attempt};
use rand::{RngExt, SeedableRng};
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::sleep_until;

const AT_ONCE: usize = 20_000;

#[derive(Clone, Debug)]
pub struct Crowd {
    pub at: f64,
    pub lasts: f64,
    pub times: f64,
    pub service: String,
}

#[derive(Clone, Debug)]
pub struct LoadOrder {
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

impl Default for LoadOrder {
    fn default() -> Self {
        LoadOrder {
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

pub fn run(order: LoadOrder) -> Result<bool, WorkError> {
    let routes = mix::load(&order.configuration, &order.services, order.factor)?;
    let file = std::fs::File::create(&order.out).map_err(at(&order.out))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(WorkError::Runtime)?;
    let attempts = LocalSet::new().block_on(&runtime, drive(order, routes, file))?;
    println!("{}", tally::summary(&attempts));
    Ok(true)
}

async fn drive(order: LoadOrder, routes: Vec<Route>, file: std::fs::File) -> Result<Vec<Attempt>, WorkError> {
    let http: Http = client();
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
    let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(order.seed);
    let begun = Instant::now();
    let (mut at, mut number) = (0.0, 0u64);
    let mut open = JoinSet::new();
    loop {
        let (wait, place) = mix::next(&mut dice, &routes, &order.crowds, at);
        at += wait;
        if at >= order.seconds {
            break;
        }
        number += 1;
        let route = routes[place].clone();
        let first = dice.random_range(0..order.targets.len());
        let again = dice.random_range(0..order.targets.len());
        let targets = [order.targets[first].clone(), order.targets[again].clone()];
        let task = format!("s{}-{number}", order.seed);
        let repeats = route.class == "once" && dice.random_bool(order.repeat);
        let eager = dice.random_bool(order.eager);
        sleep_until((begun + Duration::from_secs_f64(at)).into()).await;
        while open.try_join_next().is_some() {}
        if open.len() >= AT_ONCE {
            return Err(WorkError::TooMany(AT_ONCE));
        }
        open.spawn_local(caller(http.clone(), route, task, targets, repeats, eager, sender.clone()));
    }
    while open.join_next().await.is_some() {}
    drop(sender);
    writer.await.map_err(WorkError::Broken)
}

async fn caller(
    http: Http,
    route: Route,
    task: String,
    targets: [String; 2],
    repeats: bool,
    eager: bool,
    record: mpsc::Sender<Attempt>,
) {
    if repeats {
        let one = attempt(&http, asked(&route, &task, 1, &targets[0]));
        let two = attempt(&http, asked(&route, &task, 2, &targets[1]));
        let (one, two) = tokio::join!(one, two);
        let _ = record.send(one).await;
        let _ = record.send(two).await;
        return;
    }
    let tries = if eager { 3 } else { 1 };
    for number in 1..=tries {
        let done = attempt(&http, asked(&route, &task, number, &targets[number as usize % 2])).await;
        let settled = done.status > 0 && done.status < 500;
        let _ = record.send(done).await;
        if settled {
            return;
        }
    }
}

fn asked<'a>(route: &'a Route, task: &'a str, number: u32, target: &'a str) -> AttemptSpec<'a> {
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
