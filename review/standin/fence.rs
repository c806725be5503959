//! Starts and stops of one function by two holders under one fence: a worker is emptied while an instance on it works,
//! and the machine that holds the function is stopped in order.

use super::*;

/// Time in which the machines have read the platform's list.
const LIST_MS: u64 = 1100;
const FUNCTIONS: usize = 8;
const MACHINES: usize = 4;
/// What the settings file says beyond that of a small deployment where duties are fenced.
const FENCING: &str = "contracts=base,drain,config,cost,retry,recover,leader,functions\nbounds.fencing=true\n\
    bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\n";
/// A machine counts as lost for this long after it is back.
const CATCH_UP_MS: u64 = 4000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let service = |number: usize| Service {
        name: format!("settle{number}"),
        memory_mb: 512,
        boot_ms: 500,
        slots: 4,
        work_ms: 1500,
    };
    let services: Vec<Service> = (0..FUNCTIONS).map(service).collect();
    let platform = Platform::start(record, services.clone());
    let bounds = format!("{BOUNDS}{FENCING}");
    let mut deployment = Deployment::new(record, &platform, 3, MACHINES - 3, &bounds);
    let all: Vec<usize> = (0..MACHINES).collect();
    all.iter().for_each(|number| deployment.start(*number, true));
    if !deployment.configure(0, &configuration(1, &services, "non_idempotent", 8000, 1, ""), ms(20_000)) {
        return Verdict::CannotRun("the configuration was not acknowledged".into());
    }
    if !deployment.wait_ready(&all, ms(15_000)) {
        return Verdict::CannotRun("the machines were not ready".into());
    }
    sleep_ms(4500);
    let fronts: Vec<SocketAddr> = all.iter().map(|number| deployment.front(*number)).collect();
    let send = |front: usize, function: usize, id: &str| {
        let headers = [("Host", HOST), ("Request-Id", id), ("Request-Deadline", "8000")];
        record.line(&format!("client sends {id}"));
        let answer = call(fronts[front], "POST", &format!("/settle{function}/book"), &headers, b"{}", ms(8500));
        match answer {
            Ok(answer) => record.line(&format!("client gets {} for {id}", answer.status)),
            Err(error) => record.line(&format!("client gets no answer for {id}: {error}")),
        }
    };
    let is_over = AtomicBool::new(false);
    let number = AtomicU64::new(0);
    thread::scope(|scope| {
        let (send, is_over, number) = (&send, &is_over, &number);
        // Waves of requests for each function, to all machines in turn, so that the number of instances changes.
        for function in 0..FUNCTIONS {
            scope.spawn(move || {
                for wave in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    for _ in 0..2 + 4 * (wave % 2) {
                        let number = number.fetch_add(1, Ordering::SeqCst);
                        scope.spawn(move || send(number as usize % MACHINES, function, &format!("q{number:04}")));
                        sleep_ms(60);
                    }
                    sleep_ms(500);
                }
            });
        }
        sleep_ms(7000);
        if !trouble {
            sleep_ms(43_000);
        } else {
            // Each machine is stopped in order and started again, one at a time; a worker is emptied before each stop.
            for stopped in (0..MACHINES).rev() {
                platform.drain_busiest_worker();
                sleep_ms(LIST_MS);
                deployment.signal(stopped, "TERM");
                deployment.wait_end(stopped, ms(6000));
                deployment.start(stopped, false);
                deployment.wait_ready(&[stopped], ms(8000));
                sleep_ms(CATCH_UP_MS);
            }
        }
        sleep_ms(3000);
        is_over.store(true, Ordering::SeqCst);
    });
    let duties = platform.duties.lock().unwrap().clone();
    let mut holders: BTreeMap<(String, u64), BTreeSet<String>> = BTreeMap::new();
    for duty in &duties {
        holders.entry((duty.service.clone(), duty.fence)).or_default().insert(duty.holder.clone());
    }
    let shared: Vec<String> = holders
        .iter()
        .filter(|(_, holders)| holders.len() > 1)
        .map(|((service, fence), holders)| format!("{service} fence {fence} by {holders:?}"))
        .collect();
    match shared.is_empty() {
        true => Verdict::Held(format!("{} starts and stops", duties.len())),
        false => Verdict::Broken(shared.join("; ")),
    }
}
