//! Requests and grants of credits for rate-limited consumers, and messages by which granters compare the memberships
//! that they divide limits by. A consumer is identified by the hash of its name.
//!
//! Reports and totals belong to formats 7 and 8, in which one router added up the counts of all routers. They are still
//! decoded, but not answered.

use crate::List;
use deku::prelude::*;

/// One router's counts for one consumer since the router started. The first three only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaCount {
    /// Hash of the consumer's name.
    pub consumer: u64,
    /// Number of admitted requests.
    pub admitted: u64,
    /// Number of admitted requests that were refunded because they did not run.
    pub refunded: u64,
    /// Number of requests that arrived, admitted or not.
    pub arrived: u64,
    /// Admitted requests, less the refunded ones, that no aggregator has confirmed yet.
    pub unconfirmed_used: u32,
    /// Requests that arrived and that no aggregator has confirmed yet.
    pub unconfirmed_arrived: u32,
}

/// A router's report on the consumers whose counts changed. A report without counts only tells that the router is
/// alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaReport {
    /// Incarnation of the reporting router.
    pub incarnation: u64,
    /// Number that grows with each report of a router.
    pub number: u64,
    /// Not 0 if the report only asks whether the receiver is alive, while the sender reports to another router.
    pub is_probe: u8,
    /// Counts that changed.
    pub counts: List<QuotaCount>,
}

/// State of one consumer's limit over all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaTotal {
    /// Hash of the consumer's name.
    pub consumer: u64,
    /// Tokens left in the consumer's bucket, in hundredths of a request; negative if routers admitted too many.
    pub level_centi: i32,
    /// Arrival rate in hundredths of a request per second.
    pub demand_centi: u32,
}

/// Answer to a report: the reported consumers, and those near or over their limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaTotals {
    /// Number of the report that is answered.
    pub number: u64,
    /// State of each of these consumers.
    pub totals: List<QuotaTotal>,
}

/// Request to a granter for credits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaRequest {
    /// Number of the request, unique for the sender.
    pub number: u64,
    /// Hash of the consumer's name.
    pub consumer: u64,
    /// Number of credits that the sender can use.
    pub wanted: u32,
}

/// Answer to a request for credits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrant {
    /// Number of the request.
    pub number: u64,
    /// Number of credits granted, at most the number requested.
    pub granted: u32,
    /// Time after which to ask again if fewer credits were granted than requested; otherwise 0.
    pub retry_after_ms: u32,
}

/// Question to a router by which membership it divides limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrantersQuery {
    /// Number of the sender's round of questions; it changes with the sender's membership.
    pub round: u64,
}

/// Answer to a `QuotaGrantersQuery`.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrantersReply {
    /// Round of the query.
    pub round: u64,
    /// Fingerprint of the set of granters in the answering router's membership.
    pub granters: u64,
    /// Time since the answering router last granted credits by another membership.
    pub membership_in_use_ms: u32,
}
