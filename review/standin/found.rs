//! A machine of the core is lost and comes back while the whole system starts for the first time.

use super::*;

/// All machines start within this time of each other.
const START_SPREAD_MS: u64 = 300;
/// When the first machine is killed, after its start: the last one has not started yet.
const KILLED_AFTER_MS: u64 = 250;
const DOWN_MS: u64 = 500;
/// How long the operator sends the first configuration, and callers send requests.
const SENT_FOR_MS: u64 = 45_000;
const CONTACT_MS: u64 = 4000;
const ACK_TIMEOUT_MS: u64 = 5000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let service = Service { name: "savekeep".into(), memory_mb: 512, boot_ms: 1400, slots: 4, work_ms: 30 };
    let services = vec![service];
    let platform = Platform::start(record, services.clone());
    let mut deployment = Deployment::new(record, &platform, 3, 1, BOUNDS);
    deployment.start(0, true);
    let first = Instant::now();
    deployment.start(1, true);
    deployment.start(3, true);
    sleep_ms(KILLED_AFTER_MS.saturating_sub(first.elapsed().as_millis() as u64));
    if trouble {
        deployment.signal(0, "KILL");
        deployment.wait_end(0, ms(2000));
    }
    let killed = Instant::now();
    sleep_ms(START_SPREAD_MS.saturating_sub(first.elapsed().as_millis() as u64));
    deployment.start(2, true);
    if trouble {
        sleep_ms(DOWN_MS.saturating_sub(killed.elapsed().as_millis() as u64));
        deployment.empty_disk(0);
        // Only the start of the whole system, with empty disks, is told to found it.
        deployment.start(0, false);
    }
    let back = record.now();
    let body = configuration(1, &services, "idempotent", 4000, 2, "");
    // The operator sends it until it is taken.
    let is_acknowledged = deployment.configure(0, &body, ms(SENT_FOR_MS));
    let took = record.now() - back;
    let fronts: Vec<SocketAddr> = (0..4).map(|number| deployment.front(number)).collect();
    let send = |number: usize| -> bool {
        let id = format!("q{number:02}");
        let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Request-Deadline", "4000")];
        record.line(&format!("client sends {id}"));
        let answer = call(fronts[number % 4], "GET", "/savekeep/game", &headers, b"", ms(4500));
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!("client gets {status} for {id}"));
        status == 200
    };
    let served = thread::scope(|scope| {
        let send = &send;
        let threads: Vec<_> = (0..12).map(|number| scope.spawn(move || send(number))).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|is_served| *is_served).count()
    });
    let text = format!(
        "the first configuration was {} in {took} ms after all machines ran; {served} of 12 requests were served",
        if is_acknowledged { "acknowledged" } else { "not acknowledged" }
    );
    let is_late = !is_acknowledged && took > CONTACT_MS + ACK_TIMEOUT_MS;
    if is_late || served == 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
