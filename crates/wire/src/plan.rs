//! Messages between owners and the optimizer's host: owners send samples every fifteen seconds and request plans; the
//! host answers with plans, fenced by the number of the view that appointed it.

use crate::{List, Text};
use deku::prelude::*;

/// An owner's observations of a function in one step. `_milli` is in thousandths, `_micro` in millionths.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct DemandSample {
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Requests per second.
    pub rate_milli: u64,
    /// Mean response time in microseconds.
    pub response_micro: u64,
    /// Number of requests waiting for an instance to start.
    pub waiting_milli: u64,
    /// Number of queued requests.
    pub queued_milli: u64,
}

/// An owner's further measurements of a function: starts, refusals, rejections and utilization.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct Measurement {
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Total start time of instances in microseconds.
    pub boot_micro: u64,
    /// Number of starts that were measured.
    pub boots: u32,
    /// Number of refused requests.
    pub refused: u32,
    /// Number of requests that instances rejected.
    pub rejections: u32,
    /// Number of requests waiting for an instance to start.
    pub waiting_milli: u64,
    /// Requests in flight per slot of the instances.
    pub usage_milli: u64,
}

/// Tuned parameters of a weight sheet that are in effect, and the reason for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct TunedParameters {
    /// Name of the function as `tenant/name`.
    pub function: Text,
    /// Number of steps until a start takes effect.
    pub startup_delay_steps: u32,
    /// Utilization that capacity is planned for, in millionths.
    pub target_usage_micro: u64,
    /// Cost of uncovered demand, in thousandths.
    pub sla_hard_milli: u64,
    /// Reason for the values, shown to operators.
    pub reason: Text,
}

/// Message between an owner and the optimizer's host.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum PlanMessage {
    /// Samples of the previous step.
    #[deku(id = "1")]
    Samples { samples: List<DemandSample> },
    /// Requests a plan, with the current numbers of instances and of queued and waiting requests.
    #[deku(id = "2")]
    Request { request_id: u64, function: Text, current: u32, queued: u32, waiting: u32 },
    /// The plan: the number of instances in each step from now on.
    #[deku(id = "3")]
    Reply { request_id: u64, fence: u64, state: u8, step_ms: u32, desired: List<u32> },
    /// Measurements in addition to the samples.
    #[deku(id = "4")]
    Measurements { measurements: List<Measurement> },
    /// All currently tuned parameters, fenced like a plan.
    #[deku(id = "5")]
    Tuned { fence: u64, parameters: List<TunedParameters> },
}
