//! A model explorer for the agreement between registries. It drives the real chain members through
//! orders of message deliveries, losses, crashes, disk losses, joins and planned leaves, and checks
//! invariants at every state: exhaustively to a depth, or along random walks.

mod choice;
mod clock;
mod faults;
mod history;
mod invariants;
mod probe;
mod scenario;
mod search;
mod world;

pub use choice::Choice;
pub use faults::PlantedFault;
pub use scenario::Scenario;
pub use search::{Finding, Limits, Report, explore, replay, walk};
pub use world::{Budget, World};
