//! Number of instances that the current load needs, independent of the plan, which is made in whole steps.

use std::time::Duration;

/// Maximum number of arrivals in the measured interval that is too small to derive a rate from.
const MAX_SPARSE_ARRIVALS: u32 = 2;

/// Current load of one function, as its owner measures it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LiveDemand {
    /// Number of requests that arrived within the measured interval of about a second.
    pub arrivals: u32,
    /// Arrival rate in that interval, in requests per second.
    pub rate: f64,
    /// Number of requests waiting for a free slot.
    pub queued: u32,
    /// Number of requests being served by instances.
    pub in_flight: u32,
    /// Response time in the absence of faults.
    pub usual_response_time: Duration,
    /// Number of concurrent requests that one instance is planned for.
    pub capacity: f64,
    /// Maximum number of concurrent requests on one instance.
    pub instance_limit: u32,
    /// Number of instances that accept requests.
    pub ready: u32,
}

impl LiveDemand {
    /// Returns the number of instances that the load needs, at most two more than twice the ready ones. The limit
    /// rises as new instances become ready.
    pub fn instances_needed(&self) -> u32 {
        let needed = if self.arrivals <= MAX_SPARSE_ARRIVALS {
            self.needed_for_present_requests()
        } else {
            self.needed_for_expected_arrivals()
        };
        needed.min(self.ready * 2 + 2)
    }

    /// Returns the number of instances for the present requests, if there are too few arrivals to predict more.
    fn needed_for_present_requests(&self) -> u32 {
        (self.queued + self.in_flight).div_ceil(self.instance_limit.max(1))
    }

    /// Returns the number of instances needed to serve arrivals at the current rate and the queue within a second.
    fn needed_for_expected_arrivals(&self) -> u32 {
        let requests = self.rate + f64::from(self.queued);
        (requests * self.usual_response_time.as_secs_f64() / self.capacity).ceil() as u32
    }
}
