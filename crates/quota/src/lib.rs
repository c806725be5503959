//! Limits on the requests of a consumer that hold over all routers together, without a request to a centre on any
//! request's way.
//!
//! A [`QuotaMeter`] in each router counts and decides; it reports its counts a few times a second to one router, whose
//! [`QuotaAggregator`] merges them and answers where each consumer stands. Between answers a meter runs ahead of
//! what it knows by a bounded part. Both are state machines without I/O and without a clock: times are
//! durations since the process started. `docs/notes/quotas.md` says why it is built so.

#![warn(missing_docs)]

mod aggregator;
mod aggregator_choice;
mod bucket;
mod consumer_meter;
mod counts;
mod limits;
mod meter;
mod open_reports;
mod rate;
mod run_ahead;

pub use aggregator::{AggregatorStatistics, QuotaAggregator};
pub use consumer_meter::{Admission, ConsumerUse, RefusalReason};
pub use counts::{Counters, MergedCounts};
pub use limits::{ConsumerId, ConsumerLimit, QuotaBounds, QuotaLimits};
pub use meter::{MeterStatistics, QuotaMeter, report_interval};
