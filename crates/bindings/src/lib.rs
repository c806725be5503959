//! What operators declare: function bindings, weight sheets and headcount plans, kept as pairs
//! under `kind/tenant/name`. A configuration is checked whole; every fault is told with its path.

mod book;
mod check;
mod resources;
mod tuning;

pub use book::{Book, Function};
pub use check::{Fault, check, check_name};
pub use resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet};
pub use tuning::{Bounds, Span, Tuning};
