//! Fleet-wide limits on retries and rejections, as configured by users, and the part of each limit that one owner may
//! use. A function's owners succeed each other, possibly without any knowledge of what earlier owners used. Together,
//! any number of owners in one window stay within the retry slack, and two owners stay within the rejection limit.

use crate::earlier_owners::EarlierOwners;
use std::time::Duration;

/// Fraction by which a machine's clock may run fast or slow. Retries and rejections are therefore counted over more
/// than the configured window, and requests over less.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Fraction of the retry ratio that one owner uses.
const OWNER_SHARE: f64 = 0.625;

/// Configured limits on retries and rejections.
#[derive(Clone, Debug)]
pub struct Allowances {
    /// Retries allowed per request, in any window.
    pub retry_ratio: f64,
    /// Retries allowed in any window in addition to the ratio.
    pub retry_slack: usize,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Maximum number of requests that the instances of one function may reject, in any window.
    pub max_rejections: usize,
    /// Length of the window in which rejections are counted.
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

/// Maximum number of retries or rejections that one owner may use in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerLimit {
    /// Limit while the owner knows what earlier owners used.
    pub informed: usize,
    /// Limit while the owner may not know everything that earlier owners used.
    pub uninformed: usize,
}

impl Allowances {
    /// Returns how many retries one owner may make for this many requests, without the slack.
    pub fn retry_share(&self, requests: usize) -> usize {
        (requests as f64 * self.retry_ratio * OWNER_SHARE) as usize
    }

    /// Returns how much of the retry slack one owner may use. An owner that knows what earlier owners used may use
    /// half of the slack. An owner that does not know may use half of what its predecessor could, so that any number
    /// of such owners in one window together use no more than the other half. An owner that does not know how many
    /// came before it uses no slack.
    pub fn slack_limit(&self, earlier: EarlierOwners) -> OwnerLimit {
        let informed = self.retry_slack / 2;
        let uninformed = match earlier {
            EarlierOwners::Bounded(owners) => informed.checked_shr(owners.max(1)).unwrap_or(0),
            EarlierOwners::Unknown => 0,
        };
        OwnerLimit { informed, uninformed }
    }

    /// Returns how many rejections one owner may cause.
    pub fn rejection_limit(&self) -> OwnerLimit {
        let informed = ((self.max_rejections * 2 + 1) / 3).max(1);
        OwnerLimit { informed, uninformed: self.max_rejections.saturating_sub(informed).max(1) }
    }

    /// Raises the counts of a standby copy so that an owner starting from it has at most its `uninformed` limit left.
    pub fn raise_copied_counts(
        &self,
        earlier: EarlierOwners,
        requests: &mut u32,
        retries: &mut u32,
        rejections: &mut u32,
    ) {
        let reserved = |limit: OwnerLimit| limit.informed.saturating_sub(limit.uninformed) as u32;
        *retries = (*retries).max(self.retry_share(*requests as usize) as u32 + reserved(self.slack_limit(earlier)));
        *rejections = (*rejections).max(reserved(self.rejection_limit()));
    }

    /// Returns the window, lengthened for clock drift, over which retries and rejections are counted.
    pub fn lengthened_window(window: Duration) -> Duration {
        window.mul_f64(1.0 + MAX_CLOCK_DRIFT)
    }

    /// Returns the window, shortened for clock drift, over which requests are counted.
    pub fn shortened_window(window: Duration) -> Duration {
        window.mul_f64(1.0 - MAX_CLOCK_DRIFT)
    }
}
