//! What homes and the optimizer's host say: fifteen-second samples one way, a plan asked for and
//! answered the other, fenced by the number of the view that named the host.

use crate::{List, Text};
use deku::prelude::*;

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
pub struct SampleLine {
    pub function: Text,
    pub rate_milli: u64,
    pub response_micro: u64,
    pub waiting_milli: u64,
    pub held_milli: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8")]
pub enum PlanMsg {
    #[deku(id = "1")]
    Samples { lines: List<SampleLine> },
    #[deku(id = "2")]
    Ask { ask: u64, function: Text, current: u32, held: u32, waiting: u32 },
    #[deku(id = "3")]
    Receipt { ask: u64, fence: u64, state: u8, step_ms: u32, desired: List<u32> },
}
