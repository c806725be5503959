//! A fleet of meters and granters on a simulated network: delays, losses, deaths, cuts, and callers' requests.

pub mod faults;
pub mod fleet;
pub mod limit_checker;
pub mod load;
pub mod members;
pub mod network;
pub mod node;
