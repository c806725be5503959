//! Limits on the requests of a consumer that hold over all routers together, whatever the demand, the delays and the
//! losses.
//!
//! A request of a limited consumer is admitted by a credit. Credits are granted by a few routers, each of which deals
//! out its own part of the limit ([`QuotaGranter`]), and expire soon after the router that uses them asked for them
//! ([`QuotaMeter`]). Both are state machines without I/O and without a clock: times are durations since the process
//! started. `docs/notes/quotas.md` has the argument why no window exceeds the bound.

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

/// Numbers of one incarnation are not those of another, so that an answer to an earlier one finds nothing open.
fn first_number(incarnation: u64) -> u64 {
    (incarnation & 0x3fff_ffff) << 32
}
