//! `hollow`: measures what the design costs at sizes one machine cannot run for real.

use hollow::{Order, What, offline, parse, point, series, tell};
use std::cell::RefCell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let order = match parse(lexopt::Parser::from_env()) {
        Ok(Some(order)) => order,
        Ok(None) => return ExitCode::SUCCESS,
        Err(told) => return refuse(&told),
    };
    if order.what != What::Run {
        return match offline(&order) {
            Ok(()) => ExitCode::SUCCESS,
            Err(told) => fail(&told),
        };
    }
    for program in ["registry", "router"] {
        let path = order.programs.join(program);
        if !path.is_file() {
            return refuse(&format!("--programs: {} is not there", path.display()));
        }
    }
    let ended: Rc<RefCell<Result<(), String>>> = Rc::new(RefCell::new(Ok(())));
    let told = ended.clone();
    kernel::local(async move {
        let end = tokio::select! {
            end = sweep(&order) => end,
            () = kernel::wait_for_signal() => Err("interrupted".into()),
        };
        *told.borrow_mut() = end;
    });
    let _ = std::fs::remove_dir_all(own_folder());
    match ended.replace(Ok(())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(told) => fail(&told),
    }
}

fn refuse(told: &str) -> ExitCode {
    eprintln!("hollow: {told}");
    ExitCode::from(2)
}

fn fail(told: &str) -> ExitCode {
    eprintln!("hollow: {told}");
    ExitCode::FAILURE
}

/// Where a run keeps what it needs if it is told nothing else; removed however it ends.
fn own_folder() -> PathBuf {
    std::env::temp_dir().join(format!("hollow-{}", std::process::id()))
}

async fn sweep(order: &Order) -> Result<(), String> {
    let folder = order.folder.clone().unwrap_or_else(own_folder);
    let mut points = Vec::new();
    let mut ended = Ok(());
    let title = format!(
        "hollow fleets: {} functions, {} awake with {} instances, {} real routers, {} s quiet{}",
        order.functions[0],
        order.awake[0],
        order.instances[0],
        order.routers,
        order.seconds,
        if order.mesh { ", full mesh" } else { "" }
    );
    for nodes in &order.nodes {
        let part: PathBuf = folder.join(format!("{nodes}"));
        std::fs::create_dir_all(&part).map_err(|error| format!("{}: {error}", part.display()))?;
        match point(order, *nodes, &part).await {
            Ok(told) => {
                if let Some(error) = told["fault"].as_str() {
                    ended = Err(format!("{nodes} nodes: {error}"));
                }
                points.push(told);
                tell(&title, &points, &series(&points), order.out.as_deref())?;
            }
            Err(told) => {
                ended = Err(format!("{nodes} nodes: {told}"));
                break;
            }
        }
        eprintln!("{nodes} nodes measured");
    }
    ended
}
