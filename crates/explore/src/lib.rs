//! Model checker for the agreement between registries. It runs the real chain members through different
//! orders of message deliveries, message losses, crashes, disk losses, joins and planned leaves, and checks
//! invariants at every state: exhaustively to a depth, or along random walks.

mod budget;
mod choice;
mod clock;
mod faults;
mod history;
mod invariants;
mod probe;
mod scenario;
mod search;
mod world;

pub use budget::Budget;
pub use choice::Choice;
pub use faults::PlantedFault;
pub use scenario::Scenario;
pub use search::{Finding, Limits, Report, explore, replay, walk};
pub use world::World;
