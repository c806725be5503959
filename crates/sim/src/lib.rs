//! Simulator: runs the product's state machines of registries and routers on a simulated network, disks and
//! platform, with a clock that jumps from event to event. Faults are drawn from a seed, and the rules are
//! checked after every step. The same seed replays the same run to the last event.

mod callers;
mod catch_up_rules;
mod configuration;
mod consumer_callers;
mod consumer_rules;
mod consumer_service_rules;
mod consumers;
mod control_faults;
mod core_rules;
mod cutoff;
mod end_checks;
mod fault_actions;
mod faults;
mod final_fault;
mod fingerprint;
mod follow_ups;
mod instances;
mod link_faults;
mod membership_rules;
mod net;
mod operators;
mod plan;
mod platform;
mod registry_health;
mod registry_node;
mod replacement;
mod resending_operators;
mod restarts;
mod rolling_restarts;
mod router_leaving;
mod router_limits;
mod router_node;
mod router_steps;
mod rules;
mod run;
mod slowness;
mod sorts;
mod triggered_faults;
mod world;

pub use consumer_rules::{KeyHolder, SeenByInstance, SentRequest};
pub use core_rules::CoreCopies;
pub use plan::Plan;
pub use rules::Rules;
pub use run::{Outcome, fingerprint, run};
pub use sorts::Sort;
pub use world::World;
