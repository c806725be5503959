//! The simulator: the real state machines of registries and routers on a seeded network, seeded
//! disks and a clock that moves from event to event, with the brief's failures brought about and
//! the rules checked after every step. The same seed replays the same run to the last event.

mod callers;
mod catch_up;
mod chances;
mod ending;
mod failing;
mod faults;
mod instances;
mod net;
mod operators;
mod registry_node;
mod router_node;
mod router_turns;
mod rules;
mod standing;
mod world;
mod yard;

pub use chances::{Plan, Sort};
pub use rules::Rules;
pub use world::{Outcome, World, run};
