//! Measures the cost of operations with run-once keys in a chain of registries, with the real state machine, data files
//! and frames, and with simulated links and syncs:
//! `cargo run --release -p control --example keyed_cost -- [operations per second] [seconds] [bytes per answer] [replicas] [window]`.

use chain::{ChainReplica, Input, Output, Store, Timing};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use wire::{ChainMessage, Command, NodeAddress, NodeId, Outcome, ProposalId, StoredAnswer, from_bytes, to_bytes};

const STEP: Duration = Duration::from_micros(500);
const LINK_DELAY: Duration = Duration::from_micros(500);
const SYNC_TIME: Duration = Duration::from_millis(2);
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const SETTLING_TIME: Duration = Duration::from_secs(8);
/// Time from the proposal of a claim until its answer is recorded.
const RUN_TIME: Duration = Duration::from_millis(60);

enum Event {
    Message { to: NodeId, from: NodeId, bytes: Vec<u8> },
    Written { at: NodeId, ticket: u64 },
}

#[derive(Default)]
struct Costs {
    steps: Duration,
    writes: Duration,
    write_count: u64,
    frames: u64,
    frame_bytes: u64,
    committed: u64,
}

struct Chain {
    replicas: BTreeMap<NodeId, (ChainReplica, Store)>,
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
    now: Duration,
    costs: Costs,
    proposed_at: BTreeMap<u64, Duration>,
    latencies: Vec<Duration>,
}

fn node(id: NodeId) -> NodeAddress {
    NodeAddress { id, address: format!("10.0.0.{id}:1").into() }
}

impl Chain {
    fn bootstrap(folder: &std::path::Path, count: u64) -> Chain {
        let open = |id: NodeId| {
            let (store, stored) = Store::open(&folder.join(format!("{id}")), "cost", node(id)).expect("a data file");
            let replica = ChainReplica::new(node(id), stored, Timing::default(), control::apply, Duration::ZERO);
            (id, (replica.with_founders(count as usize), store))
        };
        Chain {
            replicas: (1..=count).map(open).collect(),
            events: BTreeMap::new(),
            last_number: 0,
            now: Duration::ZERO,
            costs: Costs::default(),
            proposed_at: BTreeMap::new(),
            latencies: Vec::new(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_number += 1;
        self.events.insert((self.now + delay, self.last_number), event);
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &ChainMessage) {
        let bytes = to_bytes(message);
        self.costs.frames += 1;
        self.costs.frame_bytes += bytes.len() as u64;
        self.schedule(LINK_DELAY, Event::Message { to, from, bytes });
    }

    fn step(&mut self, id: NodeId, input: Input) {
        let started = Instant::now();
        let Some((replica, store)) = self.replicas.get_mut(&id) else { return };
        let outputs = replica.step(self.now, input);
        self.costs.steps += started.elapsed();
        let mut tickets = Vec::new();
        for output in &outputs {
            if let Output::Write { ticket, batch } = output {
                let started = Instant::now();
                store.write(batch).expect("a write");
                self.costs.writes += started.elapsed();
                self.costs.write_count += 1;
                tickets.push(*ticket);
            }
        }
        tickets.into_iter().for_each(|ticket| self.schedule(SYNC_TIME, Event::Written { at: id, ticket }));
        let ids: Vec<NodeId> = self.replicas.keys().copied().filter(|other| *other != id).collect();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(id, to, &message),
                Output::SendSeeds { message } => ids.iter().for_each(|to| self.send(id, *to, &message)),
                Output::ProposalDone { op, appended, .. } => {
                    assert!(appended, "the chain appends every proposal");
                    self.costs.committed += 1;
                    let proposed_at = self.proposed_at.remove(&op.number).unwrap_or_default();
                    self.latencies.push(self.now - proposed_at);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, until: Duration, mut each_step: impl FnMut(&mut Chain)) {
        while self.now < until {
            self.now += STEP;
            each_step(self);
            if self.now.as_micros().is_multiple_of(TICK_INTERVAL.as_micros()) {
                let ids: Vec<NodeId> = self.replicas.keys().copied().collect();
                ids.into_iter().for_each(|id| self.step(id, Input::Tick));
            }
            while let Some(due) = self.events.first_entry().filter(|due| due.key().0 <= self.now) {
                match due.remove() {
                    Event::Message { to, from, bytes } => {
                        let message = from_bytes(&bytes).expect("a message");
                        self.step(to, Input::Message { from, message });
                    }
                    Event::Written { at, ticket } => self.step(at, Input::Written { ticket }),
                }
            }
        }
    }

    /// Proposes a command at the tail, as routers do.
    fn propose(&mut self, command: &Command) {
        let Some(tail) = self.replicas[&1].0.view().chain.as_slice().last().copied() else { return };
        self.last_number += 1;
        let op = ProposalId { origin: tail, number: self.last_number };
        self.proposed_at.insert(op.number, self.now);
        self.step(tail, Input::Propose { op, body: to_bytes(command) });
    }
}

fn claim(number: u64, ticks: u32) -> Command {
    let scope = format!("consumer/main/tenant-{}/k-{number:016x}", number % 79);
    let digest = vec![number as u8; 32].into();
    Command::ClaimForTicks { scope: scope.into(), digest, member: 7, incarnation: 1, request_id: number, ticks }
}

fn answer(number: u64, bytes: usize) -> Command {
    let scope = format!("consumer/main/tenant-{}/k-{number:016x}", number % 79);
    let (head, body) = (vec![1; 120].into(), vec![2; bytes].into());
    let answer = to_bytes(&StoredAnswer { outcome: Outcome::Answered, status: 200, head, body }).into();
    Command::RecordAnswer { scope: scope.into(), member: 7, incarnation: 1, request_id: number, answer }
}

fn process_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|nanos| nanos.parse().ok()).unwrap_or_default())
}

fn resident_kilobytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or_default()
}

fn main() {
    let arguments: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let argument = |at: usize, default: u64| arguments.get(at).copied().unwrap_or(default);
    let (rate, seconds, bytes, count, window) =
        (argument(0, 276), argument(1, 220), argument(2, 1200), argument(3, 6), argument(4, 65));
    let folder: PathBuf = std::env::temp_dir().join(format!("heronlink-keyed-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut chain = Chain::bootstrap(&folder, count);
    chain.run(SETTLING_TIME, |_| {});
    assert_eq!(chain.replicas[&1].0.view().chain.as_slice().len() as u64, count, "all replicas are in the chain");
    chain.costs = Costs::default();
    let (started, cpu_time) = (chain.now, process_cpu_time());
    let (mut claimed, mut answered, mut ticks, mut largest_file) = (0, 0, 0, 0);
    let file = folder.join("1");
    chain.run(SETTLING_TIME + Duration::from_secs(seconds), |chain| {
        let passed = chain.now - started;
        let due = |passed: Duration| (passed.as_secs_f64() * rate as f64) as u64;
        while claimed < due(passed) {
            claimed += 1;
            chain.propose(&claim(claimed, window as u32));
        }
        while answered < due(passed.saturating_sub(RUN_TIME)) {
            answered += 1;
            if bytes > 0 {
                chain.propose(&answer(answered, bytes as usize));
            }
        }
        if passed.as_secs() > ticks {
            ticks = passed.as_secs();
            chain.propose(&Command::Tick { number: ticks });
            largest_file = largest_file.max(std::fs::metadata(&file).map_or(0, |metadata| metadata.len()));
        }
    });
    let cpu_time = process_cpu_time() - cpu_time;
    let cores_per_replica = |time: Duration| time.as_secs_f64() / seconds as f64 / count as f64;
    let Costs { steps, writes, write_count, frames, frame_bytes, committed } = chain.costs;
    chain.latencies.sort();
    let latency =
        |percent: usize| chain.latencies.get(chain.latencies.len() * percent / 100).copied().unwrap_or_default();
    let pairs = chain.replicas[&1].0.committed_state().len();
    println!("{rate} operations per second for {seconds} s, answers of {bytes} B, window {window} s, {count} replicas");
    println!("entries committed: {committed}; pairs in the state: {pairs}");
    println!(
        "CPU cores per replica: {:.4} in total; elapsed: steps {:.4}, writes {:.4}",
        cores_per_replica(cpu_time),
        cores_per_replica(steps),
        cores_per_replica(writes)
    );
    println!(
        "per second and replica: {:.0} writes, {:.0} frames, {:.0} bytes sent",
        write_count as f64 / seconds as f64 / count as f64,
        frames as f64 / seconds as f64 / count as f64,
        frame_bytes as f64 / seconds as f64 / count as f64
    );
    println!("from proposal to reply: median {:?}, 99th percentile {:?}", latency(50), latency(99));
    println!("largest data file: {} KB; memory of all replicas: {} KB", largest_file / 1024, resident_kilobytes());
    let _ = std::fs::remove_dir_all(&folder);
}
