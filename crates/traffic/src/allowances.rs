//! What the fleet may do beyond serving each request once, as its users set it, and the part of it
//! that one owner takes. Owners follow each other and may know nothing of each other: any number in one
//! window stay within the retry slack, two within the rejections.

use crate::earlier_owners::EarlierOwners;
use std::time::Duration;

/// A machine's clock may run fast or slow by this part: what is spent is remembered longer than the
/// window, what was asked shorter.
const DRIFT: f64 = 0.01;
/// Of the ratio, the part one owner uses.
const PART: f64 = 0.625;

#[derive(Clone, Debug)]
pub struct Allowances {
    /// Second tries allowed for each request, in any window.
    pub retry_ratio: f64,
    /// Second tries allowed besides.
    pub retry_slack: usize,
    pub retry_window: Duration,
    /// Tasks that the instances of one function may turn away, in any window.
    pub max_rejections: usize,
    pub rejection_window: Duration,
}

impl Default for Allowances {
    fn default() -> Self {
        Allowances {
            retry_ratio: 0.2,
            retry_slack: 60,
            retry_window: Duration::from_secs(10),
            max_rejections: 11,
            rejection_window: Duration::from_secs(5),
        }
    }
}

/// The most an owner may spend by all that it knows, and the most while it does not know all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Max {
    pub known: usize,
    pub at_first: usize,
}

impl Allowances {
    pub fn share(&self, requests: usize) -> usize {
        (requests as f64 * self.retry_ratio * PART) as usize
    }

    /// Of the slack, an owner that knows all spends half. Of those that do not, each spends half of what the
    /// one before it might: however many there are in one window, together they spend no more than the
    /// other half. One that cannot tell how many there were spends nothing of it.
    pub fn spare(&self, earlier: EarlierOwners) -> Max {
        let known = self.retry_slack / 2;
        let at_first = match earlier {
            EarlierOwners::Bounded(owners) => known.checked_shr(owners.max(1)).unwrap_or(0),
            EarlierOwners::Unknown => 0,
        };
        Max { known, at_first }
    }

    pub fn rejections(&self) -> Max {
        let known = ((self.max_rejections * 2 + 1) / 3).max(1);
        Max { known, at_first: self.max_rejections.saturating_sub(known).max(1) }
    }

    /// Counts of a copy, told as those of an owner that has only its part at first left to spend.
    pub fn as_of_a_copy(&self, earlier: EarlierOwners, requests: &mut u32, retries: &mut u32, rejections: &mut u32) {
        let kept_back = |most: Max| most.known.saturating_sub(most.at_first) as u32;
        *retries = (*retries).max(self.share(*requests as usize) as u32 + kept_back(self.spare(earlier)));
        *rejections = (*rejections).max(kept_back(self.rejections()));
    }

    pub fn remembered(window: Duration) -> Duration {
        window.mul_f64(1.0 + DRIFT)
    }

    pub fn credited(window: Duration) -> Duration {
        window.mul_f64(1.0 - DRIFT)
    }
}
