//! How many instances the load of this moment takes, beside what a plan of whole steps says.

use std::time::Duration;

/// Up to so many arrivals in the measured span say nothing of a rate.
const SPARSE_ARRIVALS: u32 = 2;

/// What one function's owner sees just now.
#[derive(Clone, Copy, Debug, Default)]
pub struct LiveDemand {
    /// Requests that arrived within the measured span, about a second.
    pub arrivals: u32,
    /// The same as requests a second.
    pub rate: f64,
    /// Requests waiting for room.
    pub queued: u32,
    /// Requests on instances.
    pub in_flight: u32,
    /// What an answer takes when nothing is wrong.
    pub usual: Duration,
    /// Requests one instance is planned for.
    pub capacity: f64,
    /// Requests one instance may have at once.
    pub instance_limit: u32,
    /// Instances that take requests.
    pub ready: u32,
}

impl LiveDemand {
    /// The instances that the load takes; little more than twice what is ready, until those are ready too.
    pub fn instances(&self) -> u32 {
        let wanted = if self.arrivals <= SPARSE_ARRIVALS { self.present() } else { self.expected() };
        wanted.min(self.ready * 2 + 2)
    }

    /// What the requests here take, where a few arrivals tell no rate by which more are to be expected.
    fn present(&self) -> u32 {
        (self.queued + self.in_flight).div_ceil(self.instance_limit.max(1))
    }

    /// What the arrivals take if they go on, and the queue if it is to be worked off within a second.
    fn expected(&self) -> u32 {
        let requests = self.rate + f64::from(self.queued);
        (requests * self.usual.as_secs_f64() / self.capacity).ceil() as u32
    }
}
