//! A fleet of meters and aggregators on a simulated network: delays, losses, deaths, cuts, and callers' requests.

pub mod fleet;
pub mod judgement;
pub mod load;
