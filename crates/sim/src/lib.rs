//! The simulator: the real state machines of registries and routers on a seeded network, seeded
//! disks and a clock that moves from event to event, with the brief's failures brought about and
//! the rules checked after every step. The same seed replays the same run to the last event.

mod callers;
mod catch_up;
mod chances;
mod consumer_callers;
mod consumer_rules;
mod consumer_service;
mod consumers;
mod control_faults;
mod core_rules;
mod cutoff;
mod declared;
mod ending;
mod failing;
mod faults;
mod final_blow;
mod fingerprint;
mod follow_ups;
mod instances;
mod link_faults;
mod net;
mod operators;
mod plan;
mod registry_node;
mod replacement;
mod resending;
mod restarts;
mod rolling;
mod router_limits;
mod router_node;
mod router_turns;
mod rules;
mod slowness;
mod standing;
mod strikes;
mod world;
mod yard;

pub use chances::Sort;
pub use consumer_rules::{KeyHolder, SeenByInstance, SentRequest};
pub use core_rules::CoreCopies;
pub use plan::Plan;
pub use rules::Rules;
pub use world::{Outcome, World, fingerprint, run};
