//! Lookups in a route table: routes by host and path, shares, and functions as they were declared.

use bindings::{FunctionBinding, RouteTable};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

fn table(pairs: &[(&str, &str)]) -> RouteTable {
    let faults = bindings::check(pairs.iter().map(|(key, value)| (*key, value.as_bytes())));
    assert!(faults.is_empty(), "{faults:?}");
    RouteTable::build(1, 1, pairs.iter().map(|(key, value)| (*key, value.as_bytes())))
}

#[test_case("a.example", "/x/y/z" => Some("t/a-xy"); "longest route of the host")]
#[test_case("a.example", "/x/y/" => Some("t/a-xy"); "path equal to a prefix route")]
#[test_case("a.example", "/x/y" => Some("t/a-x"); "prefix route needs its slash")]
#[test_case("a.example", "/x/yy/z" => Some("t/a-x"); "prefix matches whole segments")]
#[test_case("a.example", "/" => None; "root without a route of the host or of any host")]
#[test_case("A.Example:8080", "/x/y/z" => Some("t/a-xy"); "case and port of a host are ignored")]
#[test_case("b.example", "/x/y/z" => Some("t/b-all"); "all paths of a host")]
#[test_case("b.example", "/" => Some("t/b-all"); "root of a host")]
#[test_case("c.example", "/own/f" => Some("t/any"); "any host")]
#[test_case("", "/own/f/g" => Some("t/any"); "empty host")]
#[test_case("a.example", "/own/f/" => Some("t/any"); "route of any host for a known host")]
#[test_case("a.example", "/own/ff" => None; "route matches whole segments")]
#[test_case("c.example", "/own" => None; "path shorter than the route")]
#[test_case("[::1]:80", "/v6/x" => Some("t/six"); "IP address as host")]
#[test_case("a.example", "" => None; "empty path")]
#[test_case("a.example", "/x/\u{17e}/y" => Some("t/a-x"); "non ASCII path")]
fn finds_the_longest_route_of_the_host_or_of_any_host(host: &str, path: &str) -> Option<&'static str> {
    let routes = [
        ("t/a-x", "a.example", "/x/"),
        ("t/a-xy", "a.EXAMPLE", "/x/y/"),
        ("t/b-all", "b.example:80", "/"),
        ("t/any", "", "/own/f"),
        ("t/six", "[::1]", "/v6/"),
    ];
    let pairs: Vec<(String, String)> = routes
        .iter()
        .map(|(name, host, route)| {
            let binding = format!(r#"{{"host":"{host}","route":"{route}","function":"f","class":"single"}}"#);
            (format!("function-bindings/{name}"), binding)
        })
        .collect();
    let pairs: Vec<(&str, &str)> = pairs.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
    let table = table(&pairs);
    assert_eq!(table.route_count(), routes.len());
    let (found, binding) = table.find_route(host, path)?;
    assert_eq!(table.binding(found), Some(binding));
    routes.iter().map(|(name, ..)| *name).find(|name| *name == found)
}

#[test]
fn paths_are_examined_no_further_than_the_longest_route() {
    let pairs = [("function-bindings/t/f", r#"{"route":"/t/f","function":"f","class":"ordinary"}"#)];
    let table = table(&pairs);
    assert!(table.find_route("", &"/".repeat(1 << 20)).is_none());
    assert!(table.find_route("", &format!("/t/f{}", "/".repeat(1 << 20))).is_some());
}

#[test]
fn functions_are_picked_by_weight() {
    let json = r#"{"route":"/t/f","shares":{"a":3,"b":0,"c":1},"class":"ordinary"}"#;
    let binding: FunctionBinding = serde_json::from_str(json).unwrap();
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let step = u64::MAX / 4000;
    (0..4000u64).for_each(|n| *counts.entry(binding.pick_function(n * step + step / 2)).or_default() += 1);
    assert_eq!(counts, BTreeMap::from([("a", 3000), ("c", 1000)]));
    assert_eq!((binding.pick_function(0), binding.pick_function(u64::MAX)), ("a", "c"));
    assert!(binding.sends_to("a") && !binding.sends_to("b") && !binding.sends_to("d"));
    let single: FunctionBinding =
        serde_json::from_str(r#"{"route":"/t/f","function":"f","class":"ordinary"}"#).unwrap();
    assert!(single.pick_function(u64::MAX) == "f" && single.sends_to("f"));
}

#[test]
fn functions_combine_their_declaration_with_their_bindings() {
    let binding =
        |route: &str, fields: &str| format!(r#"{{"route":"{route}","class":"ordinary","declared":true,{fields}}}"#);
    let slow = binding("/slow/", r#""function":"cold","aim_ms":1500,"rank":2,"attempts":3"#);
    let fast = binding("/fast/", r#""function":"hot","aim_ms":300,"rank":0"#);
    let both = binding("/both/", r#""shares":{"hot":1,"cold":2},"aim_ms":900,"rank":4,"attempts":1"#);
    let planned = binding("/planned/", r#""function":"planned","aim_ms":10"#);
    let table = table(&[
        ("bounds/t/limits", r#"{"body_bytes":100,"idle_ms":50}"#),
        ("bounds/u/limits", r#"{"body_bytes":200,"idle_ms":20}"#),
        ("function-bindings/t/both", &both),
        ("function-bindings/t/fast", &fast),
        ("function-bindings/t/planned", &planned),
        ("function-bindings/t/slow", &slow),
        ("functions/t/cold", r#"{"boot_ms":900,"instance_limit":1,"memory_mb":128,"connections":26}"#),
        ("functions/t/hot", r#"{"boot_ms":1400,"instance_limit":6,"memory_mb":768}"#),
        ("functions/t/planned", "{}"),
        ("functions/t/unused", "{}"),
        ("headcount-plans/t/planned", r#"{"min":0}"#),
    ]);
    let (hot, cold) = (table.function("t/hot").unwrap(), table.function("t/cold").unwrap());
    assert_eq!((hot.boot_time, hot.latency_target), (Duration::from_millis(1400), Some(Duration::from_millis(300))));
    assert_eq!((hot.min, hot.max, hot.rank, hot.attempts, hot.connections), (1, 1000, 0, 2, u32::MAX));
    assert_eq!((cold.latency_target, cold.min, cold.rank, cold.attempts), (Some(Duration::from_millis(900)), 0, 2, 3));
    assert_eq!((cold.instance_limit, cold.memory_mb, cold.connections), (1, 128, 26));
    assert_eq!(table.function("t/planned").unwrap().min, 0, "the operator's plan takes precedence");
    let unused = table.function("t/unused").unwrap();
    assert_eq!((unused.min, unused.latency_target, unused.boot_time), (0, None, Duration::from_secs(1)));
    let bounds = table.bounds().unwrap();
    assert_eq!((bounds.body_bytes, bounds.idle_ms, bounds.head_ms), (100, 20, u32::MAX));
}

#[test]
fn bindings_without_newer_fields_have_the_earlier_behavior() {
    let table = table(&[("function-bindings/t/f", r#"{"route":"/t/f","function":"f","class":"once","max":3}"#)]);
    let function = table.function("t/f").unwrap();
    assert_eq!((function.min, function.max, function.latency_target, function.rank), (0, 3, None, 1));
    let (_, binding) = table.find_route("whatever", "/t/f/x").unwrap();
    assert_eq!((binding.attempts, binding.declared, binding.aim_ms), (2, false, None));
    assert!(table.bounds().is_none());
}
