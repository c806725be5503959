//! The result of a sweep: points and slopes as JSON, as text, and as plots.

use crate::slopes::{Series, plot};
use serde_json::{Value, json};
use std::path::Path;

/// What is read out of each fleet's point: a name, its unit, and where it stands.
const READ: [(&str, &str, &str); 38] = [
    ("tail cores", "cores", "quiet/who/tail/process/cores"),
    ("head cores", "cores", "quiet/who/head/process/cores"),
    ("middle cores", "cores", "quiet/who/middle/process/cores"),
    ("tail memory", "MB", "quiet/who/tail/process/resident_mb"),
    ("tail memory, most ever", "MB", "quiet/who/tail/process/peak_mb"),
    ("head memory", "MB", "quiet/who/head/process/resident_mb"),
    ("tail messages in", "/s", "quiet/who/tail/in/all/messages"),
    ("tail messages out", "/s", "quiet/who/tail/out/all/messages"),
    ("tail bytes in", "B/s", "quiet/who/tail/in/all/bytes"),
    ("tail bytes out", "B/s", "quiet/who/tail/out/all/bytes"),
    ("tail proofs out", "/s", "quiet/who/tail/out/hold.proof/messages"),
    ("head bytes in", "B/s", "quiet/who/head/in/all/bytes"),
    ("head bytes out", "B/s", "quiet/who/head/out/all/bytes"),
    ("middle bytes in", "B/s", "quiet/who/middle/in/all/bytes"),
    ("tail file writes", "B/s", "quiet/who/tail/process/asked_bytes"),
    ("tail disk writes", "B/s", "quiet/who/tail/process/disk_bytes"),
    ("router cores", "cores", "quiet/who/router-0/process/cores"),
    ("router memory", "MB", "quiet/who/router-0/process/resident_mb"),
    ("router sockets", "", "quiet/who/router-0/process/sockets"),
    ("router messages in", "/s", "quiet/who/router-0/in/all/messages"),
    ("router messages out", "/s", "quiet/who/router-0/out/all/messages"),
    ("router bytes in", "B/s", "quiet/who/router-0/in/all/bytes"),
    ("router bytes out", "B/s", "quiet/who/router-0/out/all/bytes"),
    ("router beats out", "/s", "quiet/who/router-0/out/carry.beat/messages"),
    ("platform list bytes, real routers", "B/s", "quiet/platform/bytes"),
    ("hollow node renewals out", "/s", "quiet/who/hollow/out/hold.renew/messages"),
    ("hollow node beats out", "/s", "quiet/who/hollow/out/carry.beat/messages"),
    ("hollow node bytes out", "B/s", "quiet/who/hollow/out/all/bytes"),
    ("hollow node bytes in", "B/s", "quiet/who/hollow/in/all/bytes"),
    ("hollow node tables out", "B/s", "quiet/who/hollow/out/carry.table/bytes"),
    ("hollow node samples out", "B/s", "quiet/who/hollow/out/plan.samples/bytes"),
    ("hollow node plan asks out", "/s", "quiet/who/hollow/out/plan.ask/messages"),
    ("change in force, most", "ms", "changes/most_in_force_ms"),
    ("lost zone: roster without it", "ms", "lost/roster_ms"),
    ("hollow node messages out", "/s", "quiet/who/hollow/out/all/messages"),
    ("restart: back", "ms", "restarts/back_ms/0"),
    ("restart: roster pushed, each", "B", "restarts/each/hold.roster"),
    ("restart: configuration sent, each", "B", "restarts/each/hold.piece"),
];

pub fn series(points: &[Value]) -> Vec<Series> {
    let read = READ.iter().map(|(name, unit, path)| {
        let each = points.iter().filter_map(|point| {
            let y = point.pointer(&format!("/phases/{path}"))?.as_f64()?;
            Some((point["nodes"].as_f64()?, y))
        });
        Series { name: (*name).into(), unit: (*unit).into(), points: each.collect() }
    });
    read.filter(|series| !series.points.is_empty()).collect()
}

/// Prints the slopes, and writes JSON, text and plots where a file is named.
pub fn tell(title: &str, points: &[Value], series: &[Series], out: Option<&Path>) -> Result<(), String> {
    let text: String = series.iter().map(|one| one.line() + "\n").collect();
    println!("{title}\n{text}");
    let Some(out) = out else { return Ok(()) };
    let slopes: Vec<Value> = series.iter().map(Series::to_json).collect();
    let full = json!({"title": title, "points": points, "slopes": slopes});
    let write = |path: &Path, words: String| {
        std::fs::write(path, words).map_err(|error| format!("{}: {error}", path.display()))
    };
    write(out, format!("{full:#}\n"))?;
    write(&out.with_extension("txt"), format!("{title}\n{text}"))?;
    write(&out.with_extension("svg"), plot(title, series))
}
