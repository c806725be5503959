//! Attempts at one request, counted by its front because the front survives the loss of any owner. An owner makes no
//! attempt that was not granted first, so even when owners are lost, the request is sent to no more instances than
//! attempts were granted. Only attempts that an owner returns unused may be granted again.

use wire::ForwardRequest;

/// Number of attempts granted for one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptCount {
    /// Maximum set by the route; `None` where a run-once store decides what may run.
    most: Option<u32>,
    /// Attempts granted to all owners so far, less those returned unused.
    granted: u32,
    /// Attempts of `granted` that the current owner holds.
    present: u32,
    /// Attempts charged to the consumer's limit so far. The first is charged by the credit that it needs.
    charged: u32,
}

impl AttemptCount {
    /// Sets the maximum number of attempts; `None` for no limit here.
    pub fn allow(&mut self, most: Option<u32>) {
        self.most = most;
    }

    /// Returns whether no attempt is left to grant.
    pub fn is_spent(&self) -> bool {
        self.most.is_some_and(|most| self.granted >= most)
    }

    /// Grants the first attempt to the owner that the request is forwarded to. Returns the count for the frame.
    pub fn forward(&mut self) -> u32 {
        self.granted = self.granted.saturating_add(1);
        self.present = 1;
        if self.most.is_some() { self.present } else { ForwardRequest::UNCOUNTED }
    }

    /// Handles an owner's request for `wanted` attempts in total: grants one more if one is left, and returns how
    /// many the owner now has.
    pub fn request(&mut self, wanted: u32) -> u32 {
        if wanted > self.present && !self.is_spent() {
            self.granted = self.granted.saturating_add(1);
            self.present += 1;
        }
        self.present
    }

    /// Returns the number of granted attempts that are not yet charged to the consumer, and marks them as charged.
    pub fn take_uncharged(&mut self) -> u32 {
        let charged = self.charged.max(1);
        let uncharged = if self.most.is_some() { self.granted.saturating_sub(charged) } else { 0 };
        self.charged = charged + uncharged;
        uncharged
    }

    /// Takes back the unused attempts of an owner that returns the request after sending it to `sent` instances.
    pub fn give_back(&mut self, sent: u32) {
        let unused = self.present.saturating_sub(sent);
        self.granted = self.granted.saturating_sub(unused);
        self.present = 0;
    }
}
