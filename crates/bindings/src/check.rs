//! The whole configuration's check. It never stops at the first fault: the operator is told all
//! of them at once, each with the path of the resource and field it sits in.

use crate::resources::{FunctionBinding, HeadcountPlan, Kind, WeightSheet};
use crate::tuning;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    pub path: String,
    pub fault: String,
}

/// Limit, memory, least and most instances: the same for all bindings of one function.
type Shape = (u32, u32, u32, u32);

fn fault(path: &str, words: impl Into<String>) -> Fault {
    Fault { path: path.to_owned(), fault: words.into() }
}

pub fn check_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=63).contains(&name.len()) && name.chars().all(plain)
}

pub fn check<'a>(pairs: impl Iterator<Item = (&'a str, &'a [u8])>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut routes: BTreeMap<String, String> = BTreeMap::new();
    let mut functions: BTreeMap<String, (String, Shape)> = BTreeMap::new();
    for (key, value) in pairs {
        let parts: Vec<&str> = key.split('/').collect();
        let [kind, tenant, name] = parts[..] else {
            faults.push(fault(key, "a resource is named kind/tenant/name"));
            continue;
        };
        if !check_name(tenant) || !check_name(name) {
            faults.push(fault(key, "tenant and name are 1 to 63 lower-case letters, digits or '-'"));
        }
        match Kind::from_word(kind) {
            Some(Kind::FunctionBinding) => {
                let Some(binding) = read::<FunctionBinding>(key, value, &mut faults) else { continue };
                check_binding(key, &binding, &mut faults);
                if let Some(other) = routes.insert(binding.route.clone(), key.to_owned()) {
                    faults.push(fault(&format!("{key}/route"), format!("route {} is taken by {other}", binding.route)));
                }
                let shape = (binding.instance_limit, binding.memory_mb, binding.min, binding.max);
                let function = format!("{tenant}/{}", binding.function);
                match functions.get(&function) {
                    Some((other, known)) if *known != shape => {
                        faults.push(fault(key, format!("instance_limit, memory_mb, min and max differ from {other}")))
                    }
                    Some(_) => {}
                    None => drop(functions.insert(function, (key.to_owned(), shape))),
                }
            }
            Some(Kind::WeightSheet) => {
                if let Some(sheet) = read::<WeightSheet>(key, value, &mut faults) {
                    check_sheet(key, &sheet, &mut faults);
                }
            }
            Some(Kind::HeadcountPlan) => {
                if let Some(plan) = read::<HeadcountPlan>(key, value, &mut faults) {
                    check_plan(key, &plan, &mut faults);
                }
            }
            None => faults.push(fault(key, "kinds are function-bindings, weight-sheets, headcount-plans")),
        }
    }
    faults
}

fn read<T: DeserializeOwned>(key: &str, value: &[u8], faults: &mut Vec<Fault>) -> Option<T> {
    serde_json::from_slice(value).map_err(|told| faults.push(fault(key, told.to_string()))).ok()
}

fn check_binding(key: &str, binding: &FunctionBinding, faults: &mut Vec<Fault>) {
    let mut want = |field: &str, good: bool, allowed: &str| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), allowed));
        }
    };
    let route = &binding.route;
    let plain = route.bytes().all(|b| b.is_ascii_graphic() && !b"?#%".contains(&b));
    let shaped = route.starts_with('/') && route.len() > 1 && !route.ends_with('/') && !route.contains("//");
    want("route", plain && shaped && route.len() <= 256, "a path such as /tenant/name, up to 256 plain characters");
    want("route", !route.starts_with("/.heron"), "/.heron is kept for the system");
    want("function", check_name(&binding.function), "1 to 63 lower-case letters, digits or '-'");
    want("deadline_ms", (100..=60_000).contains(&binding.deadline_ms), "100 to 60000");
    want("instance_limit", (1..=1000).contains(&binding.instance_limit), "1 to 1000");
    want("memory_mb", (1..=65_536).contains(&binding.memory_mb), "1 to 65536");
    want("max", (1..=1000).contains(&binding.max), "1 to 1000");
    want("min", binding.min <= binding.max, "no more than max");
    want("player_weight", (0.0..=10.0).contains(&binding.player_weight), "0 to 10");
}

fn check_sheet(key: &str, sheet: &WeightSheet, faults: &mut Vec<Fault>) {
    let mut want = |field: &str, good: bool, allowed: &str| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), allowed));
        }
    };
    let costs = [
        ("replica_cost", sheet.replica_cost),
        ("sla_soft", sheet.sla_soft),
        ("sla_hard", sheet.sla_hard),
        ("startup_cost", sheet.startup_cost),
        ("shutdown_cost", sheet.shutdown_cost),
        ("work_weight", sheet.work_weight),
        ("waiting_weight", sheet.waiting_weight),
        ("held_weight", sheet.held_weight),
    ];
    for (field, value) in costs {
        want(field, (0.0..=1e6).contains(&value), "0 to 1000000");
    }
    want("soft_fraction", (0.0..=1.0).contains(&sheet.soft_fraction), "0 to 1");
    want("time_discount", sheet.time_discount > 0.0 && sheet.time_discount <= 1.0, "above 0, up to 1");
    want("target_usage", (0.05..=1.0).contains(&sheet.target_usage), "0.05 to 1");
    want("demand_floor", (0.0..=1000.0).contains(&sheet.demand_floor), "0 to 1000");
    want("max_scale_up", (1..=1000).contains(&sheet.max_scale_up), "1 to 1000");
    want("max_scale_down", (1..=1000).contains(&sheet.max_scale_down), "1 to 1000");
    want("startup_delay_steps", (1..=8).contains(&sheet.startup_delay_steps), "1 to 8");
    tuning::faults(&sheet.tuning).iter().for_each(|(field, allowed)| want(field, false, allowed));
}

fn check_plan(key: &str, plan: &HeadcountPlan, faults: &mut Vec<Fault>) {
    if let (Some(min), Some(max)) = (plan.min, plan.max)
        && min > max
    {
        faults.push(fault(&format!("{key}/min"), "no more than max"));
    }
    for (field, value) in [("fixed", plan.fixed), ("min", plan.min), ("max", plan.max)] {
        if value.is_some_and(|count| count > 1000) {
            faults.push(fault(&format!("{key}/{field}"), "0 to 1000"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_of_a_whole_configuration_is_told_with_its_path() {
        let pairs: Vec<(&str, &[u8])> = vec![
            ("function-bindings/a/x", br#"{"route":"/a/x","function":"x","class":"once"}"#),
            ("function-bindings/b/y", br#"{"route":"/a/x","function":"y","class":"ordinary","deadline_ms":1}"#),
            ("function-bindings/b/z", br#"{"route":"/b/z","function":"z","class":"sometimes"}"#),
            ("headcount-plans/b/y", br#"{"min":3,"max":1}"#),
            ("weight-sheets/b/y", br#"{"time_discount":0,"tuning":{"target_usage":{"least":0.9,"most":0.3}}}"#),
            ("weight-sheets/b/z", br#"{"tuning":{"sla_hard":{"most":-1}}}"#),
        ];
        let paths: Vec<String> = check(pairs.into_iter()).into_iter().map(|fault| fault.path).collect();
        let expected = [
            "function-bindings/b/y/deadline_ms",
            "function-bindings/b/y/route",
            "function-bindings/b/z",
            "headcount-plans/b/y/min",
            "weight-sheets/b/y/time_discount",
            "weight-sheets/b/y/tuning/target_usage/least",
            "weight-sheets/b/z/tuning/sla_hard/most",
        ];
        assert_eq!(paths, expected);
    }
}
