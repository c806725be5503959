//! Measures the time that a configuration change takes in a registry, and the time a router takes to build its route
//! table, with a configuration of many routes: `cargo run --release -p control --example change_cost -- 2000`.

use bindings::RouteTable;
use chain::State;
use std::time::Instant;
use wire::{Command, CommandReply, ConfigurationItem, from_bytes, to_bytes};

fn item(key: String, value: String) -> ConfigurationItem {
    ConfigurationItem { key: key.into(), is_removed: 0, value: value.into_bytes().into() }
}

fn route(number: usize, deadline: u32) -> ConfigurationItem {
    let notes = format!(r#"{{"fields":{{"name":"r-{number}"}},"place":[7,{number}]}}"#);
    let binding = format!(
        r#"{{"host":"h{}.example","route":"/gowu{number}/fi14/","function":"s{}","class":"ordinary","deadline_ms":{deadline},"aim_ms":300,"attempts":2,"rank":2,"declared":true,"notes":{notes}}}"#,
        number % 7,
        number % 158
    );
    item(format!("function-bindings/main/r-{number}"), binding)
}

fn function(number: usize) -> ConfigurationItem {
    let notes = r#"{"fields":{"health_path":null,"protocol":"h1","tls":false},"place":[7,1]}"#;
    let declaration =
        format!(r#"{{"memory_mb":768,"boot_ms":1400,"instance_limit":6,"connections":106,"notes":{notes}}}"#);
    item(format!("functions/main/s{number}"), declaration)
}

fn timed<T>(label: &str, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = work();
    println!("{label:<40} {:>8.2} ms", started.elapsed().as_secs_f64() * 1e3);
    result
}

fn apply_entry(state: &mut State, label: &str, command: Command) {
    let body = timed(&format!("{label}: encoded as an entry"), || to_bytes(&command));
    println!("{label}: {} bytes", body.len());
    let effect = timed(&format!("{label}: applied"), || control::apply(state, 1, &body));
    match from_bytes::<CommandReply>(&effect.reply) {
        Some(CommandReply::Refused { body, .. }) => panic!("{}", String::from_utf8_lossy(body.as_slice())),
        reply => println!("{label}: {reply:?}"),
    }
    timed(&format!("{label}: written to the state"), || {
        effect.changes.iter().for_each(|change| change.apply_to(state));
    });
}

fn change(op: &str, base: u64, full: bool, items: Vec<ConfigurationItem>) -> Command {
    let (op, scope, items) = (op.into(), "main".into(), items.into());
    Command::Declare { op, base, is_any_base: 0, replaces_scope: full as u8, revision: base + 3, scope, items }
}

fn main() {
    let count = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(2000);
    let mut state = State::new();
    let items: Vec<ConfigurationItem> = (0..158).map(function).chain((0..count).map(|n| route(n, 4000))).collect();
    apply_entry(&mut state, "whole", change("one", 0, true, items.clone()));
    apply_entry(&mut state, "activation", Command::Activate { epoch: 1 });
    apply_entry(&mut state, "patch", change("two", 3, false, vec![route(5, 900)]));
    apply_entry(&mut state, "activation of the patch", Command::Activate { epoch: 2 });
    apply_entry(&mut state, "whole again", change("three", 6, true, items));
    let pairs = || state.iter().filter_map(|(key, value)| Some((key.strip_prefix("a/")?, &value[..])));
    let routes = timed("a router's route table", || RouteTable::build(1, 1, pairs()));
    let started = Instant::now();
    let paths: Vec<String> = (0..count).map(|number| format!("/gowu{number}/fi14/2f/some/more")).collect();
    let hosts = ["h0.example", "H1.example:8080", "h2.example", "h3.example", "h4.example", "h5.example", "h6.example"];
    let found = (0..100_000).filter(|n| routes.find_route(hosts[n % count % 7], &paths[n % count]).is_some()).count();
    println!("{found} of 100000 routes found, {:.0} ns each", started.elapsed().as_secs_f64() * 1e4);
}
