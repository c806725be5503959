//! The whole configuration's check. It never stops at the first fault: the operator is told all
//! of them at once, each with the path of the resource and field it sits in.

use crate::check_fields::{check_binding, check_bounds, check_consumer, check_function, check_plan, check_sheet};
use crate::consumers::Consumer;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{FunctionBinding, HeadcountPlan, Kind, WeightSheet};
use crate::routes::bare_host;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, HashMap, HashSet};

/// One thing wrong in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationError {
    /// Where: kind/tenant/name, and the field if it is one field's.
    pub path: String,
    /// What is wrong, and what is allowed.
    pub fault: String,
}

/// Limit, memory, least and most instances: the same for all bindings of one function.
type Shape = (u32, u32, u32, u32);

pub(crate) fn fault(path: &str, words: impl Into<String>) -> ConfigurationError {
    ConfigurationError { path: path.to_owned(), fault: words.into() }
}

pub(crate) const NAME: &str = "1 to 128 letters, digits, '.', '_' or '-'";

const CONSUMER: &str = "an object of keys, a list of texts; rate_per_s, burst and rank, numbers; notes, an object";

/// Whether a word may name a tenant or a resource.
pub fn check_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    (1..=128).contains(&name.len()) && name.chars().all(plain)
}

#[derive(Default)]
struct Check<'a> {
    faults: Vec<ConfigurationError>,
    routes: HashMap<(String, String), &'a str>,
    shapes: HashMap<String, (&'a str, Shape)>,
    declared: HashSet<&'a str>,
    /// Functions that must be declared, with the binding that sends to each.
    needed: Vec<(String, &'a str)>,
    bounds: BTreeMap<&'a str, &'a str>,
    /// API keys, with the consumer that has each.
    api_keys: HashMap<String, &'a str>,
}

/// Checks a configuration whole, by kind/tenant/name; it is in order if nothing is returned.
pub fn check<'a>(pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> Vec<ConfigurationError> {
    let mut check = Check::default();
    pairs.for_each(|(key, value)| check.resource(key, value));
    for (function, key) in std::mem::take(&mut check.needed) {
        if !check.declared.contains(function.as_str()) {
            check.faults.push(fault(&format!("{key}/function"), format!("function {function} is not declared")));
        }
    }
    check.faults
}

fn read<T: DeserializeOwned>(key: &str, value: &[u8], faults: &mut Vec<ConfigurationError>) -> Option<T> {
    serde_json::from_slice(value).map_err(|told| faults.push(fault(key, told.to_string()))).ok()
}

impl<'a> Check<'a> {
    fn resource(&mut self, key: &'a str, value: &[u8]) {
        let mut parts = key.split('/');
        let (Some(kind), Some(tenant), Some(name), None) = (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return self.faults.push(fault(key, "a resource is named kind/tenant/name"));
        };
        if !check_name(tenant) || !check_name(name) {
            self.faults.push(fault(key, format!("tenant and name are {NAME}")));
        }
        let faults = &mut self.faults;
        match Kind::from_name(kind) {
            Some(Kind::FunctionBinding) => {
                if let Some(binding) = read::<FunctionBinding>(key, value, faults) {
                    check_binding(key, &binding, faults);
                    self.binding(key, tenant, binding);
                }
            }
            Some(Kind::WeightSheet) => {
                if let Some(sheet) = read::<WeightSheet>(key, value, faults) {
                    check_sheet(key, &sheet, faults);
                }
            }
            Some(Kind::HeadcountPlan) => {
                if let Some(plan) = read::<HeadcountPlan>(key, value, faults) {
                    check_plan(key, &plan, faults);
                }
            }
            Some(Kind::Function) => {
                self.declared.insert(&key[kind.len() + 1..]);
                if let Some(function) = read::<FunctionDeclaration>(key, value, faults) {
                    check_function(key, &function, faults);
                }
            }
            Some(Kind::Bounds) => {
                if let Some(bounds) = read::<CallerBounds>(key, value, faults) {
                    check_bounds(key, &bounds, faults);
                }
                if let Some(other) = self.bounds.insert(tenant, key) {
                    self.faults.push(fault(key, format!("one to a tenant; another is {other}")));
                }
            }
            Some(Kind::Consumer) => {
                // What the parser tells of a value may hold a key.
                let Ok(consumer) = serde_json::from_slice::<Consumer>(value) else {
                    return faults.push(fault(key, CONSUMER));
                };
                check_consumer(key, &consumer, faults);
                self.consumer(key, consumer);
            }
            None => self.faults.push(fault(key, format!("kinds are {}", Kind::names()))),
        }
    }

    /// The fault names no key: keys are told to nobody but their consumer.
    fn consumer(&mut self, key: &'a str, consumer: Consumer) {
        for api_key in consumer.keys {
            if let Some(other) = self.api_keys.insert(api_key, key).filter(|other| *other != key) {
                self.faults.push(fault(&format!("{key}/keys"), format!("a key is that of {other} too")));
            }
        }
    }

    fn binding(&mut self, key: &'a str, tenant: &str, binding: FunctionBinding) {
        let shape = (binding.instance_limit, binding.memory_mb, binding.min, binding.max);
        for (name, _) in binding.functions() {
            let function = format!("{tenant}/{name}");
            if binding.declared {
                self.needed.push((function, key));
                continue;
            }
            match self.shapes.get(&function) {
                Some((other, known)) if *known != shape => {
                    let told = format!("instance_limit, memory_mb, min and max differ from {other}");
                    self.faults.push(fault(key, told));
                }
                Some(_) => {}
                None => drop(self.shapes.insert(function, (key, shape))),
            }
        }
        let host = bare_host(&binding.host).into_owned();
        let route = binding.route.clone();
        if let Some(other) = self.routes.insert((host, binding.route), key) {
            self.faults.push(fault(&format!("{key}/route"), format!("route {route} is taken by {other}")));
        }
    }
}
