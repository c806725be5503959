//! Simulated fleet of meters and granters, with callers' requests, message delays and losses, crashes and partitions.

pub mod faults;
pub mod fleet;
pub mod limit_checker;
pub mod load;
pub mod members;
pub mod network;
pub mod node;
