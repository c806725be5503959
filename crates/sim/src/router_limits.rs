//! Capacity of a simulated router, and the header in which it tells instances the consumer of a request.

use crate::consumers::CONSUMER_HEADER;
use traffic::{ConsumerHeader, FrontLimits};
use wire::Capacity;

/// Returns a router's capacity: machines have three speeds, and some are too slow to own functions.
pub(crate) fn capacity(n: usize) -> Capacity {
    let processor_milli = if n % 5 == 4 { 100 } else { 1000 / (1 + n as u32 % 3) };
    Capacity { processor_milli, link_kbit: 1_000_000 }
}

pub(crate) fn front_limits() -> FrontLimits {
    let consumer_header = Some(ConsumerHeader { name: CONSUMER_HEADER.into(), format_name: str::to_owned });
    FrontLimits { consumer_header, ..FrontLimits::default() }
}
