//! The mix of tasks: time and route of the next task, from the rates of the services and the crowds.

use crate::errors::{ToolError, file_error};
use crate::load::Crowd;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

/// A route, its service and its rate in tasks per second.
#[derive(Clone, Debug)]
pub struct Route {
    pub service: String,
    pub path: String,
    pub class: String,
    pub rate: f64,
}

#[derive(Deserialize)]
struct Binding {
    route: String,
    function: String,
    class: String,
}

#[derive(Deserialize)]
struct Configuration {
    #[serde(rename = "function-bindings")]
    bindings: BTreeMap<String, Binding>,
}

#[derive(Deserialize)]
struct ServiceRate {
    rate: f64,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ToolError> {
    let raw = std::fs::read(path).map_err(file_error(path))?;
    let parse_error = |error| ToolError::Line { path: path.to_owned(), error, line: String::new() };
    serde_json::from_slice(&raw).map_err(parse_error)
}

/// Reads the routes from the configuration and their rates from the services file.
pub fn load(configuration: &Path, services: &Path, factor: f64) -> Result<Vec<Route>, ToolError> {
    let content: Configuration = read(configuration)?;
    let service_rates: BTreeMap<String, ServiceRate> = read(services)?;
    let mut routes = Vec::new();
    for (name, binding) in content.bindings {
        let tenant = name.split('/').next().unwrap_or_default();
        let service = format!("{tenant}/{}", binding.function);
        let rate = service_rates.get(&service).map_or(0.0, |service| service.rate) * factor;
        routes.push(Route { service, path: binding.route, class: binding.class, rate });
    }
    Ok(routes)
}

/// Draws the time in seconds until the next task and the index of its route, as one Poisson process over all routes.
pub fn next_task(rng: &mut ChaCha8Rng, routes: &[Route], crowds: &[Crowd], at: f64) -> (f64, usize) {
    let weight = |route: &Route| {
        let crowd =
            crowds.iter().find(|c| c.service == route.service && at >= c.start_s && at < c.start_s + c.duration_s);
        route.rate * crowd.map_or(1.0, |crowd| crowd.factor)
    };
    let total: f64 = routes.iter().map(weight).sum();
    let wait = -(1.0 - rng.random::<f64>()).ln() / total.max(1e-9);
    let mut remaining_weight = rng.random::<f64>() * total;
    for (index, route) in routes.iter().enumerate() {
        remaining_weight -= weight(route);
        if remaining_weight <= 0.0 {
            return (wait, index);
        }
    }
    (wait, routes.len() - 1)
}
