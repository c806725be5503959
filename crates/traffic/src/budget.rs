//! Sliding windows and the retry budget. Retries stay below the configured ratio of requests plus the slack, counting
//! what this owner knows and leaving room for what owners unknown to it may use.

use crate::allowances::{Allowances, OwnerLimit};
use crate::earlier_owners::EarlierOwners;
use std::collections::VecDeque;
use std::time::Duration;

/// Times of events within a sliding window.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    length: Duration,
    times: VecDeque<Duration>,
}

impl SlidingWindow {
    /// Creates an empty window of this length.
    pub fn new(length: Duration) -> SlidingWindow {
        SlidingWindow { length, times: VecDeque::new() }
    }
    /// Adds an event.
    pub fn add(&mut self, now: Duration) {
        self.times.push_back(now);
    }
    /// Drops events older than the window and returns the number of the others.
    pub fn count(&mut self, now: Duration) -> usize {
        while self.times.front().is_some_and(|time| now > *time + self.length) {
            self.times.pop_front();
        }
        self.times.len()
    }
    /// Removes the latest event.
    pub fn remove_last(&mut self) {
        self.times.pop_back();
    }
    fn insert(&mut self, at: Duration, count: usize) {
        let position = self.times.partition_point(|time| *time <= at);
        let later = self.times.split_off(position);
        self.times.extend(std::iter::repeat_n(at, count));
        self.times.extend(later);
    }
}

/// Uses (retries or rejections) within a window: all that this owner knows of, and separately its own since its
/// cautious period last started. While it is cautious, it may not know everything that earlier owners used.
#[derive(Clone, Debug)]
pub struct UsageWindow {
    all: SlidingWindow,
    own: SlidingWindow,
    caution_period: Duration,
    cautious_until: Duration,
}

impl UsageWindow {
    /// Creates an empty count that stays cautious for the period `caution_period`.
    pub fn new(now: Duration, length: Duration, caution_period: Duration) -> UsageWindow {
        UsageWindow {
            all: SlidingWindow::new(length),
            own: SlidingWindow::new(length),
            caution_period,
            cautious_until: now + caution_period,
        }
    }
    /// Counts one use by this owner.
    pub fn add(&mut self, now: Duration) {
        self.all.add(now);
        self.own.add(now);
    }
    /// Returns the known uses within the window.
    pub fn count(&mut self, now: Duration) -> usize {
        self.all.count(now)
    }
    /// Starts a cautious period, since other owners may have used some until now without this owner's knowledge.
    pub fn begin_caution(&mut self, now: Duration) {
        self.own.times.clear();
        self.cautious_until = now + self.caution_period;
    }
    /// Restarts the cautious period, since uses by other owners up to now are still unknown. This owner's own uses
    /// stay counted.
    pub fn extend_caution(&mut self, now: Duration) {
        self.cautious_until = now + self.caution_period;
    }
    /// Adds what another owner reported to have used by `at`; `is_complete` if it has used nothing since then.
    pub fn adopt_count(&mut self, now: Duration, at: Duration, count: usize, is_complete: bool) {
        self.all.insert(at, count);
        if is_complete {
            self.cautious_until = now;
        } else {
            self.extend_caution(now);
        }
    }
    /// Returns what is left according to this owner's knowledge, as if there had been no other recent owner.
    pub fn known_capacity(&mut self, now: Duration, limit: OwnerLimit) -> usize {
        limit.informed.saturating_sub(self.all.count(now))
    }
    /// Returns whether this owner itself used any within the window since its cautious period last started.
    pub fn has_own_usage(&mut self, now: Duration) -> bool {
        self.own.count(now) > 0
    }
    /// Adds uses that another owner reported in addition to its earlier report.
    pub fn add_reported(&mut self, now: Duration, more: usize) {
        self.all.insert(now, more);
    }
    /// Returns what this owner may still use now.
    pub fn capacity(&mut self, now: Duration, limit: OwnerLimit) -> usize {
        let capacity = self.known_capacity(now, limit);
        let own = limit.uninformed.saturating_sub(self.own.count(now));
        if now < self.cautious_until { capacity.min(own) } else { capacity }
    }
    /// Returns the count to report to the next owner, which includes what this owner may not use, since the next one
    /// may not use it either.
    pub fn reported(&mut self, now: Duration, limit: OwnerLimit) -> usize {
        self.count(now).max(limit.informed - self.capacity(now, limit))
    }
}

/// Requests and retries of one function at its owner.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    allowances: Allowances,
    earlier: EarlierOwners,
    requests: SlidingWindow,
    own_requests: SlidingWindow,
    retries: UsageWindow,
}

impl RetryBudget {
    /// Creates the budget of an owner that does not know the retries of earlier owners. For one window it uses only
    /// the `uninformed` limit, with the ratio applied to the requests that it received itself.
    pub fn new(now: Duration, allowances: &Allowances) -> RetryBudget {
        let (request_window, retry_window) = (
            Allowances::shortened_window(allowances.retry_window),
            Allowances::lengthened_window(allowances.retry_window),
        );
        RetryBudget {
            allowances: allowances.clone(),
            earlier: EarlierOwners::Bounded(1),
            requests: SlidingWindow::new(request_window),
            own_requests: SlidingWindow::new(request_window),
            retries: UsageWindow::new(now, retry_window, retry_window),
        }
    }

    /// Counts a request that is sent to an instance for the first time.
    pub fn record_request(&mut self, now: Duration) {
        self.requests.add(now);
        self.own_requests.add(now);
    }

    /// Removes the latest request from the count, since it did not reach the instance.
    pub fn undo_request(&mut self) {
        self.requests.remove_last();
        self.own_requests.remove_last();
    }

    fn limit(&mut self, now: Duration) -> OwnerLimit {
        let slack = self.allowances.slack_limit(self.earlier);
        OwnerLimit {
            informed: self.allowances.retry_share(self.requests.count(now)) + slack.informed,
            uninformed: self.allowances.retry_share(self.own_requests.count(now)) + slack.uninformed,
        }
    }

    /// Returns whether a retry is allowed now.
    pub fn may_retry(&mut self, now: Duration) -> bool {
        let limit = self.limit(now);
        self.retries.capacity(now, limit) > 0
    }

    /// Counts a retry if one is allowed, and returns whether it was.
    pub fn try_retry(&mut self, now: Duration) -> bool {
        let is_allowed = self.may_retry(now);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Counts a rejection by an instance, which uses the budget like a retry.
    pub fn record_rejection(&mut self, now: Duration) {
        self.retries.add(now);
    }

    /// Returns the known numbers of requests and retries within the window.
    pub fn counts(&mut self, now: Duration) -> (usize, usize) {
        (self.requests.count(now), self.retries.count(now))
    }

    /// Returns the numbers of requests and retries to report to the next owner.
    pub fn reported(&mut self, now: Duration) -> (usize, usize) {
        let limit = self.limit(now);
        (self.requests.count(now), self.retries.reported(now, limit))
    }

    /// Starts a cautious period, since the function may have had another owner meanwhile.
    pub fn begin_caution(&mut self, now: Duration) {
        self.own_requests.times.clear();
        self.retries.begin_caution(now);
    }

    /// Sets how many earlier owners may have used retries in this window, as far as the memberships tell.
    pub fn set_earlier_owners(&mut self, earlier: EarlierOwners) {
        self.earlier = earlier;
    }

    /// Restarts the cautious period, since the retries of earlier owners are still unknown.
    pub fn extend_caution(&mut self, now: Duration) {
        self.retries.extend_caution(now);
    }

    /// Adds retries that the previous owner reported in addition to its earlier report.
    pub fn add_reported(&mut self, now: Duration, more: u32) {
        self.retries.add_reported(now, more.min(20_000) as usize);
    }

    /// Adopts the counts that the previous owner reported as of `at`. The arrival times of its requests are not known,
    /// so they are spread evenly over the window before `at`.
    pub fn adopt_counts(&mut self, now: Duration, at: Duration, requests: u32, retries: u32, is_complete: bool) {
        let (requests, retries) = (requests.min(20_000) as usize, retries.min(20_000) as usize);
        if requests > self.requests.count(now) {
            let length = self.requests.length;
            let arrival = |n: usize| at.saturating_sub(length.mul_f64(n as f64 / requests as f64));
            self.requests.times = (0..requests).rev().map(arrival).collect();
        }
        self.retries.adopt_count(now, at, retries, is_complete);
    }
}
