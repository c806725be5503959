//! Checks of the values of single fields, for each kind of declared resource.

use crate::check::{ConfigurationError, NAME_RULE, check_name, error};
use crate::consumers::Consumer;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{FunctionBinding, HeadcountPlan, WeightSheet};
use crate::tuning;

/// Checks the fields of a function binding.
pub fn check_binding(key: &str, binding: &FunctionBinding, errors: &mut Vec<ConfigurationError>) {
    let mut require = |field: &str, is_valid: bool, allowed: &str| {
        if !is_valid {
            errors.push(error(&format!("{key}/{field}"), allowed));
        }
    };
    let route = &binding.route;
    let is_plain = route.bytes().all(|b| b.is_ascii_graphic() && !b"?#%".contains(&b));
    let is_valid_path = is_plain && route.len() > 1 && route.len() <= 256 && !route.contains("//");
    let is_valid_prefix = route.bytes().all(|b| b > b' ' && b != 0x7f && !b"?#".contains(&b)) && route.len() <= 4096;
    let is_valid_route = route.starts_with('/') && if route.ends_with('/') { is_valid_prefix } else { is_valid_path };
    require(
        "route",
        is_valid_route,
        "a path such as /tenant/name, up to 256 plain characters, or the beginning of one up to a slash",
    );
    require("route", !route.starts_with("/.heron"), "/.heron is kept for the system");
    let host = &binding.host;
    let is_host_name = host.bytes().all(|b| b > b' ' && b != 0x7f && !b"/?#@".contains(&b));
    require("host", is_host_name && host.len() <= 300, "a host's name, up to 300 characters");
    if binding.shares.is_empty() {
        require("function", check_name(&binding.function), NAME_RULE);
    } else {
        let is_name = |name: &String| check_name(name);
        require("shares", binding.shares.keys().all(is_name), NAME_RULE);
        require("function", binding.function.is_empty() || check_name(&binding.function), NAME_RULE);
        let is_weight = |weight: &f64| weight.is_finite() && *weight >= 0.0;
        let sum: f64 = binding.shares.values().sum();
        let are_valid_shares = binding.shares.values().all(is_weight) && sum > 0.0 && sum.is_finite();
        require("shares", are_valid_shares, "weights of 0 or more that add up to more than 0");
    }
    require("deadline_ms", (1..=600_000).contains(&binding.deadline_ms), "1 to 600000");
    require("attempts", (1..=1000).contains(&binding.attempts), "1 to 1000");
    require("instance_limit", (1..=1000).contains(&binding.instance_limit), "1 to 1000");
    require("memory_mb", (1..=65_536).contains(&binding.memory_mb), "1 to 65536");
    require("max", (1..=1000).contains(&binding.max), "1 to 1000");
    require("min", binding.min <= binding.max, "no more than max");
    require("player_weight", (0.0..=10.0).contains(&binding.player_weight), "0 to 10");
}

/// Checks the fields of a weight sheet.
pub fn check_sheet(key: &str, sheet: &WeightSheet, errors: &mut Vec<ConfigurationError>) {
    let mut require = |field: &str, is_valid: bool, allowed: &str| {
        if !is_valid {
            errors.push(error(&format!("{key}/{field}"), allowed));
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
        require(field, (0.0..=1e6).contains(&value), "0 to 1000000");
    }
    require("soft_fraction", (0.0..=1.0).contains(&sheet.soft_fraction), "0 to 1");
    require("time_discount", sheet.time_discount > 0.0 && sheet.time_discount <= 1.0, "above 0, up to 1");
    require("target_usage", (0.05..=1.0).contains(&sheet.target_usage), "0.05 to 1");
    require("demand_floor", (0.0..=1000.0).contains(&sheet.demand_floor), "0 to 1000");
    require("max_scale_up", (1..=1000).contains(&sheet.max_scale_up), "1 to 1000");
    require("max_scale_down", (1..=1000).contains(&sheet.max_scale_down), "1 to 1000");
    require("startup_delay_steps", (1..=8).contains(&sheet.startup_delay_steps), "1 to 8");
    tuning::check_tuning(&sheet.tuning).iter().for_each(|(field, allowed)| require(field, false, allowed));
}

/// Checks the fields of a headcount plan.
pub fn check_plan(key: &str, plan: &HeadcountPlan, errors: &mut Vec<ConfigurationError>) {
    if let (Some(min), Some(max)) = (plan.min, plan.max)
        && min > max
    {
        errors.push(error(&format!("{key}/min"), "no more than max"));
    }
    for (field, value) in [("fixed", plan.fixed), ("min", plan.min), ("max", plan.max)] {
        if value.is_some_and(|count| count > 1000) {
            errors.push(error(&format!("{key}/{field}"), "0 to 1000"));
        }
    }
}

/// Checks the fields of a function declaration.
pub fn check_function(key: &str, function: &FunctionDeclaration, errors: &mut Vec<ConfigurationError>) {
    let mut require = |field: &str, is_valid: bool, allowed: &str| {
        if !is_valid {
            errors.push(error(&format!("{key}/{field}"), allowed));
        }
    };
    require("instance_limit", (1..=1000).contains(&function.instance_limit), "1 to 1000");
    require("memory_mb", (1..=65_536).contains(&function.memory_mb), "1 to 65536");
    require("boot_ms", function.boot_ms.is_none_or(|boot| boot <= 600_000), "0 to 600000");
    require("connections", function.connections != Some(0), "1 or more");
    require("max", (1..=1000).contains(&function.max), "1 to 1000");
    require("min", function.min <= function.max, "no more than max");
}

/// Checks the fields of the bounds on callers.
pub fn check_bounds(key: &str, bounds: &CallerBounds, errors: &mut Vec<ConfigurationError>) {
    let mut require = |field: &str, is_valid: bool| {
        if !is_valid {
            errors.push(error(&format!("{key}/{field}"), "1 or more"));
        }
    };
    require("head_bytes", bounds.head_bytes > 0);
    require("head_ms", bounds.head_ms > 0);
    require("idle_ms", bounds.idle_ms > 0);
}

/// Maximum length of an API key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Checks the fields of a consumer.
pub fn check_consumer(key: &str, consumer: &Consumer, errors: &mut Vec<ConfigurationError>) {
    let mut require = |field: &str, is_valid: bool, allowed: &str| {
        if !is_valid {
            errors.push(error(&format!("{key}/{field}"), allowed));
        }
    };
    let is_api_key =
        |key: &String| (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic());
    require("keys", consumer.keys.iter().all(is_api_key), "1 to 512 visible ASCII characters each");
    let is_non_negative = |number: f64| number.is_finite() && number >= 0.0;
    require("rate_per_s", is_non_negative(consumer.rate_per_s), "0 or more");
    require("burst", is_non_negative(consumer.burst), "0 or more");
}
