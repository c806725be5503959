//! Congestion window for one function: the maximum number of requests that may be in flight to proven instances while
//! they might still be rejected. The window grows with answers while it holds requests back, and is halved by each
//! rejection, so that throughput follows what the instances can handle instead of a fixed rate.

/// Fraction of unused growth, and of the answer count, that remains after a pass. There are ten passes per second, so
/// answers count for about five seconds.
const RETAINED_PER_PASS: f64 = 0.98;
/// Minimum number of answers per rejection at which rejections count as rare. At that rate they come from requests and
/// connections that cross each other, not from a loss of capacity of the instances.
const ANSWERS_PER_REJECTION: f64 = 100.0;

/// Congestion window of one function. The effective window is never smaller than the remaining rejection allowance.
#[derive(Clone, Debug)]
pub struct SendWindow {
    initial: f64,
    size: f64,
    /// Recent answers, each decayed by its age.
    answers: f64,
    /// Whether the window held back the last request that was to be sent.
    is_limiting: bool,
}

/// State of the rejection allowance, by which the window is adjusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionAllowance {
    /// Rejections within the configured window.
    pub rejections: usize,
    /// Number of further rejections allowed within that window.
    pub remaining: usize,
}

impl SendWindow {
    /// Creates a window of `initial` requests.
    pub fn new(initial: usize) -> SendWindow {
        let initial = initial as f64;
        SendWindow { initial, size: initial, answers: 0.0, is_limiting: false }
    }

    /// Returns whether another request may be sent besides those in flight. The window never restricts them to fewer
    /// than the rejections remaining in the allowance. Once none remain, nothing may be sent.
    pub fn may_send(&mut self, in_flight: usize, remaining: usize) -> bool {
        self.is_limiting = remaining == 0 || in_flight >= self.size_in_requests().max(remaining);
        !self.is_limiting
    }

    /// Records an answer. While rejections are rare, each full window of answers adds one request to the window.
    pub fn record_answer(&mut self, allowance: RejectionAllowance) {
        self.answers += 1.0;
        let are_rejections_rare = self.answers >= allowance.rejections as f64 * ANSWERS_PER_REJECTION;
        if self.is_limiting && are_rejections_rare {
            self.size = self.size.max(allowance.remaining as f64);
            self.size += 1.0 / self.size.max(1.0);
        }
    }

    /// Records a rejection by halving the window.
    pub fn record_rejection(&mut self) {
        self.size /= 2.0;
    }

    /// Decays unused growth and the answer count; called once per pass.
    pub fn decay(&mut self) {
        self.answers *= RETAINED_PER_PASS;
        if self.size > self.initial {
            self.size = self.initial.max(self.size * RETAINED_PER_PASS);
        }
    }

    fn size_in_requests(&self) -> usize {
        self.size as usize
    }
}

#[cfg(test)]
#[path = "send_window_tests.rs"]
mod tests;
