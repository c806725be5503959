//! Rejections of one function: no more than the users allow in any window, whatever its instances do. A request
//! sent less than the usual time of a rejection ago may yet be rejected. Those sent to unproven instances stay, with
//! what was rejected, below the allowance, of which a part is kept back for the owner that follows after a crash,
//! since it knows nothing of the count before. Those sent to proven ones stay within a window that follows what the
//! instances bear.

use crate::allowances::{Allowances, Max};
use crate::budget::Spent;
use crate::send_window::{Allowance, SendWindow};
use std::collections::BTreeMap;
use std::time::Duration;

const INITIAL_REJECTION_LATENCY: Duration = Duration::from_millis(25);
const MAX_REJECTION_LATENCY: Duration = Duration::from_millis(500);
const FORGET: f64 = 0.99;
/// Not looked for so long, this process was stopped: what was sent before is at risk anew.
const STOPPED: Duration = Duration::from_millis(300);

/// A request on its way to an instance.
struct SentRequest {
    at: Duration,
    /// Whether the instance has answered this owner with as many requests on it.
    is_proven: bool,
}

/// What became of a request that was sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The instance ran it and answered.
    Answered,
    /// The instance rejected it.
    Rejected,
    /// It was not sent, or nobody knows.
    Unclear,
}

pub struct UnprovenLimit {
    max_rejections: Max,
    rejections: Spent,
    /// By order; only those that may yet be rejected.
    sent: BTreeMap<u64, SentRequest>,
    window: SendWindow,
    usual: Duration,
    polled_at: Duration,
}

impl UnprovenLimit {
    /// An owner that does not know what was rejected before it came is careful at first.
    pub fn new(now: Duration, allowances: &Allowances) -> UnprovenLimit {
        let remembered = Allowances::remembered(allowances.rejection_window);
        UnprovenLimit {
            max_rejections: allowances.rejections(),
            rejections: Spent::new(now, remembered, remembered + MAX_REJECTION_LATENCY),
            sent: BTreeMap::new(),
            window: SendWindow::new(allowances.rejections().known),
            usual: INITIAL_REJECTION_LATENCY,
            polled_at: now,
        }
    }

    /// Another owner may have been here meanwhile: what the instances bore before says nothing of now.
    pub fn be_careful(&mut self, now: Duration) {
        self.rejections.be_careful(now);
        self.window = SendWindow::new(self.max_rejections.known);
    }

    /// The owner before told, at a moment, how many were rejected lately; what it had sent may be yet.
    pub fn take_over(&mut self, now: Duration, at: Duration, rejections: u32) {
        self.rejections.take_over(now, at, rejections.min(64) as usize, false);
    }

    /// The owner before told of more than it had.
    pub fn learn(&mut self, now: Duration, more: u32) {
        self.rejections.learn(now, more.min(64) as usize);
    }

    pub fn rejections(&mut self, now: Duration) -> usize {
        self.rejections.count(now)
    }

    /// What the next owner is to count as rejected.
    pub fn reported(&mut self, now: Duration) -> usize {
        self.rejections.reported(now, self.max_rejections)
    }

    fn poll(&mut self, now: Duration) {
        let (usual, stopped) = (self.usual, now > self.polled_at + STOPPED);
        if stopped {
            self.sent.values_mut().for_each(|request| request.at = now);
        }
        self.polled_at = now;
        self.sent.retain(|_, request| now < request.at + usual);
    }

    /// `proven`: the instance has answered this owner with as many requests on it. The others stay, together with
    /// what was rejected, within the allowance; and while the owner is careful, within the part that it may spend
    /// without knowing what the one before spent. All of them together stay within the window.
    pub fn may_send(&mut self, now: Duration, proven: bool) -> bool {
        self.poll(now);
        let left = self.left(now);
        if !self.window.may_send(self.sent.len(), left) {
            return false;
        }
        let unproven = self.sent.values().filter(|request| !request.is_proven).count();
        proven || unproven < self.rejections.capacity(now, self.max_rejections)
    }

    /// Requests on the way that might yet be rejected, as far as is known.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// What is left of the allowance for all requests. From its first rejection on, an owner that does not know what
    /// the one before spent has only its own part, for proven instances too.
    fn left(&mut self, now: Duration) -> usize {
        match self.rejections.has_spent_own(now) {
            true => self.rejections.capacity(now, self.max_rejections),
            false => self.rejections.known_capacity(now, self.max_rejections),
        }
    }

    pub fn sent(&mut self, now: Duration, order: u64, proven: bool) {
        self.sent.insert(order, SentRequest { at: now, is_proven: proven });
    }

    pub fn ended(&mut self, now: Duration, order: u64, begun: Duration, result: SendResult) {
        self.sent.remove(&order);
        match result {
            SendResult::Answered => {
                let (rejections, left) = (self.rejections.count(now), self.left(now));
                self.window.answered(Allowance { rejections, left });
            }
            SendResult::Rejected => {
                self.rejections.add(now);
                self.window.rejected();
                let took = now.saturating_sub(begun);
                self.usual = self.usual.max(took.mul_f64(1.5)).min(MAX_REJECTION_LATENCY);
            }
            SendResult::Unclear => {}
        }
    }

    /// What was learned of slow rejections fades, a little each time.
    pub fn fade(&mut self) {
        self.window.fade();
        self.usual = INITIAL_REJECTION_LATENCY + self.usual.saturating_sub(INITIAL_REJECTION_LATENCY).mul_f64(FORGET);
    }
}
