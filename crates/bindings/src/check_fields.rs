//! What is allowed in each field of a declared resource, looked at on its own.

use crate::check::{ConfigurationError, NAME, check_name, fault};
use crate::consumers::Consumer;
use crate::declarations::{CallerBounds, FunctionDeclaration};
use crate::resources::{FunctionBinding, HeadcountPlan, WeightSheet};
use crate::tuning;

pub fn check_binding(key: &str, binding: &FunctionBinding, faults: &mut Vec<ConfigurationError>) {
    let mut want = |field: &str, good: bool, allowed: &str| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), allowed));
        }
    };
    let route = &binding.route;
    let plain = route.bytes().all(|b| b.is_ascii_graphic() && !b"?#%".contains(&b));
    let whole = plain && route.len() > 1 && route.len() <= 256 && !route.contains("//");
    let leading = route.bytes().all(|b| b > b' ' && b != 0x7f && !b"?#".contains(&b)) && route.len() <= 4096;
    let shaped = route.starts_with('/') && if route.ends_with('/') { leading } else { whole };
    want(
        "route",
        shaped,
        "a path such as /tenant/name, up to 256 plain characters, or the beginning of one up to a slash",
    );
    want("route", !route.starts_with("/.heron"), "/.heron is kept for the system");
    let host = &binding.host;
    let named = host.bytes().all(|b| b > b' ' && b != 0x7f && !b"/?#@".contains(&b));
    want("host", named && host.len() <= 300, "a host's name, up to 300 characters");
    if binding.shares.is_empty() {
        want("function", check_name(&binding.function), NAME);
    } else {
        let plain = |name: &String| check_name(name);
        want("shares", binding.shares.keys().all(plain), NAME);
        want("function", binding.function.is_empty() || check_name(&binding.function), NAME);
        let good = |weight: &f64| weight.is_finite() && *weight >= 0.0;
        let sum: f64 = binding.shares.values().sum();
        let sound = binding.shares.values().all(good) && sum > 0.0 && sum.is_finite();
        want("shares", sound, "weights of 0 or more that add up to more than 0");
    }
    want("deadline_ms", (1..=600_000).contains(&binding.deadline_ms), "1 to 600000");
    want("attempts", (1..=1000).contains(&binding.attempts), "1 to 1000");
    want("instance_limit", (1..=1000).contains(&binding.instance_limit), "1 to 1000");
    want("memory_mb", (1..=65_536).contains(&binding.memory_mb), "1 to 65536");
    want("max", (1..=1000).contains(&binding.max), "1 to 1000");
    want("min", binding.min <= binding.max, "no more than max");
    want("player_weight", (0.0..=10.0).contains(&binding.player_weight), "0 to 10");
}

pub fn check_sheet(key: &str, sheet: &WeightSheet, faults: &mut Vec<ConfigurationError>) {
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
    tuning::check_tuning(&sheet.tuning).iter().for_each(|(field, allowed)| want(field, false, allowed));
}

pub fn check_plan(key: &str, plan: &HeadcountPlan, faults: &mut Vec<ConfigurationError>) {
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

pub fn check_function(key: &str, function: &FunctionDeclaration, faults: &mut Vec<ConfigurationError>) {
    let mut want = |field: &str, good: bool, allowed: &str| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), allowed));
        }
    };
    want("instance_limit", (1..=1000).contains(&function.instance_limit), "1 to 1000");
    want("memory_mb", (1..=65_536).contains(&function.memory_mb), "1 to 65536");
    want("boot_ms", function.boot_ms.is_none_or(|boot| boot <= 600_000), "0 to 600000");
    want("connections", function.connections != Some(0), "1 or more");
    want("max", (1..=1000).contains(&function.max), "1 to 1000");
    want("min", function.min <= function.max, "no more than max");
}

pub fn check_bounds(key: &str, bounds: &CallerBounds, faults: &mut Vec<ConfigurationError>) {
    let mut want = |field: &str, good: bool| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), "1 or more"));
        }
    };
    want("head_bytes", bounds.head_bytes > 0);
    want("head_ms", bounds.head_ms > 0);
    want("idle_ms", bounds.idle_ms > 0);
}

/// The longest API key in bytes.
const MAX_KEY_BYTES: usize = 512;

pub fn check_consumer(key: &str, consumer: &Consumer, faults: &mut Vec<ConfigurationError>) {
    let mut want = |field: &str, good: bool, allowed: &str| {
        if !good {
            faults.push(fault(&format!("{key}/{field}"), allowed));
        }
    };
    let plain =
        |key: &String| (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic());
    want("keys", consumer.keys.iter().all(plain), "1 to 512 visible ASCII characters each");
    let sound = |number: f64| number.is_finite() && number >= 0.0;
    want("rate_per_s", sound(consumer.rate_per_s), "0 or more");
    want("burst", sound(consumer.burst), "0 or more");
}
