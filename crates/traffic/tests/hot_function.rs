//! One function receives more calls than all others, some of them nested calls of other functions' running requests.
//! While it has free slots, its throughput must follow the demand and not be capped by a limit of its owner.

mod common;

use bindings::RouteTable;
use common::ME;
use common::provider::{OwnerWithProvider, six_workers};
use std::collections::BTreeMap;
use std::rc::Rc;
use test_case::test_case;
use traffic::{DispatchOrder, DispatchOutcome, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, Outcome, RequestHead};

/// Time that an instance works on a request, without the nested call.
const WORK_MS: u64 = 40;
const DEADLINE_MS: u64 = 4000;
/// Time from the start of a parent request to its nested call.
const CALL_AFTER_MS: u64 = 10;
/// Number of parent requests in ten that make a nested call.
const CALLING_OF_TEN: u64 = 3;
const INSTANCES: u32 = 40;
/// Number of functions whose requests call the hot one.
const PARENTS: u64 = 5;

fn parent(number: u64) -> String {
    format!("parent{number}")
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// A caller's request to the hot function.
    Own,
    /// A caller's request to one of the functions whose requests call the hot one.
    Parent,
    /// A call of the hot function by a running parent request.
    Nested,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: Kind,
    due: u64,
    /// Dispatch number of the parent's run; `None` for a caller's request.
    parent: Option<u64>,
}

/// A request running on an instance.
#[derive(Clone, Copy, Debug)]
struct Run {
    task: u64,
    /// Time of the next step: the nested call or the end.
    due: u64,
    calls_first: bool,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    made: u64,
    served: u64,
}

impl Tally {
    fn served_fraction(self) -> f64 {
        self.served as f64 / self.made.max(1) as f64
    }
}

/// An owner of all functions, instances that can run everything within their limit, and callers.
struct Simulation {
    owner: OwnerWithProvider,
    next: u64,
    requests: BTreeMap<u64, Request>,
    runs: BTreeMap<u64, Run>,
    tallies: BTreeMap<Kind, Tally>,
    /// One request in this many that reach instances is rejected; `None` for no rejections.
    reject_every: Option<u64>,
}

impl Simulation {
    fn new(reject_every: Option<u64>) -> Simulation {
        let binding = |name: &str| {
            format!(
                r#"{{"route":"/{name}","function":"{name}","class":"ordinary","memory_mb":16,"instance_limit":4,
                "min":{INSTANCES},"max":{INSTANCES},"aim_ms":200,"deadline_ms":{DEADLINE_MS}}}"#
            )
        };
        let names: Vec<String> = (0..PARENTS).map(parent).chain(["hot".to_owned()]).collect();
        let bindings: Vec<(String, String)> =
            names.iter().map(|name| (format!("function-bindings/t/{name}"), binding(name))).collect();
        let declared = bindings.iter().map(|(key, binding)| (key.as_str(), binding.as_bytes()));
        let settings = OwnerSettings { starts_per_second: 10_000.0, ..OwnerSettings::default() };
        let mut owner = OwnerWithProvider::with_settings(settings, ME, 0, six_workers());
        owner.feed(OwnerInput::RouteTable { routes: Rc::new(RouteTable::build(1, 1, declared)) });
        let mut simulation = Simulation {
            owner,
            next: 0,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            tallies: BTreeMap::new(),
            reject_every,
        };
        simulation.advance(3000, 0, 0);
        simulation
    }

    /// Advances time with `own_rate` requests per second to the hot function and `parent_rate` to those that call it.
    fn advance(&mut self, millis: u64, own_rate: u64, parent_rate: u64) {
        let (mut own, mut parents) = (0, 0);
        for _ in 0..millis {
            self.owner.at += 1;
            if self.owner.at.is_multiple_of(10) {
                self.owner.feed(OwnerInput::Tick);
            }
            (own, parents) = (own + own_rate, parents + parent_rate);
            while own >= 1000 {
                own -= 1000;
                self.call(Kind::Own);
            }
            while parents >= 1000 {
                parents -= 1000;
                self.call(Kind::Parent);
            }
            self.step_runs();
            self.process_outputs();
        }
    }

    fn call(&mut self, kind: Kind) {
        let due = self.owner.at + DEADLINE_MS;
        self.send(Request { kind, due, parent: None });
    }

    fn send(&mut self, request: Request) {
        self.next += 1;
        self.requests.insert(self.next, request);
        self.tallies.entry(request.kind).or_default().made += 1;
        let function = match request.kind {
            Kind::Parent => format!("t/{}", parent(self.next % PARENTS)),
            Kind::Own | Kind::Nested => "t/hot".to_owned(),
        };
        let message = ForwardMessage::ForwardUncounted {
            task: self.next,
            function: function.as_str().into(),
            binding: function.as_str().into(),
            remaining_ms: (request.due - self.owner.at) as u32,
            resends: 0,
            respond_async: 0,
            key: format!("a-{}", self.next).as_str().into(),
            head: wire::to_bytes(&RequestHead::default()).into(),
            body: self.next.to_le_bytes().to_vec().into(),
        };
        self.owner.feed(OwnerInput::Forward { from: ME, message });
    }

    fn process_outputs(&mut self) {
        while !self.owner.others.is_empty() || !self.owner.starts.is_empty() {
            for order in std::mem::take(&mut self.owner.starts) {
                let id = format!("i-{}", order.nonce);
                self.owner.accepted(&order.nonce, &id);
                self.owner.probed(&id, true);
            }
            for output in std::mem::take(&mut self.owner.others) {
                match output {
                    OwnerOutput::Dispatch(order) => self.start_run(&order),
                    OwnerOutput::Forward { message: ForwardMessage::Answer { task, outcome, status, .. }, .. } => {
                        self.record_answer(task, outcome == Outcome::Answered && status == 200);
                    }
                    _ => {}
                }
            }
        }
    }

    fn start_run(&mut self, order: &DispatchOrder) {
        if self.reject_every.is_some_and(|of| order.number.is_multiple_of(of)) {
            return self.reject(order.number);
        }
        let task = u64::from_le_bytes(order.body[..].try_into().expect("the number that was sent"));
        let calls_first = self.requests[&task].kind == Kind::Parent && task % 10 < CALLING_OF_TEN;
        let due = self.owner.at + if calls_first { CALL_AFTER_MS } else { WORK_MS };
        self.runs.insert(order.number, Run { task, due, calls_first });
    }

    fn step_runs(&mut self) {
        let now = self.owner.at;
        let due: Vec<u64> = self.runs.iter().filter(|(_, run)| run.due <= now).map(|(order, _)| *order).collect();
        for order in due {
            let run = self.runs[&order];
            if run.calls_first {
                self.runs.insert(order, Run { due: u64::MAX, calls_first: false, ..run });
                let due = self.requests[&run.task].due;
                self.send(Request { kind: Kind::Nested, due, parent: Some(order) });
            } else {
                self.end(order, 200);
            }
        }
    }

    fn end(&mut self, order: u64, status: u16) {
        self.runs.remove(&order);
        let outcome =
            DispatchOutcome::Complete { status, head: Vec::new(), body: Vec::new().into(), turned_away: false };
        self.owner.feed(OwnerInput::Dispatched { number: order, outcome });
    }

    fn reject(&mut self, order: u64) {
        let outcome =
            DispatchOutcome::Complete { status: 503, head: Vec::new(), body: Vec::new().into(), turned_away: true };
        self.owner.feed(OwnerInput::Dispatched { number: order, outcome });
    }

    /// Records an answer. If it belongs to a nested call, the parent continues, or fails together with the call.
    fn record_answer(&mut self, task: u64, is_served: bool) {
        let Some(request) = self.requests.remove(&task) else { return };
        self.tallies.entry(request.kind).or_default().served += u64::from(is_served);
        match request.parent {
            Some(order) if is_served => {
                let due = self.owner.at + WORK_MS - CALL_AFTER_MS;
                self.runs.entry(order).and_modify(|run| run.due = due);
            }
            Some(order) => self.end(order, 500),
            None => {}
        }
    }

    fn free_slots(&mut self) -> u64 {
        self.owner.owner.status()["functions"]["t/hot"]["free_slots"].as_u64().unwrap_or_default()
    }
}

#[test_case(300, 1000, None; "half nested calls")]
#[test_case(900, 0, None; "callers only")]
#[test_case(900, 0, Some(1500); "occasional rejections")]
fn throughput_of_a_busy_function_is_limited_only_by_its_slots(own: u64, parents: u64, reject_every: Option<u64>) {
    let mut simulation = Simulation::new(reject_every);
    simulation.advance(10_000, own, parents);
    let free = simulation.free_slots();
    simulation.advance(DEADLINE_MS + 1000, 0, 0);
    let summary = format!("{:?}, {free} slots free at the end", simulation.tallies);
    for tally in simulation.tallies.values() {
        assert!(tally.served_fraction() > 0.98, "not all requests were served: {summary}");
    }
    assert!(free > u64::from(INSTANCES) * 2, "less than half of the slots are needed: {summary}");
}
