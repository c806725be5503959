//! The mix: which binding the next task goes to and when, from the services' rates and crowds.

use crate::errors::{WorkError, at};
use crate::load::Crowd;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

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
struct Whole {
    #[serde(rename = "function-bindings")]
    bindings: BTreeMap<String, Binding>,
}

#[derive(Deserialize)]
struct Shape {
    rate: f64,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, WorkError> {
    let raw = std::fs::read(path).map_err(at(path))?;
    let wrong = |error| WorkError::Line { path: path.to_owned(), error, line: String::new() };
    serde_json::from_slice(&raw).map_err(wrong)
}

pub fn load(configuration: &Path, services: &Path, factor: f64) -> Result<Vec<Route>, WorkError> {
    let whole: Whole = read(configuration)?;
    let shapes: BTreeMap<String, Shape> = read(services)?;
    let mut routes = Vec::new();
    for (name, binding) in whole.bindings {
        let tenant = name.split('/').next().unwrap_or_default();
        let service = format!("{tenant}/{}", binding.function);
        let rate = shapes.get(&service).map_or(0.0, |shape| shape.rate) * factor;
        routes.push(Route { service, path: binding.route, class: binding.class, rate });
    }
    Ok(routes)
}

/// The wait until the next task and its route, drawn as one Poisson stream over all routes.
pub fn next(dice: &mut ChaCha8Rng, routes: &[Route], crowds: &[Crowd], at: f64) -> (f64, usize) {
    let weight = |route: &Route| {
        let crowd = crowds.iter().find(|c| c.service == route.service && at >= c.at && at < c.at + c.lasts);
        route.rate * crowd.map_or(1.0, |crowd| crowd.times)
    };
    let total: f64 = routes.iter().map(weight).sum();
    let wait = -(1.0 - dice.random::<f64>()).ln() / total.max(1e-9);
    let mut mark = dice.random::<f64>() * total;
    for (place, route) in routes.iter().enumerate() {
        mark -= weight(route);
        if mark <= 0.0 {
            return (wait, place);
        }
    }
    (wait, routes.len() - 1)
}
