//! Sliding windows, and retries counted in them: below the users' ratio of the requests and
//! their slack, by what this owner knows and by what it has to leave to owners it knows nothing of.

use crate::allowances::{Allowances, Max};
use crate::earlier_owners::EarlierOwners;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    times: VecDeque<Duration>,
}

impl Window {
    pub fn new(length: Duration) -> Window {
        Window { length, times: VecDeque::new() }
    }
    pub fn add(&mut self, now: Duration) {
        self.times.push_back(now);
    }
    pub fn count(&mut self, now: Duration) -> usize {
        while self.times.front().is_some_and(|time| now > *time + self.length) {
            self.times.pop_front();
        }
        self.times.len()
    }
    pub fn take_back(&mut self) {
        self.times.pop_back();
    }
    fn insert(&mut self, at: Duration, count: usize) {
        let place = self.times.partition_point(|time| *time <= at);
        let later = self.times.split_off(place);
        self.times.extend(std::iter::repeat_n(at, count));
        self.times.extend(later);
    }
}

/// What is spent in a window: all that this owner knows of, and while it does not know all that owners
/// before it spent, its own since then.
#[derive(Clone, Debug)]
pub struct Spent {
    all: Window,
    own: Window,
    careful: Duration,
    careful_until: Duration,
}

impl Spent {
    pub fn new(now: Duration, length: Duration, careful: Duration) -> Spent {
        Spent { all: Window::new(length), own: Window::new(length), careful, careful_until: now + careful }
    }
    pub fn add(&mut self, now: Duration) {
        self.all.add(now);
        self.own.add(now);
    }
    pub fn count(&mut self, now: Duration) -> usize {
        self.all.count(now)
    }
    /// Others have spent without this owner's knowing, up to now.
    pub fn be_careful(&mut self, now: Duration) {
        self.own.times.clear();
        self.careful_until = now + self.careful;
    }
    /// What others spent up to now is still not known; what this owner spent since then counts on.
    pub fn stay_careful(&mut self, now: Duration) {
        self.careful_until = now + self.careful;
    }
    /// Another owner told of what it had spent at a moment; `whole` if it has spent nothing since.
    pub fn take_over(&mut self, now: Duration, at: Duration, count: usize, whole: bool) {
        self.all.insert(at, count);
        if whole {
            self.careful_until = now;
        } else {
            self.stay_careful(now);
        }
    }
    /// Room by all that is known here, as if nobody else had been owner lately.
    pub fn known_capacity(&mut self, now: Duration, most: Max) -> usize {
        most.known.saturating_sub(self.all.count(now))
    }
    /// Whether this owner itself has spent any lately, since it last had reason to be careful.
    pub fn has_spent_own(&mut self, now: Duration) -> bool {
        self.own.count(now) > 0
    }
    /// Another owner told more than it had before.
    pub fn learn(&mut self, now: Duration, more: usize) {
        self.all.insert(now, more);
    }
    pub fn capacity(&mut self, now: Duration, most: Max) -> usize {
        let capacity = self.known_capacity(now, most);
        let own = most.at_first.saturating_sub(self.own.count(now));
        if now < self.careful_until { capacity.min(own) } else { capacity }
    }
    /// What to tell the next owner: what this one may not spend it may not spend either.
    pub fn reported(&mut self, now: Duration, most: Max) -> usize {
        self.count(now).max(most.known - self.capacity(now, most))
    }
}

#[derive(Clone, Debug)]
pub struct Budget {
    allowances: Allowances,
    earlier: EarlierOwners,
    requests: Window,
    own_requests: Window,
    retries: Spent,
}

impl Budget {
    /// An owner that does not know what was spent before it came spends only its own part for one window's
    /// length, with its share of what it was asked itself.
    pub fn new(now: Duration, allowances: &Allowances) -> Budget {
        let (credited, remembered) =
            (Allowances::credited(allowances.retry_window), Allowances::remembered(allowances.retry_window));
        Budget {
            allowances: allowances.clone(),
            earlier: EarlierOwners::Bounded(1),
            requests: Window::new(credited),
            own_requests: Window::new(credited),
            retries: Spent::new(now, remembered, remembered),
        }
    }

    /// A request is sent to an instance for the first time.
    pub fn request(&mut self, now: Duration) {
        self.requests.add(now);
        self.own_requests.add(now);
    }

    /// It did not get there.
    pub fn not_sent(&mut self) {
        self.requests.take_back();
        self.own_requests.take_back();
    }

    fn most(&mut self, now: Duration) -> Max {
        let spare = self.allowances.spare(self.earlier);
        Max {
            known: self.allowances.share(self.requests.count(now)) + spare.known,
            at_first: self.allowances.share(self.own_requests.count(now)) + spare.at_first,
        }
    }

    pub fn may_second(&mut self, now: Duration) -> bool {
        let most = self.most(now);
        self.retries.capacity(now, most) > 0
    }

    pub fn try_second(&mut self, now: Duration) -> bool {
        let may = self.may_second(now);
        if may {
            self.retries.add(now);
        }
        may
    }

    /// An arrival that an instance rejected counts as one more.
    pub fn turned_away(&mut self, now: Duration) {
        self.retries.add(now);
    }

    pub fn counts(&mut self, now: Duration) -> (usize, usize) {
        (self.requests.count(now), self.retries.count(now))
    }

    /// Requests and retries as the next owner is to know them.
    pub fn reported(&mut self, now: Duration) -> (usize, usize) {
        let most = self.most(now);
        (self.requests.count(now), self.retries.reported(now, most))
    }

    /// Another owner may have been here meanwhile.
    pub fn be_careful(&mut self, now: Duration) {
        self.own_requests.times.clear();
        self.retries.be_careful(now);
    }

    /// How many owners may have spent in this window before this one came, as far as the memberships tell.
    pub fn set_earlier_homes(&mut self, earlier: EarlierOwners) {
        self.earlier = earlier;
    }

    /// Nothing was learned of what was spent before this owner came.
    pub fn stay_careful(&mut self, now: Duration) {
        self.retries.stay_careful(now);
    }

    /// The owner before told of more retries than it had.
    pub fn learn(&mut self, now: Duration, more: u32) {
        self.retries.learn(now, more.min(20_000) as usize);
    }

    /// The owner before told its counts at a moment; of the requests it is not known when they came.
    pub fn take_over(&mut self, now: Duration, at: Duration, requests: u32, retries: u32, whole: bool) {
        let (requests, retries) = (requests.min(20_000) as usize, retries.min(20_000) as usize);
        if requests > self.requests.count(now) {
            let length = self.requests.length;
            let came = |n: usize| at.saturating_sub(length.mul_f64(n as f64 / requests as f64));
            self.requests.times = (0..requests).rev().map(came).collect();
        }
        self.retries.take_over(now, at, retries, whole);
    }
}
