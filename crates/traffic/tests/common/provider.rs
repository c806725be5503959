//! An owner connected to a simulated provider: its orders, and the provider's reports.

use super::{ME, membership, ms};
use bindings::RouteTable;
use instance_provider::{
    InstanceLine, InstanceState, Listing, ProviderOrder, ProviderReport, StartOrder, StartReply, StopReply, WorkerLine,
};
use std::rc::Rc;
use std::time::{Duration, Instant};
use traffic::{FunctionOwner, OwnerInput, OwnerOutput, OwnerSettings};
use wire::{ForwardMessage, RequestHead};

pub const FUNCTION: &str = "t/f";

pub fn worker(name: &str, zone: &str, free_mb: u32, ready: bool) -> WorkerLine {
    WorkerLine { name: name.into(), zone: zone.into(), memory_mb: 4096, free_mb, ready }
}

pub fn six_workers() -> Vec<WorkerLine> {
    let zones = ["a", "b", "c"];
    (0..6).map(|n| worker(&format!("w{n}"), zones[n % 3], 4096, true)).collect()
}

pub fn line(id: &str, worker: &str, state: InstanceState) -> InstanceLine {
    InstanceLine {
        id: id.into(),
        service: FUNCTION.into(),
        address: format!("10.0.0.9:{}", 1000 + id.len()),
        zone: String::new(),
        worker: worker.into(),
        state,
    }
}

pub fn routes_of(min: u32) -> Rc<RouteTable> {
    let binding =
        format!(r#"{{"route":"/t/f","function":"f","class":"ordinary","memory_mb":512,"min":{min},"max":40}}"#);
    Rc::new(RouteTable::build(1, 1, [("function-bindings/t/f", binding.as_bytes())].into_iter()))
}

/// Returns a request for the function as another router forwards it.
pub fn request(task: u64, body: Vec<u8>) -> ForwardMessage {
    ForwardMessage::ForwardUncounted {
        task,
        function: FUNCTION.into(),
        binding: FUNCTION.into(),
        remaining_ms: 4000,
        resends: 0,
        respond_async: 0,
        key: format!("a-{task}").as_str().into(),
        head: wire::to_bytes(&RequestHead::default()).into(),
        body: body.into(),
    }
}

/// An owner, the simulated time in milliseconds, and its orders so far.
pub struct OwnerWithProvider {
    pub owner: FunctionOwner,
    pub at: u64,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<String>,
    pub probes: Vec<(String, Duration)>,
    pub others: Vec<OwnerOutput>,
}

impl OwnerWithProvider {
    /// Returns an owner that had an empty route table and then receives one whose function has the given minimum.
    pub fn new(min: u32, workers: Vec<WorkerLine>) -> OwnerWithProvider {
        OwnerWithProvider::with_member(ME, min, workers)
    }

    /// Returns the same, with `member` as the only member and thus the owner.
    pub fn with_member(member: u64, min: u32, workers: Vec<WorkerLine>) -> OwnerWithProvider {
        OwnerWithProvider::with_settings(OwnerSettings::default(), member, min, workers)
    }

    /// Returns the same, with other settings.
    pub fn with_settings(
        settings: OwnerSettings,
        member: u64,
        min: u32,
        workers: Vec<WorkerLine>,
    ) -> OwnerWithProvider {
        let owner = FunctionOwner::new(ME, 1, settings);
        let (starts, stops, probes, others) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut provider = OwnerWithProvider { owner, at: 0, starts, stops, probes, others };
        provider.feed(OwnerInput::RouteTable { routes: Rc::new(RouteTable::default()) });
        provider.feed(OwnerInput::Membership { membership: membership(7, &[member]) });
        if !workers.is_empty() {
            provider.workers(workers);
        }
        provider.feed(OwnerInput::RouteTable { routes: routes_of(min) });
        provider
    }

    /// Feeds an input at the current time, and collects the outputs.
    pub fn feed(&mut self, input: OwnerInput) {
        for output in self.owner.step(ms(self.at), true, input) {
            match output {
                OwnerOutput::ProviderOrder(ProviderOrder::Start(order)) => self.starts.push(order),
                OwnerOutput::ProviderOrder(ProviderOrder::Stop { id, .. }) => self.stops.push(id),
                OwnerOutput::Probe { id, after, .. } => self.probes.push((id, after)),
                other => self.others.push(other),
            }
        }
    }

    fn report(&mut self, report: ProviderReport) {
        let listed_at = ms(self.at);
        self.feed(OwnerInput::ProviderReport { report, listed_at });
    }

    pub fn workers(&mut self, lines: Vec<WorkerLine>) {
        self.report(ProviderReport::Workers { lines, requested_at: Instant::now() });
    }

    pub fn list(&mut self, instances: Vec<InstanceLine>) {
        self.report(ProviderReport::Listed { listing: Listing { instances }, requested_at: Instant::now() });
    }

    pub fn started(&mut self, nonce: &str, reply: StartReply) {
        self.report(ProviderReport::Started { nonce: nonce.into(), reply });
    }

    pub fn accepted(&mut self, nonce: &str, id: &str) {
        let address = format!("10.0.0.9:{}", 1000 + id.len());
        self.started(nonce, StartReply::Accepted { id: id.into(), address });
    }

    pub fn stopped(&mut self, id: &str, reply: StopReply) {
        self.report(ProviderReport::Stopped { id: id.into(), reply });
    }

    pub fn probed(&mut self, id: &str, ready: bool) {
        self.feed(OwnerInput::Probed { id: id.into(), ready });
    }

    /// Advances the time in ticks of ten milliseconds.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.at += 10;
            self.feed(OwnerInput::Tick);
        }
    }

    /// Returns a count from the function's status.
    pub fn count(&mut self, what: &str) -> u64 {
        self.owner.status()["functions"][FUNCTION][what].as_u64().unwrap_or_default()
    }
}
