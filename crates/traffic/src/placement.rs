//! Which worker a start goes to: a function's instances are spread over zones and then over workers,
//! so that no one worker's or zone's crash takes them all; after that the owner's own zone, then memory.
//! Where no loss of a zone is to be borne, they stand in the owner's own zone, since all that instances are
//! sent and answer passes through the owner.
//! The list of workers lags, so what this owner ordered lately is taken off its free memory.

use instance_provider::WorkerLine;
use std::collections::BTreeMap;
use std::time::Duration;

/// How far the list of workers may be behind.
const LAG: Duration = Duration::from_millis(1000);
/// A worker that turned a start away is not asked again for so long.
const FULL: Duration = Duration::from_millis(500);
/// So long after its beginning an owner waits for a first list before it leaves the choice to the provider.
const FIRST: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placed {
    On(Option<String>),
    Wait,
    Full,
}

pub(crate) struct Workers {
    spread_over_zones: bool,
    lines: Option<Vec<WorkerLine>>,
    ordered: Vec<(String, u32, Duration)>,
    full: BTreeMap<String, Duration>,
}

impl Workers {
    /// Nothing is known yet of the workers.
    pub fn new(spread_over_zones: bool) -> Workers {
        Workers { spread_over_zones, lines: None, ordered: Vec::new(), full: BTreeMap::new() }
    }

    pub fn take(&mut self, lines: Vec<WorkerLine>, requested: Duration) {
        self.ordered.retain(|(_, _, at)| *at + LAG > requested);
        self.full.retain(|_, at| *at + LAG > requested);
        self.lines = Some(lines);
    }

    pub fn knows(&self, worker: &str) -> bool {
        self.lines.as_ref().is_none_or(|lines| lines.iter().any(|line| line.name == worker))
    }

    pub fn zone_of(&self, worker: &str) -> Option<&str> {
        let line = self.lines.as_ref()?.iter().find(|line| line.name == worker)?;
        Some(line.zone.as_str())
    }

    pub fn ordered(&mut self, now: Duration, worker: &str, memory_mb: u32) {
        self.ordered.push((worker.to_owned(), memory_mb, now));
    }

    /// The worker had no room for it: what was taken off for it is given back.
    pub fn turned_away(&mut self, now: Duration, worker: &str, memory_mb: u32) {
        self.full.insert(worker.to_owned(), now);
        let of_it = |(name, mb, _): &(String, u32, Duration)| name == worker && *mb == memory_mb;
        if let Some(place) = self.ordered.iter().rposition(of_it) {
            self.ordered.remove(place);
        }
    }

    fn free(&self, line: &WorkerLine) -> u32 {
        let own = self.ordered.iter().filter(|(name, ..)| *name == line.name).map(|(_, mb, _)| mb).sum::<u32>();
        line.free_mb.saturating_sub(own)
    }

    /// Where the next instance goes, given the workers and zones that the function's others are on.
    /// Where none has room by the list, the emptiest is asked all the same: the list may be behind.
    pub fn are_known(&self) -> bool {
        self.lines.is_some()
    }

    pub fn select(
        &self,
        now: Duration,
        function: &str,
        memory_mb: u32,
        zone: &str,
        others: &[(String, String)],
    ) -> Placed {
        let Some(lines) = &self.lines else {
            return if now < FIRST { Placed::Wait } else { Placed::On(None) };
        };
        let open = |line: &&WorkerLine| line.ready && self.full.get(&line.name).is_none_or(|at| now >= *at + FULL);
        let rank = |line: &&WorkerLine| {
            let in_zone = match self.spread_over_zones {
                true => others.iter().filter(|(_, zone)| *zone == line.zone).count(),
                false => usize::from(line.zone != zone),
            };
            let on_it = others.iter().filter(|(worker, _)| *worker == line.name).count();
            let whole = self.free(line) / memory_mb.max(1) / 4;
            let spread = leases::stable_hash(&[function.as_bytes(), line.name.as_bytes()]);
            (in_zone, on_it, line.zone != zone, std::cmp::Reverse(whole), spread)
        };
        let fits = lines.iter().filter(open).filter(|line| self.free(line) >= memory_mb).min_by_key(rank);
        let selected = fits.or_else(|| lines.iter().filter(open).max_by_key(|line| self.free(line)));
        selected.map_or(Placed::Full, |line| Placed::On(Some(line.name.clone())))
    }
}
