//! Turn-aways of one function: no more than eleven in any five seconds, whatever its instances do. A
//! task sent less than the usual time of a turn-away ago may yet be turned away: it is at risk. What
//! was turned away and what is at risk together stay below a limit, of which a part is kept back for
//! the home that follows after a crash, since it knows nothing of the count before.

use crate::budget::Window;
use std::collections::BTreeMap;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const MOST: usize = 7;
const MOST_AT_FIRST: usize = 4;
const USUAL: Duration = Duration::from_millis(25);
const LONGEST: Duration = Duration::from_millis(500);
const FORGET: f64 = 0.99;

pub struct Risk {
    turned: Window,
    sent: BTreeMap<u64, Duration>,
    usual: Duration,
    careful_until: Duration,
}

impl Risk {
    /// A home that does not know what was turned away before it came is careful at first.
    pub fn new(now: Duration) -> Risk {
        Risk { turned: Window::new(LENGTH), sent: BTreeMap::new(), usual: USUAL, careful_until: now + LENGTH + LONGEST }
    }

    /// Another home may have been here meanwhile.
    pub fn be_careful(&mut self, now: Duration) {
        self.careful_until = now + LENGTH + LONGEST;
    }

    /// The home before told how many were turned away lately.
    pub fn take_over(&mut self, now: Duration, turned: u32) {
        self.careful_until = now;
        (0..turned.min(64)).for_each(|_| self.turned.add(now));
    }

    pub fn turned(&mut self, now: Duration) -> usize {
        self.turned.count(now)
    }

    pub fn may_send(&mut self, now: Duration) -> bool {
        let usual = self.usual;
        self.sent.retain(|_, at| now < *at + usual);
        let most = if now < self.careful_until { MOST_AT_FIRST } else { MOST };
        self.turned.count(now) + self.sent.len() < most
    }

    pub fn sent(&mut self, now: Duration, order: u64) {
        self.sent.insert(order, now);
    }

    pub fn ended(&mut self, now: Duration, order: u64, begun: Duration, turned_away: bool) {
        self.sent.remove(&order);
        if turned_away {
            self.turned.add(now);
            let took = now.saturating_sub(begun);
            self.usual = self.usual.max(took.mul_f64(1.5)).min(LONGEST);
        }
    }

    /// What was learned of slow turn-aways fades, a little each time.
    pub fn fade(&mut self) {
        self.usual = USUAL + self.usual.saturating_sub(USUAL).mul_f64(FORGET);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    /// Instances turn everything away, in times drawn anew; a home crashes in between and the next
    /// one begins without its count.
    #[test]
    fn an_old_home_and_the_next_stay_within_eleven_though_every_task_is_turned_away() {
        for seed in 0..40u64 {
            let mut dice = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
            let mut risk = Risk::new(Duration::ZERO);
            let crash = Duration::from_millis(dice.random_range(6_000..9_000));
            let mut crashed = false;
            let mut open: Vec<(Duration, u64, Duration)> = Vec::new();
            let mut all: Vec<Duration> = Vec::new();
            for order in 0..30_000u64 {
                let now = Duration::from_millis(order);
                for (_, number, begun) in open.extract_if(.., |(at, ..)| *at <= now) {
                    all.push(now);
                    if !crashed || begun >= crash {
                        risk.ended(now, number, begun, true);
                    }
                }
                if now >= crash && !crashed {
                    crashed = true;
                    risk = Risk::new(now);
                }
                if now > Duration::from_secs(4) && risk.may_send(now) {
                    risk.sent(now, order);
                    open.push((now + Duration::from_millis(dice.random_range(1..20)), order, now));
                }
            }
            let most = all.windows(12).filter(|w| w[11] - w[0] <= Duration::from_secs(5)).count();
            assert_eq!(most, 0, "seed {seed}: twelve in five seconds");
            assert!(all.len() > 20, "seed {seed}: service goes on, {} were sent", all.len());
        }
    }
}
