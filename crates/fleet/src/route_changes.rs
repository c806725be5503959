//! Switches one route from function to function while the load runs, so that the instance that runs a task shows
//! which revision was followed. Each change goes to another registry. Every third is a race of two changes on the
//! same revision, after which the winner is read back. Requests and answers are recorded.

use crate::deployment::Deployment;
use crate::processes::{Node, OPERATOR_TOKEN};
use hyper::Method;
use operator_client::{Answer, Call, send_call};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const FUNCTION_COUNT: usize = 12;
/// Tasks per second on the probe route.
const RATE: f64 = 12.0;
const CALL_TIMEOUT: Duration = Duration::from_secs(14);

fn service(number: usize) -> String {
    format!("probe/turn-{}", number % FUNCTION_COUNT)
}

fn binding(route: String, number: usize, min: u32) -> Value {
    json!({
        "route": route, "function": format!("turn-{}", number % FUNCTION_COUNT), "class": "ordinary",
        "instance_limit": 4, "memory_mb": 64, "min": min, "max": 3,
    })
}

/// Adds the probe route to the deployment, and for each function that it switches to a route of its own, so that
/// no function is idle.
pub fn add_probe_route(deployment: &Deployment, folder: &Path) -> Result<Deployment, String> {
    let read = |path: &Path| -> Result<Value, String> {
        let raw = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
        serde_json::from_slice(&raw).map_err(|error| format!("{}: {error}", path.display()))
    };
    let (mut configuration, mut services) = (read(&deployment.configuration)?, read(&deployment.services)?);
    configuration["function-bindings"]["probe/turn"] = binding("/probe/turn".into(), 0, 1);
    for number in 0..FUNCTION_COUNT {
        let name = format!("probe/keep-{number}");
        configuration["function-bindings"][name] = binding(format!("/probe/keep-{number}"), number, 1);
        let rate = if number == 0 { RATE } else { 0.0 };
        services[service(number)] = json!({"limit": 4, "rate": rate, "start_ms": 900, "work_ms": 30});
    }
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let write = |name: &str, value: &Value| -> Result<PathBuf, String> {
        let path = folder.join(name);
        std::fs::write(&path, value.to_string()).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(path)
    };
    let (configuration, services) = (write("configuration.json", &configuration)?, write("services.json", &services)?);
    Ok(Deployment { configuration, services, ..deployment.clone() })
}

/// Periodically changes the probe route and records each change.
pub struct RouteChanger {
    pub registries: Vec<Node>,
    pub interval: Duration,
    pub records: RefCell<Vec<Value>>,
    pub until: Instant,
}

impl RouteChanger {
    /// Changes the route at each interval until the end time.
    pub async fn run(self: Rc<Self>) {
        let mut number = 0;
        while Instant::now() + self.interval < self.until {
            sleep(self.interval).await;
            number += 1;
            let base = self.revision(number).await;
            match base {
                Some(base) if number.is_multiple_of(3) => {
                    let one = self.change_route(number, number, Some(base));
                    let two = self.change_route(number + 1, number + 1, Some(base));
                    let answers = tokio::join!(one, two);
                    number += 1;
                    self.read_back(number, answers).await;
                }
                base => drop(self.change_route(number, number, base.filter(|_| number % 3 == 1)).await),
            }
        }
    }

    fn call(&self, at: usize, method: Method, path: &str) -> Call {
        let address = self.registries[at % self.registries.len()].client_address.clone();
        Call {
            method,
            address,
            path: path.into(),
            token: OPERATOR_TOKEN.into(),
            timeout: CALL_TIMEOUT,
            ..Call::default()
        }
    }

    async fn revision(&self, at: usize) -> Option<u64> {
        let call = Call { timeout: Duration::from_secs(2), ..self.call(at, Method::GET, "/v1/headcount-plans") };
        send_call(&call).await.ok().filter(|answer| answer.status == 200)?.revision
    }

    /// Requests one change and records the answer; a change without an answer may still come into force.
    async fn change_route(&self, at: usize, number: usize, base: Option<u64>) -> Option<Answer> {
        let binding = binding("/probe/turn".into(), number, 1);
        let body = json!({"name": "turn", "set": {"function-bindings/probe/turn": binding}}).to_string().into_bytes();
        let tag = base.map_or("*".to_owned(), |base| base.to_string());
        let call = Call { if_match: Some(tag), body, ..self.call(at, Method::PATCH, "/v1/configuration") };
        let asked = unix_time_ms();
        let answer = send_call(&call).await.ok();
        let (status, revision) = answer.as_ref().map_or((0, None), |answer| (answer.status, answer.revision));
        self.records.borrow_mut().push(json!({
            "asked": asked, "told": unix_time_ms(), "status": status, "revision": revision.unwrap_or(0),
            "base": base.unwrap_or(0), "service": service(number),
        }));
        answer
    }

    /// Reads the route back after a race and marks a refused change that nevertheless is in force.
    async fn read_back(&self, number: usize, answers: (Option<Answer>, Option<Answer>)) {
        let call = self.call(number + 1, Method::GET, "/v1/function-bindings/probe/turn");
        let Ok(answer) = send_call(&call).await else { return };
        let read: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        for (number, answer) in [(number - 1, answers.0), (number, answers.1)] {
            let refused = answer.is_some_and(|answer| answer.status == 412);
            let function = service(number);
            if refused && read["function"].as_str() == function.strip_prefix("probe/") {
                let mut records = self.records.borrow_mut();
                if let Some(line) = records.iter_mut().rev().find(|line| line["service"] == function.as_str()) {
                    line["read"] = true.into();
                }
            }
        }
    }

    /// Writes the records as JSON lines.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let records: String = self.records.borrow().iter().map(|line| format!("{line}\n")).collect();
        std::fs::write(path, records).map_err(|error| format!("{}: {error}", path.display()))
    }
}

#[expect(clippy::disallowed_types, reason = "records of several processes are compared by wall-clock time")]
/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    use std::time::{SystemTime, UNIX_EPOCH};
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
