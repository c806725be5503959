//! Operations under a key are at work when the machine that holds their functions is stopped in order. Callers reach the
//! system through other machines, and try again with the same key after a failure.

use super::*;

const FUNCTIONS: usize = 40;
const MACHINES: usize = 4;
/// The machine that is stopped. It has no disk, so the core stays settled and all other machines in touch.
const STOPPED: usize = 3;
const DEADLINE_MS: u64 = 8000;
/// A caller's further tries, and the pause before each.
const FURTHER_TRIES: usize = 2;
const PAUSE_MS: u64 = 350;
/// Time after the end of a run in which it still counts as at work.
const SLACK_MS: u64 = 250;
/// More false refusals than this, and one in 500 of all requests, break DENIED.
const DENIED: usize = 5;
const TENANTS: &str = ",\"tenant_table\":[{\"name\":\"studio\",\"api_keys\":[\"k-of-studio\"]}]";
/// What the settings file says beyond that of a small deployment where requests have keys.
const KEYS: &str = "contracts=base,drain,config,cost,retry,recover,tenants,functions\nbounds.key_window_s=60\n";

/// One try of an operation.
struct Try {
    key: String,
    sent: u64,
    answered: u64,
    status: u16,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let service = |number: usize| Service {
        name: format!("trade{number}"),
        memory_mb: 512,
        boot_ms: 500,
        slots: 4,
        work_ms: 1500,
    };
    let services: Vec<Service> = (0..FUNCTIONS).map(service).collect();
    let platform = Platform::start(record, services.clone());
    let mut deployment = Deployment::new(record, &platform, 3, MACHINES - 3, &format!("{BOUNDS}{KEYS}"));
    let all: Vec<usize> = (0..MACHINES).collect();
    all.iter().for_each(|number| deployment.start(*number, true));
    if !deployment.configure(0, &configuration(1, &services, "keyed", DEADLINE_MS, 1, TENANTS), ms(20_000)) {
        return Verdict::CannotRun("the configuration was not acknowledged".into());
    }
    if !deployment.wait_ready(&all, ms(15_000)) {
        return Verdict::CannotRun("the machines were not ready".into());
    }
    sleep_ms(4500);
    let fronts: Vec<SocketAddr> = all.iter().map(|number| deployment.front(*number)).collect();
    let tries: Mutex<Vec<Try>> = Mutex::default();
    let send = |front: usize, function: usize, key: &str, number: usize| -> u16 {
        let id = format!("{key}-{number}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Request-Deadline", "8000"),
            ("Idempotency-Key", key),
            ("Key", "k-of-studio"),
        ];
        let sent = record.now();
        record.line(&format!("client sends {id} key {key}"));
        let path = format!("/trade{function}/swap");
        let answer = call(fronts[front], "POST", &path, &headers, b"{\"gives\":3}", ms(DEADLINE_MS + 500));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.line(&format!("client gets {status} for {id}"));
        tries.lock().unwrap().push(Try { key: key.to_owned(), sent, answered: record.now(), status });
        status
    };
    // One operation for each function, to learn which machine holds it.
    thread::scope(|scope| {
        for function in 0..FUNCTIONS {
            let send = &send;
            scope.spawn(move || send(function % MACHINES, function, &format!("first{function}"), 1));
        }
    });
    let holder = |function: usize| {
        let duties = platform.duties.lock().unwrap();
        let last = duties.iter().rev().find(|duty| duty.service == format!("trade{function}"));
        last.and_then(|duty| deployment.machines.iter().position(|machine| machine.name == duty.holder))
    };
    let functions: Vec<usize> = (0..FUNCTIONS).filter(|function| holder(*function) == Some(STOPPED)).collect();
    record.line(&format!("machine {} holds the functions {functions:?}", deployment.machines[STOPPED].name));
    if functions.is_empty() {
        return Verdict::CannotRun("the machine holds no function".into());
    }
    sleep_ms(1500);
    let others: Vec<usize> = all.iter().copied().filter(|machine| *machine != STOPPED).collect();
    let is_at_work = |function: usize| {
        let runs = platform.runs.lock().unwrap();
        runs.iter().any(|run| run.key == format!("trade-{function}"))
    };
    thread::scope(|scope| {
        let (send, others) = (&send, &others);
        for function in &functions {
            scope.spawn(move || {
                let key = format!("trade-{function}");
                // The same key again after any failure, on another machine.
                for number in 0..=FURTHER_TRIES {
                    if send(others[number % others.len()], *function, &key, number) == 200 {
                        break;
                    }
                    sleep_ms(PAUSE_MS);
                }
            });
        }
        let limit = Instant::now() + ms(5000);
        while !functions.iter().all(|function| is_at_work(*function)) && Instant::now() < limit {
            sleep_ms(5);
        }
        if trouble {
            deployment.signal(STOPPED, "TERM");
            deployment.wait_end(STOPPED, ms(6000));
        }
    });
    let runs = platform.runs.lock().unwrap().clone();
    let finished = platform.finished.lock().unwrap().clone();
    let end_of = |run: &Run| {
        let end = finished.iter().find(|(_, id)| *id == run.request_id);
        end.map_or(u64::MAX, |(at, _)| *at)
    };
    // A 409 is true if a run of its key was at work between its try and the answer, or had just ended.
    let is_false = |one: &Try| {
        let at_work = |run: &&Run| {
            run.key == one.key && run.at <= one.answered && end_of(run).saturating_add(SLACK_MS) >= one.sent
        };
        one.status == 409 && !runs.iter().any(|run| at_work(&run))
    };
    let mut tries = tries.lock().unwrap();
    tries.retain(|one| one.key.starts_with("trade-"));
    let false_ones = tries.iter().filter(|one| is_false(one)).count();
    let keys: BTreeSet<&String> = tries.iter().map(|one| &one.key).collect();
    let unserved = keys.iter().filter(|key| !tries.iter().any(|one| one.key == ***key && one.status == 200)).count();
    let text = format!(
        "{false_ones} of {} tries were told 409 while no run of their key was at work{}; {unserved} of {} operations got \
         no answer from their run",
        tries.len(),
        if false_ones > DENIED + tries.len() / 500 { " (MIXED and DENIED)" } else { "" },
        keys.len()
    );
    if false_ones > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
