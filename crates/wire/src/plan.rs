//! What owners and the optimizer's host say: fifteen-second samples one way, a plan asked for and
//! answered the other, fenced by the number of the view that named the host.

use crate::{List, Text};
use deku::prelude::*;

/// What an owner saw of a function in one step. `_milli` is in thousandths, `_micro` in millionths of a second.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DemandSample {
    /// Tenant and name.
    pub function: Text,
    /// Requests a second.
    pub rate_milli: u64,
    /// Mean response time.
    pub response_micro: u64,
    /// Requests waiting for an instance to start.
    pub waiting_milli: u64,
    /// Requests queued.
    pub queued_milli: u64,
}

/// What an owner saw of a function beside its sample: boots, refusals, rejections, usage.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Measurement {
    /// Tenant and name.
    pub function: Text,
    /// Total time of starts.
    pub boot_micro: u64,
    /// Starts that were measured.
    pub boots: u32,
    /// Requests refused.
    pub refused: u32,
    /// Requests that instances rejected.
    pub rejections: u32,
    /// Requests waiting for an instance to start.
    pub waiting_milli: u64,
    /// Requests in flight for each of the instances' slots.
    pub usage_milli: u64,
}

/// The part of a weight sheet that is tuned, as it is in force, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct TunedParameters {
    /// Tenant and name.
    pub function: Text,
    /// Steps until a start takes effect.
    pub startup_delay_steps: u32,
    /// Instance time a request takes.
    pub target_usage_micro: u64,
    /// Penalty of a shortfall.
    pub sla_hard_milli: u64,
    /// The reason, for operators.
    pub reason: Text,
}

/// What owners and the optimizer's host say to each other.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum PlanMessage {
    /// Samples of the last step.
    #[deku(id = "1")]
    Samples { lines: List<DemandSample> },
    /// Requests a plan, with the present count of instances and requests.
    #[deku(id = "2")]
    Request { request_id: u64, function: Text, current: u32, queued: u32, waiting: u32 },
    /// The plan: the count of instances in each step from now on.
    #[deku(id = "3")]
    Reply { request_id: u64, fence: u64, state: u8, step_ms: u32, desired: List<u32> },
    /// What was measured beside the samples.
    #[deku(id = "4")]
    Measurements { lines: List<Measurement> },
    /// All that is tuned at present, fenced like a plan.
    #[deku(id = "5")]
    Tuned { fence: u64, lines: List<TunedParameters> },
}
