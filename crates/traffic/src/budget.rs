//! Sliding windows: second tries against a fifth of the requests plus sixty in any ten seconds,
//! kept well below, and turn-aways against eleven in any five.

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
}

#[derive(Clone, Debug)]
pub struct Budget {
    requests: Window,
    seconds: Window,
    careful_until: Duration,
}

const LENGTH: Duration = Duration::from_secs(10);
const SHARE: usize = 8;
const SPARE: usize = 30;
const SPARE_AT_FIRST: usize = 15;

impl Budget {
    /// A home that does not know what was spent before it came spends only its own part, for one
    /// window's length: thirty and twice fifteen are what three homes in ten seconds may spend, with an
    /// eighth of what each was asked.
    pub fn new(now: Duration) -> Budget {
        Budget { requests: Window::new(LENGTH), seconds: Window::new(LENGTH), careful_until: now + LENGTH }
    }

    pub fn request(&mut self, now: Duration) {
        self.requests.add(now);
    }

    pub fn may_second(&mut self, now: Duration) -> bool {
        let spare = if now < self.careful_until { SPARE_AT_FIRST } else { SPARE };
        self.seconds.count(now) < self.requests.count(now) / SHARE + spare
    }

    pub fn try_second(&mut self, now: Duration) -> bool {
        let may = self.may_second(now);
        if may {
            self.seconds.add(now);
        }
        may
    }

    /// An arrival that an instance turned away counts as one more.
    pub fn turned_away(&mut self, now: Duration) {
        self.seconds.add(now);
    }

    pub fn counts(&mut self, now: Duration) -> (usize, usize) {
        (self.requests.count(now), self.seconds.count(now))
    }

    /// Another home may have been here meanwhile.
    pub fn be_careful(&mut self, now: Duration) {
        self.careful_until = now + LENGTH;
    }

    pub fn take_over(&mut self, now: Duration, requests: u32, seconds: u32) {
        self.careful_until = now;
        (0..requests.min(20_000)).for_each(|_| self.requests.add(now));
        (0..seconds.min(20_000)).for_each(|_| self.seconds.add(now));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    #[test]
    fn second_tries_stay_below_a_fifth_and_sixty_in_every_ten_seconds() {
        let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(5);
        let mut budget = Budget::new(Duration::ZERO);
        let (mut firsts, mut seconds): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut refused = 0;
        for ms in 0..60_000u64 {
            let now = Duration::from_millis(ms);
            if ms == 30_000 {
                budget = Budget::new(Duration::from_millis(ms));
            }
            if dice.random_ratio(1 + (ms / 20_000) as u32, 10) {
                budget.request(now);
                firsts.push(ms);
            }
            if dice.random_ratio(3, 10) {
                if budget.try_second(now) {
                    seconds.push(ms);
                } else {
                    refused += 1;
                }
            }
            let within = |list: &Vec<u64>| list.iter().rev().take_while(|at| **at + 10_000 >= ms).count();
            assert!(within(&seconds) <= within(&firsts) / 5 + 60, "at {ms} ms");
        }
        assert!(seconds.len() > 100 && refused > 1000);
    }
}
