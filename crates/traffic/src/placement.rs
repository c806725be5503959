//! Selection of the worker for a start. A function's instances are spread over zones and then over workers, so that the
//! crash of one worker or zone does not take all of them; among equals, the owner's own zone and then free memory
//! decide. If no loss of a zone has to be tolerated, instances are placed in the owner's own zone, because all requests
//! and answers pass through the owner. The list of workers lags, so memory that this owner ordered lately is subtracted
//! from the free memory.

use instance_provider::WorkerLine;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time by which the list of workers may lag.
const MAX_LIST_LAG: Duration = Duration::from_millis(1000);
/// How long no start is ordered on a worker that had no room for one.
const FULL_WORKER_PAUSE: Duration = Duration::from_millis(500);
/// How long a new owner waits for the first list before it leaves the choice of the worker to the provider.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Where a start goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// On this worker, or on one that the provider chooses.
    On(Option<String>),
    /// Nowhere yet: the workers are not known.
    Wait,
    /// Nowhere: no worker is ready, or all refused a start lately.
    Full,
}

/// Workers known from the provider's list, and the starts ordered on them since.
pub(crate) struct Workers {
    spread_over_zones: bool,
    lines: Option<Vec<WorkerLine>>,
    /// Worker, memory in megabytes and time of each recent order.
    ordered: Vec<(String, u32, Duration)>,
    /// Workers that had no room for a start, and when.
    full: BTreeMap<String, Duration>,
}

impl Workers {
    /// Returns a set of workers before the first list.
    pub fn new(spread_over_zones: bool) -> Workers {
        Workers { spread_over_zones, lines: None, ordered: Vec::new(), full: BTreeMap::new() }
    }

    /// Replaces the list, and drops orders and refusals that a list requested at this time includes.
    pub fn update(&mut self, lines: Vec<WorkerLine>, requested_at: Duration) {
        self.ordered.retain(|(_, _, at)| *at + MAX_LIST_LAG > requested_at);
        self.full.retain(|_, at| *at + MAX_LIST_LAG > requested_at);
        self.lines = Some(lines);
    }

    /// Returns whether the worker is listed, or may be since there is no list yet.
    pub fn knows(&self, worker: &str) -> bool {
        self.lines.as_ref().is_none_or(|lines| lines.iter().any(|line| line.name == worker))
    }

    pub fn zone_of(&self, worker: &str) -> Option<&str> {
        let line = self.lines.as_ref()?.iter().find(|line| line.name == worker)?;
        Some(line.zone.as_str())
    }

    /// Records a start ordered on a worker.
    pub fn record_order(&mut self, now: Duration, worker: &str, memory_mb: u32) {
        self.ordered.push((worker.to_owned(), memory_mb, now));
    }

    /// Records that a worker had no room for a start, and no longer subtracts the start's memory.
    pub fn record_refusal(&mut self, now: Duration, worker: &str, memory_mb: u32) {
        self.full.insert(worker.to_owned(), now);
        let is_same_order = |(name, mb, _): &(String, u32, Duration)| name == worker && *mb == memory_mb;
        if let Some(index) = self.ordered.iter().rposition(is_same_order) {
            self.ordered.remove(index);
        }
    }

    /// Returns the worker's free memory without what was ordered on it since the list.
    fn unreserved_mb(&self, line: &WorkerLine) -> u32 {
        let own = self.ordered.iter().filter(|(name, ..)| *name == line.name).map(|(_, mb, _)| mb).sum::<u32>();
        line.free_mb.saturating_sub(own)
    }

    /// Returns whether a first list was read.
    pub fn are_known(&self) -> bool {
        self.lines.is_some()
    }

    /// Selects the worker for the next instance, given the workers and zones of the function's other instances. If no
    /// worker has room by the list, the one with the most free memory is tried anyway, since the list may lag.
    pub fn select(
        &self,
        now: Duration,
        function: &str,
        memory_mb: u32,
        zone: &str,
        others: &[(String, String)],
    ) -> Placement {
        let Some(lines) = &self.lines else {
            return if now < FIRST_LIST_TIMEOUT { Placement::Wait } else { Placement::On(None) };
        };
        let is_open = |line: &&WorkerLine| {
            line.ready && self.full.get(&line.name).is_none_or(|at| now >= *at + FULL_WORKER_PAUSE)
        };
        let rank = |line: &&WorkerLine| {
            let instances_in_zone = match self.spread_over_zones {
                true => others.iter().filter(|(_, zone)| *zone == line.zone).count(),
                false => usize::from(line.zone != zone),
            };
            let instances_on_worker = others.iter().filter(|(worker, _)| *worker == line.name).count();
            let room_in_fours = self.unreserved_mb(line) / memory_mb.max(1) / 4;
            let tie_breaker = leases::stable_hash(&[function.as_bytes(), line.name.as_bytes()]);
            (instances_in_zone, instances_on_worker, line.zone != zone, std::cmp::Reverse(room_in_fours), tie_breaker)
        };
        let best_fit =
            lines.iter().filter(is_open).filter(|line| self.unreserved_mb(line) >= memory_mb).min_by_key(rank);
        let selected = best_fit.or_else(|| lines.iter().filter(is_open).max_by_key(|line| self.unreserved_mb(line)));
        selected.map_or(Placement::Full, |line| Placement::On(Some(line.name.clone())))
    }
}
