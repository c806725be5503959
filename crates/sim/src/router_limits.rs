//! What a simulated router can do, and how it tells instances whose request they run.

use crate::consumers::CONSUMER_HEADER;
use traffic::{ConsumerHeader, FrontLimits};
use wire::Capacity;

/// Machines of three strengths, and some too weak to own anything.
pub(crate) fn capacity(n: usize) -> Capacity {
    let processor_milli = if n % 5 == 4 { 100 } else { 1000 / (1 + n as u32 % 3) };
    Capacity { processor_milli, link_kbit: 1_000_000 }
}

pub(crate) fn front_limits() -> FrontLimits {
    let consumer_header = Some(ConsumerHeader { name: CONSUMER_HEADER.into(), format_name: str::to_owned });
    FrontLimits { consumer_header, ..FrontLimits::default() }
}
