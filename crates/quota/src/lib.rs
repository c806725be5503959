//! Rate limits per consumer that hold over all routers together, regardless of demand, message delays and message
//! losses.
//!
//! Each request of a limited consumer needs a credit. Credits are granted by a few routers, each from its own share of
//! the limit ([`QuotaGranter`]), and expire soon after the router that uses them requested them ([`QuotaMeter`]). Both
//! types are state machines without I/O and without a clock: times are durations since the process started.
//! `docs/notes/quotas.md` explains why no window exceeds the bound.

#![warn(missing_docs)]

mod admission;
mod agreement;
mod bucket;
mod consumer_meter;
mod credits;
mod granter;
mod granter_health;
mod granters;
mod limits;
mod meter;
mod open_requests;
mod rate;
mod round_trips;

pub use admission::{Admission, Charge};
pub use agreement::GranterMembership;
pub use consumer_meter::ConsumerUsage;
pub use granter::{GranterStatistics, QuotaGranter};
pub use granters::Granters;
pub use limits::{ConsumerId, ConsumerLimit, QuotaBounds, QuotaLimits};
pub use meter::{MeterStatistics, QuotaMeter};
pub use round_trips::{ROUND_TRIP_BOUNDS, RoundTrips};

/// Returns a start for the request numbers of an incarnation. Each incarnation has a range of its own, so that a late
/// reply to an earlier incarnation matches no open request.
fn first_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}
