//! Hollow fleets, for `docs/CAPACITY.md`: a real core and a few real routers among hollow nodes, which
//! run a router's own state machines over real links but meet no callers and order no instances, so
//! that hundreds fit into one process. Counts, processor time, memory and disk writes are told by role.

mod assign;
mod fleet;
mod kinds;
mod line;
mod node;
mod node_group;
mod node_slot;
mod offline;
mod offline_owner;
mod offline_tasks;
mod opening;
mod platform_stub;
mod proc;
mod processes;
mod relay;
mod report;
mod run;
mod slopes;
mod tally;
mod watching;
mod workload;

pub use kinds::kind;
pub use line::{Order, What, parse, possible};
pub use node::{Node, NodeInput, NodeOutput, identity};
pub use offline::offline;
pub use proc::{Usage, field};
pub use report::{series, tell};
pub use run::point;
pub use slopes::{Series, Slope, fit, plot};
pub use tally::{Count, Tally, Way, round};
pub use workload::Workload;
