//! Admission decision of a router on a request.

use crate::limits::ConsumerId;
use std::time::Duration;

/// Credit that an admitted request has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Consumer whose limit the request counts against.
    pub consumer: ConsumerId,
    /// Time until which the credit can admit another request if this one does not run.
    pub(crate) expires_at: Duration,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The consumer has no limit.
    Unlimited,
    /// The request is admitted.
    Admit(Charge),
    /// The request waits for credits, which will be requested from a granter.
    Wait,
    /// The consumer is at its limit.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
