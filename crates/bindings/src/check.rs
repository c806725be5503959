//! Check of a complete configuration. It doesn't stop at the first fault, but reports all faults at once, each with the
//! path of the resource and field.

use crate::check_fields::{check_binding, check_bounds, check_consumer, check_function, check_plan, check_sheet};
use crate::consumers::Consumer;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{FunctionBinding, HeadcountPlan, Kind, WeightSheet};
use crate::routes::normalize_host;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Fault in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationError {
    /// Path of the fault: `kind/tenant/name`, followed by the field if a single field is wrong.
    pub path: String,
    /// Description of the fault, or the values that are allowed.
    pub fault: String,
}

/// Instance limit, memory, minimum and maximum number of instances, which must be the same in all bindings of a
/// function.
type FunctionShape = (u32, u32, u32, u32);

/// Creates an error for the resource or field at a path.
pub(crate) fn error(path: &str, fault: impl Into<String>) -> ConfigurationError {
    ConfigurationError { path: path.to_owned(), fault: fault.into() }
}

/// Description of a valid name.
pub(crate) const NAME_RULE: &str = "1 to 128 letters, digits, '.', '_' or '-'";

/// Description of a valid consumer.
const CONSUMER_RULE: &str = "an object of keys, a list of texts; rate_per_s, burst and rank, numbers; notes, an object";

/// Returns whether a string is a valid name of a tenant or a resource.
pub fn check_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    (1..=128).contains(&name.len()) && name.chars().all(is_allowed)
}

#[derive(Default)]
struct Checker<'a> {
    errors: Vec<ConfigurationError>,
    /// Hosts and routes, with the binding that has each.
    routes: HashMap<(String, String), &'a str>,
    /// Shapes of functions, with the binding that was the first to declare each.
    shapes: HashMap<String, (&'a str, FunctionShape)>,
    declared_functions: HashSet<&'a str>,
    /// Functions that must be declared, with the binding that sends requests to each.
    required_functions: Vec<(String, &'a str)>,
    /// Tenants, with the caller bounds of each.
    bounds: BTreeMap<&'a str, &'a str>,
    /// API keys, with the consumer that has each.
    api_keys: HashMap<String, &'a str>,
}

/// Checks a complete configuration, given as pairs of `kind/tenant/name` and JSON, and returns its faults. The
/// configuration is valid if there are none.
pub fn check<'a>(pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> Vec<ConfigurationError> {
    let mut checker = Checker::default();
    pairs.for_each(|(key, value)| checker.check_resource(key, value));
    for (function, key) in std::mem::take(&mut checker.required_functions) {
        if !checker.declared_functions.contains(function.as_str()) {
            checker.errors.push(error(&format!("{key}/function"), format!("function {function} is not declared")));
        }
    }
    checker.errors
}

/// Parses a resource. Returns `None` and adds the error if that fails.
fn parse<T: DeserializeOwned>(key: &str, value: &[u8], errors: &mut Vec<ConfigurationError>) -> Option<T> {
    serde_json::from_slice(value).map_err(|parse_error| errors.push(error(key, parse_error.to_string()))).ok()
}

impl<'a> Checker<'a> {
    fn check_resource(&mut self, key: &'a str, value: &[u8]) {
        let mut parts = key.split('/');
        let (Some(kind), Some(tenant), Some(name), None) = (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return self.errors.push(error(key, "a resource is named kind/tenant/name"));
        };
        if !check_name(tenant) || !check_name(name) {
            self.errors.push(error(key, format!("tenant and name are {NAME_RULE}")));
        }
        let errors = &mut self.errors;
        match Kind::from_name(kind) {
            Some(Kind::FunctionBinding) => {
                if let Some(binding) = parse::<FunctionBinding>(key, value, errors) {
                    check_binding(key, &binding, errors);
                    self.check_binding_conflicts(key, tenant, binding);
                }
            }
            Some(Kind::WeightSheet) => {
                if let Some(sheet) = parse::<WeightSheet>(key, value, errors) {
                    check_sheet(key, &sheet, errors);
                }
            }
            Some(Kind::HeadcountPlan) => {
                if let Some(plan) = parse::<HeadcountPlan>(key, value, errors) {
                    check_plan(key, &plan, errors);
                }
            }
            Some(Kind::Function) => {
                self.declared_functions.insert(&key[kind.len() + 1..]);
                if let Some(function) = parse::<FunctionDeclaration>(key, value, errors) {
                    check_function(key, &function, errors);
                }
            }
            Some(Kind::Bounds) => {
                if let Some(bounds) = parse::<CallerBounds>(key, value, errors) {
                    check_bounds(key, &bounds, errors);
                }
                if let Some(other) = self.bounds.insert(tenant, key) {
                    self.errors.push(error(key, format!("one to a tenant; another is {other}")));
                }
            }
            Some(Kind::Consumer) => {
                // The parser's error message may contain a key.
                let Ok(consumer) = serde_json::from_slice::<Consumer>(value) else {
                    return errors.push(error(key, CONSUMER_RULE));
                };
                check_consumer(key, &consumer, errors);
                self.check_shared_keys(key, consumer);
            }
            None => self.errors.push(error(key, format!("kinds are {}", Kind::names()))),
        }
    }

    /// Checks that no other consumer has one of the keys. The error doesn't contain the key, because keys must not be
    /// disclosed to anyone but their consumer.
    fn check_shared_keys(&mut self, key: &'a str, consumer: Consumer) {
        for api_key in consumer.keys {
            if let Some(other) = self.api_keys.insert(api_key, key).filter(|other| *other != key) {
                self.errors.push(error(&format!("{key}/keys"), format!("a key is that of {other} too")));
            }
        }
    }

    /// Checks a binding against the bindings before it, for different shapes of a function and equal routes.
    fn check_binding_conflicts(&mut self, key: &'a str, tenant: &str, binding: FunctionBinding) {
        let shape = (binding.instance_limit, binding.memory_mb, binding.min, binding.max);
        for (name, _) in binding.functions() {
            let function = format!("{tenant}/{name}");
            if binding.declared {
                self.required_functions.push((function, key));
                continue;
            }
            match self.shapes.get(&function) {
                Some((other, other_shape)) if *other_shape != shape => {
                    let description = format!("instance_limit, memory_mb, min and max differ from {other}");
                    self.errors.push(error(key, description));
                }
                Some(_) => {}
                None => drop(self.shapes.insert(function, (key, shape))),
            }
        }
        let host = normalize_host(&binding.host).into_owned();
        let route = binding.route.clone();
        if let Some(other) = self.routes.insert((host, binding.route), key) {
            self.errors.push(error(&format!("{key}/route"), format!("route {route} is taken by {other}")));
        }
    }
}
