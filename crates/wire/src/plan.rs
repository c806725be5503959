//! What owners and the optimizer's host say: fifteen-second samples one way, a plan asked for and
//! answered the other, fenced by the number of the view that named the host.

use crate::{List, Text};
use deku::prelude::*;

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DemandSample {
    pub function: Text,
    pub rate_milli: u64,
    pub response_micro: u64,
    pub waiting_milli: u64,
    pub queued_milli: u64,
}

/// What an owner saw of a function beside its sample: boots, refusals, rejections, usage.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Measurement {
    pub function: Text,
    pub boot_micro: u64,
    pub boots: u32,
    pub refused: u32,
    pub rejections: u32,
    pub waiting_milli: u64,
    pub usage_milli: u64,
}

/// The part of a weight sheet that is tuned, as it is in force, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct TunedParameters {
    pub function: Text,
    pub startup_delay_steps: u32,
    pub usage_micro: u64,
    pub hard_milli: u64,
    pub why: Text,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum PlanMessage {
    #[deku(id = "1")]
    Samples { lines: List<DemandSample> },
    #[deku(id = "2")]
    Request { request_id: u64, function: Text, current: u32, queued: u32, waiting: u32 },
    #[deku(id = "3")]
    Reply { request_id: u64, fence: u64, state: u8, step_ms: u32, desired: List<u32> },
    #[deku(id = "4")]
    Measures { lines: List<Measurement> },
    /// All that is tuned at present, fenced like a plan.
    #[deku(id = "5")]
    Tuned { fence: u64, lines: List<TunedParameters> },
}
