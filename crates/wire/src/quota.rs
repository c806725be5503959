//! Credits for the requests of consumers with a limit, as routers ask for them and are granted them, and what granters
//! tell each other of the membership by which they divide limits. A consumer is named by the hash of its name.
//!
//! Reports and totals are those of formats 7 and 8, in which one router added up what all had counted. They are still
//! read, and not answered.

use crate::List;
use deku::prelude::*;

/// What one router counted of one consumer since it started. The counts only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaCount {
    /// The hash of the consumer's name.
    pub consumer: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Of those, the ones that were given back since they did not run.
    pub refunded: u64,
    /// Requests that arrived, admitted or not.
    pub arrived: u64,
    /// Of the admitted less the refunded, those that no aggregator has confirmed yet.
    pub unconfirmed_used: u32,
    /// Of the arrived, those that no aggregator has confirmed yet.
    pub unconfirmed_arrived: u32,
}

/// A router's report on the consumers whose counts changed; one without counts says that it is there.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaReport {
    /// The incarnation of the router that counted.
    pub incarnation: u64,
    /// Grows with each report of a router.
    pub number: u64,
    /// Not 0 if it only asks whether the receiver is there; the sender reports to another.
    pub is_probe: u8,
    /// The counts that changed.
    pub counts: List<QuotaCount>,
}

/// Where one consumer stands over all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaTotal {
    /// The hash of the consumer's name.
    pub consumer: u64,
    /// Requests left in its bucket, in hundredths; below zero where routers ran ahead.
    pub level_centi: i32,
    /// Requests that arrive for it a second, in hundredths.
    pub demand_centi: u32,
}

/// The answer to a report: the reported consumers, and those near or over their limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaTotals {
    /// The number of the report that it answers.
    pub number: u64,
    /// Where consumers stand.
    pub totals: List<QuotaTotal>,
}

/// Asks a granter for credits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaRequest {
    /// Names the request; no other of the sender has the same number.
    pub number: u64,
    /// The hash of the consumer's name.
    pub consumer: u64,
    /// Credits that the sender can use.
    pub wanted: u32,
}

/// The answer to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrant {
    /// The number of the request.
    pub number: u64,
    /// Credits granted, at most those asked for.
    pub granted: u32,
    /// Where fewer were granted, when to ask again; 0 where all were.
    pub retry_after_ms: u32,
}

/// Asks a router by which membership it divides limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrantersQuery {
    /// Names what the sender asks for; another membership of the sender has another round.
    pub round: u64,
}

/// The answer to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct QuotaGrantersReply {
    /// The round of the query.
    pub round: u64,
    /// The fingerprint of the routers that grant, by the membership that the answering router has.
    pub granters: u64,
    /// For how long it has granted nothing by another membership.
    pub membership_in_use_ms: u32,
}
