//! Callers close their connections: before an instance of their function has started, and while one works.

use super::*;

const FUNCTIONS: usize = 12;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let service = |number: usize| Service {
        name: format!("load{number}"),
        memory_mb: 512,
        boot_ms: 1400,
        slots: 4,
        work_ms: 1500,
    };
    let services: Vec<Service> = (0..FUNCTIONS).map(service).collect();
    let platform = Platform::start(record, services.clone());
    let mut deployment = Deployment::new(record, &platform, 3, 0, BOUNDS);
    (0..3).for_each(|number| deployment.start(number, true));
    if !deployment.configure(0, &configuration(1, &services, "idempotent", 4000, 2, ""), ms(20_000)) {
        return Verdict::CannotRun("the configuration was not acknowledged".into());
    }
    if !deployment.wait_ready(&[0, 1, 2], ms(15_000)) {
        return Verdict::CannotRun("the machines were not ready".into());
    }
    // All machines are in touch: nothing happens to them from here on.
    sleep_ms(4500);
    let fronts: Vec<SocketAddr> = (0..3).map(|number| deployment.front(number)).collect();
    // Sends a request, and closes the connection after `stays_ms` if the caller leaves. Returns when it left.
    let send = |front: usize, function: usize, id: &str, stays_ms: u64| -> Option<u64> {
        let headers = [("Host", HOST), ("Request-Id", id), ("Request-Deadline", "4000")];
        let mut stream = TcpStream::connect(fronts[front]).ok()?;
        stream.write_all(&request_bytes("GET", &format!("/load{function}/game"), &headers, b"")).ok()?;
        record.line(&format!("client sends {id}"));
        if trouble {
            sleep_ms(stays_ms);
            let _ = stream.shutdown(std::net::Shutdown::Both);
            drop(stream);
            record.line(&format!("client closes the connection of {id}"));
            return Some(record.now());
        }
        let _ = stream.set_read_timeout(Some(ms(4500)));
        let answer = read_message(&mut BufReader::new(stream));
        let line = answer.ok().flatten().map(|message| message.first_line);
        record.line(&format!("client gets {line:?} for {id}"));
        None
    };
    let mut left: BTreeMap<String, u64> = BTreeMap::new();
    let mut wave = |name: &str, stays_ms: u64| {
        let results: Vec<(String, Option<u64>)> = thread::scope(|scope| {
            let send = &send;
            let each = |function: usize| {
                let id = format!("{name}{function:02}");
                scope.spawn(move || (id.clone(), send(function % 3, function, &id, stays_ms)))
            };
            let threads: Vec<_> = (0..FUNCTIONS).map(each).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        left.extend(results.into_iter().filter_map(|(id, at)| Some((id, at?))));
    };
    // No function has an instance: each request waits until one has started.
    wave("early", 200);
    sleep_ms(5000);
    // Each function has had an instance lately, and gets one again.
    wave("later", 2000);
    sleep_ms(5000);
    let runs = platform.runs.lock().unwrap().clone();
    let finished = platform.finished.lock().unwrap().clone();
    // Half a second, and half a second more for what was on its way.
    let reached = |(id, at): &(&String, &u64)| runs.iter().any(|run| run.request_id == **id && run.at > **at + 500);
    let late: Vec<&String> = left.iter().filter(reached).map(|(id, _)| id).collect();
    let run_at = |id: &String| runs.iter().find(|run| run.request_id == *id).map(|run| run.at);
    let end_of = |id: &String| finished.iter().find(|(_, known)| known == id).map(|(at, _)| *at);
    // Requests at work when their caller left, that would have lasted for half a second more.
    let at_work = left.iter().filter(|(id, at)| run_at(id).is_some_and(|run| run < **at && run + 1500 > **at + 500));
    let at_work: Vec<(&String, &u64)> = at_work.collect();
    let still = at_work.iter().filter(|(id, at)| end_of(id).is_some_and(|end| end > **at + 500)).count();
    let text = format!(
        "{} of {} requests reached an instance over half a second after their caller had left; {still} of {} were still \
         at work half a second after",
        late.len(),
        left.len(),
        at_work.len()
    );
    if late.len() > 3 || still * 4 > at_work.len() { Verdict::Broken(text) } else { Verdict::Held(text) }
}
