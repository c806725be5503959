//! What operators declare: function bindings, weight sheets, headcount plans, functions and bounds on
//! callers, kept as pairs under `kind/tenant/name`. A configuration is checked whole; every fault is
//! told with its path.

#![warn(missing_docs)]

mod check;
mod check_fields;
mod declarations;
mod resources;
mod routes;
mod routing;
mod tuning;

pub use check::{ConfigurationError, check, check_name};
pub use declarations::{CallerBounds, FunctionDeclaration};
pub use resources::{Class, FunctionBinding, HeadcountPlan, Kind, WeightSheet};
pub use routing::{Function, RouteTable};
pub use tuning::{Bounds, Span, Tuning};
