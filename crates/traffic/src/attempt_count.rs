//! Attempts at one request, counted by its front because the front survives the loss of any owner. An owner makes no
//! attempt that was not granted first, so even when owners are lost, the request is sent to no more instances than
//! attempts were granted. Only attempts that an owner returns unused may be granted again.

use wire::ForwardRequest;

/// Number of attempts granted for one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptCount {
    /// Maximum set by the route; `None` where a run-once store decides what may run.
    limit: Option<u32>,
    /// Attempts granted to all owners so far, less those returned unused.
    granted: u32,
    /// Attempts of `granted` that the current owner holds.
    current: u32,
    /// Attempts charged to the consumer's limit so far. The first is charged by the credit that it needs.
    charged: u32,
}

impl AttemptCount {
    /// Sets the maximum number of attempts; `None` for no limit here.
    pub fn set_limit(&mut self, limit: Option<u32>) {
        self.limit = limit;
    }

    /// Returns whether no attempt is left to grant.
    pub fn is_spent(&self) -> bool {
        self.limit.is_some_and(|limit| self.granted >= limit)
    }

    /// Grants the first attempt to the owner that the request is forwarded to. Returns the count for the frame.
    pub fn grant_first(&mut self) -> u32 {
        self.granted = self.granted.saturating_add(1);
        self.current = 1;
        if self.limit.is_some() { self.current } else { ForwardRequest::UNCOUNTED }
    }

    /// Handles an owner's request for `wanted` attempts in total: grants one more if one is left, and returns how
    /// many the owner now has.
    pub fn grant(&mut self, wanted: u32) -> u32 {
        if wanted > self.current && !self.is_spent() {
            self.granted = self.granted.saturating_add(1);
            self.current += 1;
        }
        self.current
    }

    /// Returns the number of granted attempts that are not yet charged to the consumer, and marks them as charged.
    pub fn take_uncharged(&mut self) -> u32 {
        let charged = self.charged.max(1);
        let uncharged = if self.limit.is_some() { self.granted.saturating_sub(charged) } else { 0 };
        self.charged = charged + uncharged;
        uncharged
    }

    /// Takes back the unused attempts of an owner that returns the request after sending it to `sent` instances.
    pub fn return_unused(&mut self, sent: u32) {
        let unused = self.current.saturating_sub(sent);
        self.granted = self.granted.saturating_sub(unused);
        self.current = 0;
    }
}
