//! Limit on the rejections of one function: no more than users allow in any window, whatever the instances do. A
//! request may still be rejected until the usual rejection latency has passed since it was sent. Such requests to
//! unproven instances, together with past rejections, stay within the allowance. A part of the allowance is reserved
//! for the owner that takes over after a crash, since that owner does not know the earlier count. Requests to proven
//! instances stay within a congestion window that follows what the instances can handle.

use crate::allowances::{Allowances, OwnerLimit};
use crate::budget::UsageWindow;
use crate::send_window::{RejectionAllowance, SendWindow};
use std::collections::BTreeMap;
use std::time::Duration;

/// Rejection latency assumed before slower rejections are seen.
const INITIAL_REJECTION_LATENCY: Duration = Duration::from_millis(25);
/// Maximum rejection latency assumed, however slow rejections are.
const MAX_REJECTION_LATENCY: Duration = Duration::from_millis(500);
/// Fraction of the excess over the initial rejection latency that remains after a pass.
const LATENCY_RETAINED: f64 = 0.99;
/// Time between two polls beyond which the process is taken to have been suspended. All requests sent before are then
/// considered at risk of rejection again.
const SUSPENSION_GAP: Duration = Duration::from_millis(300);

/// A request that was sent to an instance.
struct SentRequest {
    at: Duration,
    /// Whether the instance has already answered this owner under the same number of concurrent requests.
    is_proven: bool,
}

/// Result of a request that was sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The instance ran it and answered.
    Answered,
    /// The instance rejected it.
    Rejected,
    /// The request was not sent, or its result is unknown.
    Unknown,
}

/// Limit on the requests of one function that may be sent before earlier ones are known not to be rejected.
pub struct RejectionLimit {
    max_rejections: OwnerLimit,
    rejections: UsageWindow,
    /// Requests that may still be rejected, by dispatch number.
    sent: BTreeMap<u64, SentRequest>,
    window: SendWindow,
    /// Time after which a request is no longer expected to be rejected.
    rejection_latency: Duration,
    polled_at: Duration,
}

impl RejectionLimit {
    /// Creates the limit of an owner that does not know the rejections under earlier owners, so it starts cautious.
    pub fn new(now: Duration, allowances: &Allowances) -> RejectionLimit {
        let remembered = Allowances::lengthened_window(allowances.rejection_window);
        RejectionLimit {
            max_rejections: allowances.rejection_limit(),
            rejections: UsageWindow::new(now, remembered, remembered + MAX_REJECTION_LATENCY),
            sent: BTreeMap::new(),
            window: SendWindow::new(allowances.rejection_limit().informed),
            rejection_latency: INITIAL_REJECTION_LATENCY,
            polled_at: now,
        }
    }

    /// Starts a cautious period and resets the congestion window. Another owner may have served the function
    /// meanwhile, so what the instances handled earlier no longer applies.
    pub fn begin_caution(&mut self, now: Duration) {
        self.rejections.begin_caution(now);
        self.window = SendWindow::new(self.max_rejections.informed);
    }

    /// Adds the rejections that the previous owner reported as of `at`. Requests that it had sent may still be
    /// rejected.
    pub fn adopt_count(&mut self, now: Duration, at: Duration, rejections: u32) {
        self.rejections.adopt_count(now, at, rejections.min(64) as usize, false);
    }

    /// Adds rejections that the previous owner reported in addition to its earlier report.
    pub fn add_reported(&mut self, now: Duration, more: u32) {
        self.rejections.add_reported(now, more.min(64) as usize);
    }

    /// Returns the known rejections within the window.
    pub fn rejections(&mut self, now: Duration) -> usize {
        self.rejections.count(now)
    }

    /// Returns the number of rejections to report to the next owner.
    pub fn reported(&mut self, now: Duration) -> usize {
        self.rejections.reported(now, self.max_rejections)
    }

    /// Drops sent requests that are no longer expected to be rejected.
    fn poll(&mut self, now: Duration) {
        let (rejection_latency, was_suspended) = (self.rejection_latency, now > self.polled_at + SUSPENSION_GAP);
        if was_suspended {
            self.sent.values_mut().for_each(|request| request.at = now);
        }
        self.polled_at = now;
        self.sent.retain(|_, request| now < request.at + rejection_latency);
    }

    /// Returns whether a request may be sent; `proven` if its instance has already answered this owner under the same
    /// number of concurrent requests. Requests to unproven instances, together with past rejections, stay within the
    /// allowance, or within the `uninformed` limit while this owner is cautious. All requests together stay within the
    /// congestion window.
    pub fn may_send(&mut self, now: Duration, proven: bool) -> bool {
        self.poll(now);
        let remaining = self.remaining(now);
        if !self.window.may_send(self.sent.len(), remaining) {
            return false;
        }
        let unproven = self.sent.values().filter(|request| !request.is_proven).count();
        proven || unproven < self.rejections.capacity(now, self.max_rejections)
    }

    /// Returns the number of sent requests that may still be rejected, as of the last poll.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Returns what is left of the rejection allowance for all requests. From its first rejection on, an owner that
    /// does not know the rejections under the previous owner has only the `uninformed` limit, also for proven
    /// instances.
    fn remaining(&mut self, now: Duration) -> usize {
        match self.rejections.has_own_usage(now) {
            true => self.rejections.capacity(now, self.max_rejections),
            false => self.rejections.known_capacity(now, self.max_rejections),
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Duration, order: u64, proven: bool) {
        self.sent.insert(order, SentRequest { at: now, is_proven: proven });
    }

    /// Records the result of a request that was sent at `sent_at`.
    pub fn record_result(&mut self, now: Duration, order: u64, sent_at: Duration, result: SendResult) {
        self.sent.remove(&order);
        match result {
            SendResult::Answered => {
                let (rejections, remaining) = (self.rejections.count(now), self.remaining(now));
                self.window.record_answer(RejectionAllowance { rejections, remaining });
            }
            SendResult::Rejected => {
                self.rejections.add(now);
                self.window.record_rejection();
                let took = now.saturating_sub(sent_at);
                self.rejection_latency = self.rejection_latency.max(took.mul_f64(1.5)).min(MAX_REJECTION_LATENCY);
            }
            SendResult::Unknown => {}
        }
    }

    /// Decays the congestion window and the rejection latency towards their initial values; called once per pass.
    pub fn decay(&mut self) {
        self.window.decay();
        self.rejection_latency = INITIAL_REJECTION_LATENCY
            + self.rejection_latency.saturating_sub(INITIAL_REJECTION_LATENCY).mul_f64(LATENCY_RETAINED);
    }
}
